#include "packet.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace flow = guavastair::flow;
namespace platform = guavastair::platform;

using platform::packet_origin;

namespace {

/// A packet from 10.0.0.9:2000 to 10.0.0.7:443.
std::vector<std::byte> sample(std::uint8_t flags, std::uint8_t size) {
    std::vector<std::uint8_t> raw(platform::packet_header_size + size, 0xaa);
    const std::array<std::uint8_t, 32> header{
        1,    2,    3,    4,    0xd0, 0x07, 9,    0,    0,     10, 0xbb,
        0x01, 7,    0,    0,    10,   size, 0,    5,    6,     7,  8,
        0x44, 0x33, 0x22, 0x11, 0x88, 0x77, 0x66, 0x55, flags, 9};
    std::copy(header.begin(), header.end(), raw.begin());
    std::vector<std::byte> result(raw.size());
    std::transform(raw.begin(), raw.end(), result.begin(),
                   [](std::uint8_t b) { return std::byte{b}; });
    return result;
}

} // namespace

TEST_CASE("all fields of a caller's packet are parsed") {
    const auto read =
        platform::parse_packet(sample(64 | 8, 3), packet_origin::caller);
    REQUIRE(read.has_value());
    CHECK(to_string(read->header.key.caller) == "10.0.0.9:2000");
    CHECK(to_string(read->header.key.service) == "10.0.0.7:443");
    CHECK(read->header.sequence == 0x11223344);
    CHECK(read->header.acknowledgement == 0x55667788);
    CHECK(read->header.payload_size == 3);
    CHECK(read->header.flags.ack());
    CHECK(read->header.flags.fin());
    CHECK_FALSE(read->header.flags.syn());
    CHECK_FALSE(read->returned);
}

TEST_CASE("the copy number of an opening packet gives its age") {
    flow::packet opening;
    for (const auto& [copy, age_ms] :
         {std::pair{0U, 0}, {1U, 200}, {2U, 600}, {0xffffffffU, 600}}) {
        opening.acknowledgement = copy;
        CHECK(platform::opening_age(opening).ms == age_ms);
    }
}

TEST_CASE("a server's packet has the same key as its caller's") {
    const auto read =
        platform::parse_packet(sample(16 | 64, 0), packet_origin::server);
    REQUIRE(read.has_value());
    CHECK(to_string(read->header.key.caller) == "10.0.0.7:443");
    CHECK(to_string(read->header.key.service) == "10.0.0.9:2000");
    CHECK(read->header.flags.syn());
    CHECK(read->header.flags.ack());
}

TEST_CASE("a returned packet is restored to the caller's packet") {
    auto bytes = sample(16 | 128, 2);
    const auto read = platform::parse_packet(bytes, packet_origin::server);
    REQUIRE(read.has_value());
    CHECK(read->returned);
    CHECK(read->header.flags.is_initial_syn());
    CHECK(to_string(read->header.key.caller) == "10.0.0.9:2000");
    auto expected = sample(16, 2);
    std::fill(expected.begin() + 18, expected.begin() + 22, std::byte{0});
    expected[31] = std::byte{0};
    platform::restore_packet(bytes);
    CHECK(bytes == expected);
}

TEST_CASE("a reset goes from the service to the caller, without a checksum") {
    const flow::flow_key key{{{0x0a000009}, 2000}, {{0x0a000007}, 443}};
    const auto bytes = platform::make_reset(key, 0x01020304);
    const auto read = platform::parse_packet(bytes, packet_origin::server);
    REQUIRE(read.has_value());
    CHECK(read->header.key == key);
    CHECK(read->header.flags.rst());
    CHECK(read->header.sequence == 0x01020304);
    CHECK(std::all_of(bytes.begin(), bytes.begin() + 4,
                      [](std::byte b) { return b == std::byte{0}; }));
}

TEST_CASE("packets that are too short or too long are rejected") {
    const auto whole = sample(64, 10);
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK_FALSE(platform::parse_packet(std::span(whole).first(size),
                                           packet_origin::caller)
                        .has_value());
    }
    auto longer = whole;
    longer.push_back(std::byte{0});
    CHECK_FALSE(
        platform::parse_packet(longer, packet_origin::caller).has_value());
    const std::vector<std::byte> huge(4000);
    CHECK_FALSE(
        platform::parse_packet(huge, packet_origin::caller).has_value());
}
