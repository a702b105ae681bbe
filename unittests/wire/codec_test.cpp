#include "generators.hpp"

#include <doctest/doctest.h>

#include <random>

namespace guavastair::wire {

TEST_CASE("a membership message decodes to what was encoded") {
    CHECK(rc::check([] {
        const membership::message sent = any_message();
        RC_PRE(membership::size_bound(sent) <= membership::max_datagram_size);
        const bytes encoded = encode(sent);
        const auto received = decode_membership(encoded);
        RC_ASSERT(received.ok());
        RC_ASSERT(*received == sent);
    }));
}

TEST_CASE("size_bound is an upper bound of the encoded size") {
    CHECK(rc::check([] {
        const membership::message body = any_message();
        RC_ASSERT(encode(body).size() <= membership::size_bound(body));
    }));
}

TEST_CASE("size_bound holds for values that packing cannot shorten") {
    constexpr std::uint64_t dense = 0x0123456789abcdef;
    constexpr std::uint32_t dense_32 = 0x89abcdef;
    membership::message body;
    body.sender = {dense};
    body.revision = {static_cast<std::int64_t>(dense)};
    body.target = {dense};
    body.sequence = dense_32;
    for (int i = 0; i < 40; ++i) {
        body.verdicts.push_back(
            {{dense}, dense_32, membership::liveness::failed, {dense}});
        body.versions.push_back({{dense}, dense_32});
        body.wanted.push_back({dense});
        body.bucket_hashes.push_back(dense_32);
        CHECK(encode(body).size() <= membership::size_bound(body));
    }
    membership::node_record record;
    record.id = {dense};
    record.incarnation = dense_32;
    record.weight = dense_32;
    record.control = {{dense_32}, 0x4567};
    record.data = {{dense_32}, 0x4567};
    record.applied = {static_cast<std::int64_t>(dense)};
    for (std::size_t size = 1; size <= support::max_name_size; ++size) {
        record.name.value = std::string(size, 'x');
        record.data_centre.value = record.name.value;
        record.service.value = record.name.value;
        record.unreachable.push_back(record.data_centre);
        membership::message with_record;
        with_record.records.push_back(record);
        const std::size_t bound = membership::size_bound(with_record);
        CHECK(encode(with_record).size() <= bound);
    }
}

TEST_CASE("a truncated or altered message fails or decodes differently") {
    std::mt19937_64 random(1);
    membership::message body;
    body.sender = {42};
    membership::node_record record;
    record.id = {7};
    record.name = {"node-one"};
    record.data_centre = {"east"};
    body.records.push_back(record);
    const bytes good = encode(body);
    for (std::size_t size = 0; size < good.size(); ++size) {
        const auto cut = decode_membership(byte_view(good).first(size));
        CHECK((!cut.ok() || !(*cut == body)));
    }
    constexpr int rounds = 20'000;
    for (int i = 0; i < rounds; ++i) {
        bytes bad = good;
        bad[random() % bad.size()] = static_cast<std::uint8_t>(random());
        bad[random() % bad.size()] = static_cast<std::uint8_t>(random());
        const auto decoded = decode_membership(bad);
        if (!decoded.ok()) {
            CHECK(support::kind_of(decoded.status()) ==
                  support::error_kind::invalid_input);
        }
    }
}

TEST_CASE("a message above the datagram size is rejected") {
    const bytes large(membership::max_datagram_size + 1);
    const auto decoded = decode_membership(large);
    CHECK(support::kind_of(decoded.status()) == support::error_kind::too_large);
}

TEST_CASE("a small packed message cannot unpack to a large one") {
    // Packing shortens zero bytes to almost nothing.
    membership::message body;
    body.verdicts.resize(4000);
    const bytes encoded = encode(body);
    REQUIRE(encoded.size() <= membership::max_datagram_size);
    CHECK_FALSE(decode_membership(encoded).ok());
}

TEST_CASE("field values out of range are rejected") {
    membership::message body;
    body.kind = static_cast<membership::message_kind>(200);
    CHECK_FALSE(decode_membership(encode(body)).ok());
    body.kind = membership::message_kind::gossip;
    membership::node_record record;
    record.id = {7};
    record.name = {"Not a name"};
    record.data_centre = {"east"};
    body.records.push_back(record);
    CHECK_FALSE(decode_membership(encode(body)).ok());
    body.records.front().name = {"a-name"};
    CHECK(decode_membership(encode(body)).ok());
    body.records.front().state = static_cast<membership::member_state>(9);
    CHECK_FALSE(decode_membership(encode(body)).ok());
}

TEST_CASE("change sets and pull requests decode to what was encoded") {
    config::change_set sent;
    sent.from = {3};
    sent.to = {17};
    sent.full = true;
    const config::document_key service{config::document_kind::service,
                                       "order-portal"};
    const config::document_key place{config::document_kind::data_centre,
                                     "bangkok"};
    sent.entries.push_back({service, {9}, false, "{\"name\": 1}"});
    sent.entries.push_back({place, {17}, true, ""});
    const auto received = decode_change_set(encode(sent));
    REQUIRE(received.ok());
    CHECK(*received == sent);
    const auto request = decode_pull_request(encode_pull_request({99}));
    REQUIRE(request.ok());
    CHECK(request->value == 99);
}

TEST_CASE("a truncated change set fails or decodes differently") {
    config::change_set sent;
    sent.to = {17};
    sent.entries.push_back({{config::document_kind::service, "order-portal"},
                            {9},
                            false,
                            "{\"name\": 1}"});
    const bytes good = encode(sent);
    for (std::size_t size = 0; size < good.size(); ++size) {
        const auto cut = decode_change_set(byte_view(good).first(size));
        CHECK((!cut.ok() || !(*cut == sent)));
    }
}

} // namespace guavastair::wire
