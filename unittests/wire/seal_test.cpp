#include <guavastair/wire.hpp>

#include <doctest/doctest.h>

namespace guavastair::wire {

namespace {

const shared_key key{"a key of more than sixteen bytes"};
const support::endpoint receiver_address{{0x7f000001}, 4000};
const support::endpoint other_address{{0x7f000002}, 4000};
const bytes payload{1, 2, 3, 4, 5};

bool accepts(opener& receiver, const bytes& sealed) {
    return receiver.open(sealed).ok();
}

} // namespace

TEST_CASE("a sealed payload opens once, with its sender and kind") {
    sealer sender(key, {{7}, 1000});
    opener receiver(key, receiver_address);
    const bytes sealed =
        sender.seal(payload_kind::membership, receiver_address, payload);
    CHECK(sealed.size() == payload.size() + seal_size);
    const auto result = receiver.open(sealed);
    REQUIRE(result.ok());
    CHECK(result->sender.value == 7);
    CHECK(result->kind == payload_kind::membership);
    CHECK(bytes(result->payload.begin(), result->payload.end()) == payload);
    CHECK_FALSE(accepts(receiver, sealed));
    CHECK(receiver.rejections().replayed == 1);
}

TEST_CASE("altered or truncated payloads are rejected") {
    sealer sender(key, {{7}, 1000});
    opener receiver(key, receiver_address);
    const bytes sealed =
        sender.seal(payload_kind::membership, receiver_address, payload);
    for (std::size_t i = 0; i < sealed.size(); ++i) {
        bytes forged = sealed;
        forged[i] ^= 1;
        CHECK_FALSE(accepts(receiver, forged));
    }
    for (std::size_t size = 0; size < sealed.size(); ++size) {
        const bytes cut(sealed.begin(),
                        sealed.begin() + static_cast<std::ptrdiff_t>(size));
        CHECK_FALSE(accepts(receiver, cut));
    }
    CHECK(accepts(receiver, sealed));
}

TEST_CASE("a payload with another key or for another receiver is rejected") {
    sealer other_key_sender({"another key of enough bytes"}, {{7}, 1000});
    sealer sender(key, {{7}, 1000});
    opener receiver(key, receiver_address);
    const payload_kind kind = payload_kind::membership;
    CHECK_FALSE(accepts(
        receiver, other_key_sender.seal(kind, receiver_address, payload)));
    CHECK_FALSE(accepts(receiver, sender.seal(kind, other_address, payload)));
    CHECK(receiver.rejections().forged == 2);
}

TEST_CASE("reordered messages within the replay window are accepted") {
    sealer sender(key, {{7}, 1000});
    opener receiver(key, receiver_address);
    std::vector<bytes> sealed(100);
    for (bytes& item : sealed) {
        item = sender.seal(payload_kind::membership, receiver_address, payload);
    }
    CHECK(accepts(receiver, sealed[50]));
    CHECK(accepts(receiver, sealed[20]));
    CHECK_FALSE(accepts(receiver, sealed[20]));
    CHECK(accepts(receiver, sealed[99]));
    CHECK(accepts(receiver, sealed[36]));
    CHECK_FALSE(accepts(receiver, sealed[35]));
    CHECK_FALSE(accepts(receiver, sealed[50]));
}

TEST_CASE("a restarted sender is accepted and its earlier run rejected") {
    sealer earlier_run(key, {{7}, 1000});
    sealer later_run(key, {{7}, 2000});
    opener receiver(key, receiver_address);
    const payload_kind kind = payload_kind::membership;
    CHECK(accepts(receiver, earlier_run.seal(kind, receiver_address, payload)));
    CHECK(accepts(receiver, later_run.seal(kind, receiver_address, payload)));
    CHECK_FALSE(
        accepts(receiver, earlier_run.seal(kind, receiver_address, payload)));
}

TEST_CASE("the number of tracked senders is bounded") {
    opener receiver(key, receiver_address, 2);
    const payload_kind kind = payload_kind::membership;
    sealer first(key, {{1}, 1000});
    sealer second(key, {{2}, 1000});
    sealer third(key, {{3}, 1000});
    const bytes of_first = first.seal(kind, receiver_address, payload);
    const bytes of_second = second.seal(kind, receiver_address, payload);
    CHECK(accepts(receiver, of_first));
    CHECK(accepts(receiver, of_second));
    CHECK(accepts(receiver, third.seal(kind, receiver_address, payload)));
    // Only the first sender was evicted; the replay of the second is detected.
    CHECK_FALSE(accepts(receiver, of_second));
}

} // namespace guavastair::wire
