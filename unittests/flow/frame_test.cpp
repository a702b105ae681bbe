#include <guavastair/flow.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace flow = guavastair::flow;
namespace placement = guavastair::placement;

using flow::drop_reason;
using frame_bytes = std::vector<std::byte>;

static flow::frame_header make_header(std::size_t candidates) {
    flow::frame_header header;
    header.candidates.size = candidates;
    for (std::size_t i = 0; i < candidates; ++i) {
        placement::candidate& c = header.candidates.items[i];
        c.id.value = 0x0102030405060708ULL * (i + 1);
        c.data = {{0x0a000000U + static_cast<std::uint32_t>(i)}, 7000};
    }
    return header;
}

static frame_bytes make_frame(const flow::frame_header& header,
                              std::size_t packet_size = 3) {
    std::array<std::byte, flow::max_frame_header_size> out;
    out.fill(std::byte{0xff});
    const std::size_t size = flow::encode_frame_header(header, out);
    frame_bytes frame(out.begin(),
                      out.begin() + static_cast<std::ptrdiff_t>(size));
    frame.resize(size + packet_size, std::byte{0x45});
    return frame;
}

TEST_CASE("an encoded frame header parses back unchanged") {
    CHECK(rc::check("round trip", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 9);
        flow::frame_header header = make_header(count);
        for (std::size_t i = 0; i < count; ++i) {
            header.candidates.items[i].id.value =
                *rc::gen::arbitrary<std::uint64_t>();
        }
        header.hop =
            static_cast<std::uint8_t>(*rc::gen::inRange<std::size_t>(0, count));
        header.passes = static_cast<std::uint8_t>(
            *rc::gen::inRange<int>(header.hop, flow::max_passes + 1));
        header.extended = *rc::gen::arbitrary<bool>();
        const auto size = *rc::gen::inRange<std::size_t>(0, 100);
        const frame_bytes bytes = make_frame(header, size);
        const auto result = flow::parse_frame(bytes);
        RC_ASSERT(result.ok());
        const flow::frame_header& parsed_header = result.value.header;
        RC_ASSERT(parsed_header.hop == header.hop);
        RC_ASSERT(parsed_header.passes == header.passes);
        RC_ASSERT(parsed_header.extended == header.extended);
        RC_ASSERT(std::equal(
            parsed_header.candidates.begin(), parsed_header.candidates.end(),
            header.candidates.begin(), header.candidates.end()));
        RC_ASSERT(result.value.packet.size() == size);
        RC_ASSERT(result.value.packet.data() + size == &*bytes.end());
    }));
}

TEST_CASE("a truncated frame is rejected") {
    const frame_bytes bytes = make_frame(make_header(8), 0);
    CHECK(bytes.size() == flow::max_frame_header_size);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const auto result = flow::parse_frame({bytes.data(), size});
        CHECK(result.reason == drop_reason::frame_truncated);
    }
}

/// Parses a frame of three candidates with the byte at `offset` replaced.
static drop_reason reason_with_byte(std::size_t offset, unsigned value) {
    frame_bytes bytes = make_frame(make_header(3));
    bytes[offset] = static_cast<std::byte>(value);
    return flow::parse_frame(bytes).reason;
}

TEST_CASE("each frame defect yields its drop reason") {
    CHECK(reason_with_byte(0, 0x4c) == drop_reason::frame_not_gue);
    CHECK(reason_with_byte(0, 0x2c) == drop_reason::frame_not_gue);
    CHECK(reason_with_byte(0, 11) == drop_reason::frame_bad_length);
    CHECK(reason_with_byte(1, 41) == drop_reason::frame_bad_protocol);
    CHECK(reason_with_byte(2, 1) == drop_reason::frame_not_gue);
    CHECK(reason_with_byte(4, 0x20) == drop_reason::frame_bad_version);
    CHECK(reason_with_byte(4, 0x12) == drop_reason::frame_bad_version);
    CHECK(reason_with_byte(5, 3) == drop_reason::frame_bad_hop);
    CHECK(reason_with_byte(5, 1) == drop_reason::frame_bad_hop);
    CHECK(reason_with_byte(6, 0) == drop_reason::frame_bad_candidates);
    CHECK(reason_with_byte(6, 9) == drop_reason::frame_bad_candidates);
    CHECK(reason_with_byte(6, 2) == drop_reason::frame_bad_length);
    CHECK(reason_with_byte(7, 16) == drop_reason::frame_bad_hop);
    CHECK(reason_with_byte(51, 1) == drop_reason::frame_bad_candidates);

    flow::frame_header header = make_header(2);
    header.candidates.items[1].data.port = 0;
    CHECK(flow::parse_frame(make_frame(header)).reason ==
          drop_reason::frame_bad_candidates);
    const frame_bytes large =
        make_frame(make_header(1), flow::max_packet_size + 1);
    CHECK(flow::parse_frame(large).reason == drop_reason::oversized);
}

TEST_CASE("an accepted frame header encodes to the same bytes") {
    CHECK(rc::check("any bytes", [](std::vector<std::uint8_t> noise) {
        frame_bytes bytes = make_frame(make_header(4));
        for (std::size_t i = 0; i + 1 < noise.size(); i += 2) {
            bytes[noise[i] % bytes.size()] = std::byte{noise[i + 1]};
        }
        const auto result = flow::parse_frame(bytes);
        if (result.ok()) {
            const frame_bytes reencoded =
                make_frame(result.value.header, result.value.packet.size());
            const auto size = static_cast<std::ptrdiff_t>(
                bytes.size() - result.value.packet.size());
            RC_ASSERT(std::equal(bytes.begin(), bytes.begin() + size,
                                 reencoded.begin()));
        }
    }));
}
