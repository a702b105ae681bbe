#include "packet_builder.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>

namespace flow = guavastair::flow;

using flow::drop_reason;

static const flow::packet sample{
    {{{0xc6336401}, 40000}, {{0xc0000201}, 443}}, {0x18}, 1000, 2000, 11};

static flow::packet random_headers() {
    flow::packet headers;
    headers.key.caller.address.value = *rc::gen::arbitrary<std::uint32_t>();
    headers.key.caller.port = *rc::gen::arbitrary<std::uint16_t>();
    headers.key.service.address.value = *rc::gen::arbitrary<std::uint32_t>();
    headers.key.service.port = *rc::gen::arbitrary<std::uint16_t>();
    headers.flags.bits =
        *rc::gen::element<std::uint8_t>(0x02, 0x10, 0x11, 0x12, 0x18, 0x04);
    headers.sequence = *rc::gen::arbitrary<std::uint32_t>();
    headers.acknowledgement = *rc::gen::arbitrary<std::uint32_t>();
    headers.payload_size = *rc::gen::inRange<std::uint16_t>(0, 300);
    return headers;
}

static void check_equal(const flow::packet& left, const flow::packet& right) {
    RC_ASSERT(left.key == right.key);
    RC_ASSERT(left.flags == right.flags);
    RC_ASSERT(left.sequence == right.sequence);
    RC_ASSERT(left.acknowledgement == right.acknowledgement);
    RC_ASSERT(left.payload_size == right.payload_size);
}

TEST_CASE("headers are parsed for any options and payload size") {
    CHECK(rc::check("round trip", [] {
        const flow::packet headers = random_headers();
        const auto ip_options = *rc::gen::inRange<std::size_t>(0, 11);
        const auto tcp_options = *rc::gen::inRange<std::size_t>(0, 11);
        const auto bytes =
            builder::make_packet(headers, ip_options, tcp_options);
        const auto result = flow::parse_packet(bytes, {true});
        RC_ASSERT(result.ok());
        check_equal(result.value, headers);
    }));
}

TEST_CASE("a truncated or overlong packet is rejected") {
    const auto bytes = builder::make_packet(sample, 2, 3);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const auto result = flow::parse_packet({bytes.data(), size});
        CHECK(result.reason == drop_reason::truncated);
    }
    auto longer = bytes;
    longer.push_back({});
    CHECK(flow::parse_packet(longer).reason == drop_reason::bad_total_length);
}

TEST_CASE("checksum verification detects every single bit error") {
    const auto bytes = builder::make_packet(sample, 1, 2);
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        auto damaged = bytes;
        damaged[bit / 8] ^= static_cast<std::byte>(1U << (bit % 8));
        CHECK_FALSE(flow::parse_packet(damaged, {true}).ok());
    }
}

/// Parses `sample` with the byte at `offset` replaced. The IPv4 header checksum
/// is corrected except for offset 0.
static drop_reason reason_with_byte(std::size_t offset, unsigned value) {
    auto bytes = builder::make_packet(sample);
    bytes[offset] = static_cast<std::byte>(value);
    if (offset != 0) {
        builder::fix_ip_checksum(bytes);
    }
    return flow::parse_packet(bytes).reason;
}

TEST_CASE("each packet defect yields its drop reason") {
    CHECK(reason_with_byte(0, 0x65) == drop_reason::not_ipv4);
    CHECK(reason_with_byte(0, 0x44) == drop_reason::bad_header_length);
    CHECK(reason_with_byte(3, 50) == drop_reason::bad_total_length);
    CHECK(reason_with_byte(6, 0x20) == drop_reason::fragment);
    CHECK(reason_with_byte(7, 0x01) == drop_reason::fragment);
    CHECK(reason_with_byte(9, 17) == drop_reason::not_tcp);
    CHECK(reason_with_byte(32, 0x40) == drop_reason::bad_tcp_header);
    CHECK(reason_with_byte(32, 0xf0) == drop_reason::bad_tcp_header);
    CHECK(reason_with_byte(33, 0x00) == drop_reason::bad_tcp_header);
    CHECK(reason_with_byte(33, 0x03) == drop_reason::bad_tcp_header);
    CHECK(reason_with_byte(33, 0x06) == drop_reason::bad_tcp_header);

    auto bytes = builder::make_packet(sample);
    bytes[10] ^= std::byte{1};
    CHECK(flow::parse_packet(bytes).reason == drop_reason::bad_header_checksum);
    bytes = builder::make_packet(sample);
    bytes.back() ^= std::byte{1};
    CHECK(flow::parse_packet(bytes).ok());
    CHECK(flow::parse_packet(bytes, {true}).reason ==
          drop_reason::bad_tcp_checksum);
    bytes.resize(flow::max_packet_size + 1);
    CHECK(flow::parse_packet(bytes).reason == drop_reason::oversized);
}

TEST_CASE("drop reasons have distinct names") {
    std::set<std::string> names;
    for (std::size_t i = 0; i < flow::drop_reason_count; ++i) {
        names.emplace(flow::to_string(static_cast<drop_reason>(i)));
    }
    CHECK(names.size() == flow::drop_reason_count);
    CHECK(flow::to_string(drop_reason::owner_not_found) == "owner_not_found");
    CHECK(flow::to_string(flow::decision_basis::not_served) == "not_served");
}

TEST_CASE("the flow hash is the same in every release") {
    CHECK(flow::flow_hash(sample.key) == 4938980875026577794ULL);
}

TEST_CASE("a reset is a valid packet that the caller accepts") {
    CHECK(rc::check("reset", [] {
        flow::packet cause = random_headers();
        RC_PRE(!cause.flags.rst());
        std::array<std::byte, flow::reset_packet_size> out{};
        flow::encode_reset(cause, out);
        const auto result = flow::parse_packet(out, {true});
        RC_ASSERT(result.ok());
        RC_ASSERT(result.value.flags.rst());
        RC_ASSERT(result.value.key.caller == cause.key.service);
        RC_ASSERT(result.value.key.service == cause.key.caller);
        if (cause.flags.ack()) {
            RC_ASSERT(result.value.sequence == cause.acknowledgement);
            return;
        }
        const std::uint32_t next = cause.sequence + cause.payload_size + 1;
        RC_ASSERT(result.value.acknowledgement == next);
    }));
}
