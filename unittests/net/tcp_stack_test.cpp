#include <guavastair/net.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace net = guavastair::net;
namespace support = guavastair::support;

static constexpr support::endpoint service{{0x0a000001}, 80};
static constexpr support::ipv4_address caller{0x0a000002};
static constexpr support::duration timeout = support::seconds(60);

namespace {

/// Probabilities of faults of the link, for each packet, in units of 1/10,000.
struct link_faults {
    unsigned loss = 0;
    unsigned duplication = 0;
    unsigned reordering = 0;
};

/// Two stacks and the link between them.
class stack_pair {
public:
    explicit stack_pair(link_faults chosen)
        : faults(chosen),
          caller_stack(this->loop, {.address = caller},
                       [this](auto bytes) { this->transmit(bytes); }),
          server_stack(this->loop, {.address = service.address},
                       [this](auto bytes) { this->transmit(bytes); }) {}

    template <typename Condition> bool run_until(Condition done) {
        const support::instant limit = this->loop.now() + timeout;
        while (!done()) {
            if (this->loop.now() > limit) {
                return false;
            }
            const bool busy = !this->in_transit.empty();
            this->deliver();
            this->loop.run_once(support::milliseconds(busy ? 0 : 5));
        }
        return true;
    }

    /// Delivers packets for `span` of real time.
    void run_for(support::duration span) {
        const support::instant end = this->loop.now() + span;
        this->run_until([&] { return this->loop.now() >= end; });
    }

    using packet = std::vector<std::byte>;

    support::steady_clock clock;
    net::event_loop loop{this->clock};
    std::deque<packet> in_transit;
    std::mt19937_64 random{1};
    link_faults faults;
    std::size_t largest_packet = 0;
    net::tcp_stack caller_stack;
    net::tcp_stack server_stack;

private:
    bool occurs(unsigned probability) {
        constexpr unsigned denominator = 10'000;
        return this->random() % denominator < probability;
    }

    void transmit(std::span<const std::byte> bytes) {
        this->largest_packet = std::max(this->largest_packet, bytes.size());
        if (this->occurs(this->faults.loss)) {
            return;
        }
        const packet copy(bytes.begin(), bytes.end());
        this->in_transit.push_back(copy);
        if (this->occurs(this->faults.duplication)) {
            this->in_transit.push_back(copy);
        }
        const std::size_t size = this->in_transit.size();
        if (size > 3 && this->occurs(this->faults.reordering)) {
            std::swap(this->in_transit[size - 1], this->in_transit[size - 3]);
        }
    }

    void deliver() {
        std::deque<packet> now;
        now.swap(this->in_transit);
        for (const packet& item : now) {
            constexpr std::size_t last_octet_of_destination = 19;
            const bool to_service =
                item[last_octet_of_destination] == std::byte{1};
            (to_service ? this->server_stack : this->caller_stack).input(item);
        }
    }
};

std::byte content(std::size_t offset, std::size_t stream) {
    constexpr std::size_t prime = 251;
    return static_cast<std::byte>((offset + stream) % prime);
}

/// Checks every byte of a stream and closes the connection at its end.
class sink final : public net::tcp_handler {
public:
    explicit sink(std::size_t number) : stream(number) {}

    void on_readable(net::tcp_connection& connection) override {
        if (this->paused) {
            return;
        }
        for (auto bytes = connection.peek(); !bytes.empty();
             bytes = connection.peek()) {
            for (const std::byte byte : bytes) {
                this->mismatched_bytes +=
                    byte != content(this->size, this->stream);
                ++this->size;
            }
            connection.consume(bytes.size());
        }
    }
    void on_writable(net::tcp_connection&) override {}
    void on_end(net::tcp_connection& connection) override {
        this->ended = true;
        connection.close();
    }
    void on_failed(net::tcp_connection&, const absl::Status& why) override {
        this->failure = why;
    }

    std::size_t stream;
    std::size_t size = 0;
    std::size_t mismatched_bytes = 0;
    bool paused = false;
    bool ended = false;
    absl::Status failure;
};

/// Writes a stream of known size, then ends it.
class source final : public net::tcp_handler {
public:
    source(std::size_t number, std::size_t total)
        : stream(number), remaining_size(total) {}

    void on_connected(net::tcp_connection& connection) override {
        this->connected = true;
        this->write_more(connection);
    }
    void on_readable(net::tcp_connection& connection) override {
        while (!connection.peek().empty()) {
            connection.consume(connection.peek().size());
        }
    }
    void on_writable(net::tcp_connection& connection) override {
        this->write_more(connection);
    }
    void on_end(net::tcp_connection& connection) override {
        this->ended = true;
        if (this->end_after_peer) {
            this->write_more(connection);
            return;
        }
        connection.close();
    }
    void on_failed(net::tcp_connection&, const absl::Status& why) override {
        this->failure = why;
    }

    std::size_t stream;
    std::size_t remaining_size;
    std::size_t sent = 0;
    /// Whether the stream starts only after the peer has ended its own.
    bool end_after_peer = false;
    bool connected = false;
    bool ended = false;
    absl::Status failure;

private:
    void write_more(net::tcp_connection& connection) {
        while (this->remaining_size > 0) {
            std::array<std::byte, 4096> block;
            const std::size_t size =
                std::min(this->remaining_size, block.size());
            for (std::size_t i = 0; i < size; ++i) {
                block[i] = content(this->sent + i, this->stream);
            }
            const std::size_t accepted_size =
                connection.write(std::span(block).first(size));
            this->sent += accepted_size;
            this->remaining_size -= accepted_size;
            if (accepted_size < size) {
                return;
            }
        }
        connection.shutdown_write();
    }
};

} // namespace

TEST_CASE("50 MB arrive intact despite loss, duplicates and reordering") {
    constexpr std::size_t streams = 20;
    constexpr std::size_t stream_size = 2'500'000;
    stack_pair pair({.loss = 20, .duplication = 20, .reordering = 100});
    std::vector<std::unique_ptr<sink>> sinks;
    std::vector<std::unique_ptr<source>> sources;
    constexpr std::uint16_t first_port = 5000;
    REQUIRE(pair.server_stack
                .listen(service.port,
                        [&](net::tcp_connection& connection) {
                            const std::size_t number =
                                connection.peer().port - first_port;
                            sinks.push_back(std::make_unique<sink>(number));
                            return sinks.back().get();
                        })
                .ok());
    for (std::size_t i = 0; i < streams; ++i) {
        sources.push_back(std::make_unique<source>(i, stream_size));
        const auto port = static_cast<std::uint16_t>(first_port + i);
        REQUIRE(pair.caller_stack.connect(service, *sources.back(), port).ok());
    }
    CHECK(pair.run_until([&] {
        return std::ranges::all_of(sources,
                                   [](const auto& s) { return s->ended; });
    }));
    REQUIRE(sinks.size() == streams);
    for (const auto& item : sinks) {
        CHECK(item->size == stream_size);
        CHECK(item->mismatched_bytes == 0);
    }
    constexpr std::size_t ordinary_mtu = 1500;
    constexpr std::size_t outer_headers = 28;
    constexpr std::size_t largest_frame_header = 120;
    CHECK(pair.largest_packet + outer_headers + largest_frame_header <=
          ordinary_mtu);
    CHECK(pair.largest_packet > 1300);
    CHECK(pair.server_stack.counters().accepted == streams);
    CHECK(pair.caller_stack.connection_count() == 0);
    CHECK(pair.server_stack.connection_count() == 0);
}

TEST_CASE("unconsumed bytes stop the sender, and consuming resumes it") {
    stack_pair pair({});
    sink receiver_side(0);
    receiver_side.paused = true;
    net::tcp_connection* accepted = nullptr;
    REQUIRE(pair.server_stack
                .listen(service.port,
                        [&](net::tcp_connection& connection) {
                            accepted = &connection;
                            return &receiver_side;
                        })
                .ok());
    constexpr std::size_t total = 1'000'000;
    source sender(0, total);
    REQUIRE(pair.caller_stack.connect(service, sender).ok());
    pair.run_for(support::milliseconds(500));
    constexpr std::size_t two_windows = 131'070;
    CHECK(sender.sent <= two_windows);
    receiver_side.paused = false;
    receiver_side.on_readable(*accepted);
    CHECK(pair.run_until([&] { return sender.ended && receiver_side.ended; }));
    CHECK(receiver_side.size == total);
    CHECK(receiver_side.mismatched_bytes == 0);
}

TEST_CASE("each direction is closed independently") {
    stack_pair pair({});
    sink caller_side(7);
    source server_side(7, 100'000);
    REQUIRE(pair.server_stack
                .listen(service.port,
                        [&](net::tcp_connection&) { return &server_side; })
                .ok());
    const auto opened = pair.caller_stack.connect(service, caller_side);
    REQUIRE(opened.ok());
    (*opened)->shutdown_write();
    server_side.end_after_peer = true;
    REQUIRE(pair.run_until([&] { return caller_side.ended; }));
    CHECK(server_side.ended);
    CHECK(caller_side.size == 100'000);
    CHECK(caller_side.mismatched_bytes == 0);
}

TEST_CASE("refused connections and closed ports are reported to the peer") {
    stack_pair pair({});
    REQUIRE(
        pair.server_stack.listen(service.port, [](auto&) { return nullptr; })
            .ok());
    source refused(0, 10);
    REQUIRE(pair.caller_stack.connect(service, refused).ok());
    REQUIRE(pair.run_until([&] { return !refused.failure.ok(); }));
    CHECK(support::kind_of(refused.failure) == support::error_kind::cancelled);

    source nobody_listens(0, 10);
    REQUIRE(
        pair.caller_stack.connect({service.address, 81}, nobody_listens).ok());
    REQUIRE(pair.run_until([&] { return !nobody_listens.failure.ok(); }));
    CHECK_FALSE(nobody_listens.connected);
}

TEST_CASE("a second listener and a connection to itself are rejected") {
    stack_pair pair({});
    REQUIRE(
        pair.server_stack.listen(service.port, [](auto&) { return nullptr; })
            .ok());
    const absl::Status again =
        pair.server_stack.listen(service.port, [](auto&) { return nullptr; });
    REQUIRE_FALSE(again.ok());
    CHECK(support::kind_of(again) == support::error_kind::address_in_use);
    source unused(0, 1);
    CHECK_FALSE(pair.server_stack.connect(service, unused).ok());
}

TEST_CASE("malformed packets are counted and dropped") {
    stack_pair pair({});
    std::mt19937_64 random(3);
    REQUIRE(
        pair.server_stack.listen(service.port, [](auto&) { return nullptr; })
            .ok());
    source connecting(0, 10);
    REQUIRE(pair.caller_stack.connect(service, connecting).ok());
    pair.loop.run_once({});
    REQUIRE_FALSE(pair.in_transit.empty());
    const auto good = pair.in_transit.front();
    pair.in_transit.clear();
    constexpr int rounds = 20'000;
    for (int i = 0; i < rounds; ++i) {
        auto bad = good;
        bad.resize(random() % (good.size() + 1));
        for (int flips = 0; flips < 3 && !bad.empty(); ++flips) {
            bad[random() % bad.size()] = static_cast<std::byte>(random());
        }
        pair.server_stack.input(bad);
    }
    pair.server_stack.input(std::vector<std::byte>(net::max_datagram_size + 1));
    CHECK(pair.server_stack.counters().bad_packets > rounds / 2);
    CHECK(pair.server_stack.counters().accepted == 0);
}

TEST_CASE("a connection is released once, whichever end closes first") {
    stack_pair pair({});
    std::vector<support::endpoint> released;
    pair.server_stack.set_release_callback(
        [&](support::endpoint local, support::endpoint peer) {
            CHECK(local == service);
            released.push_back(peer);
        });
    sink receiver(0);
    REQUIRE(pair.server_stack
                .listen(service.port,
                        [&](net::tcp_connection& connection) -> sink* {
                            const bool refuse = connection.peer().port == 5003;
                            return refuse ? nullptr : &receiver;
                        })
                .ok());
    source ends_first(0, 100);
    REQUIRE(pair.caller_stack.connect(service, ends_first, 5001).ok());
    REQUIRE(pair.run_until([&] { return ends_first.ended; }));
    source aborts(0, 100);
    const auto aborted = pair.caller_stack.connect(service, aborts, 5002);
    REQUIRE(aborted.ok());
    REQUIRE(pair.run_until([&] { return aborts.connected; }));
    (*aborted)->abort();
    source refused(0, 100);
    REQUIRE(pair.caller_stack.connect(service, refused, 5003).ok());
    REQUIRE(pair.run_until([&] { return released.size() == 3; }));
    CHECK(pair.server_stack.closing_count() == 0);
    CHECK(pair.server_stack.connection_count() == 0);
    CHECK(
        pair.run_until([&] { return pair.caller_stack.closing_count() == 0; }));
}

TEST_CASE("a closed connection waits for its peer for a bounded time") {
    stack_pair pair({});
    int releases = 0;
    pair.server_stack.set_release_callback([&](auto, auto) { ++releases; });
    net::tcp_connection* accepted = nullptr;
    sink server_side(0);
    REQUIRE(pair.server_stack
                .listen(service.port,
                        [&](net::tcp_connection& connection) {
                            accepted = &connection;
                            return &server_side;
                        })
                .ok());
    struct idler final : net::tcp_handler {
        void on_readable(net::tcp_connection&) override {}
        void on_writable(net::tcp_connection&) override {}
        void on_end(net::tcp_connection&) override {}
        void on_failed(net::tcp_connection&, const absl::Status&) override {}
    };
    idler never_ends;
    REQUIRE(pair.caller_stack.connect(service, never_ends).ok());
    REQUIRE(pair.run_until([&] { return accepted != nullptr; }));
    CHECK(pair.server_stack.undelivered_count() == 0);
    accepted->close();
    CHECK(pair.server_stack.closing_count() == 1);
    CHECK(pair.server_stack.undelivered_count() == 1);
    REQUIRE(pair.run_until(
        [&] { return pair.server_stack.undelivered_count() == 0; }));
    CHECK(pair.server_stack.closing_count() == 1);
    REQUIRE(pair.run_until([&] { return releases == 1; }));
    CHECK(pair.server_stack.closing_count() == 0);
}
