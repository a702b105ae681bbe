/// Feeds arbitrary datagrams to the parsers of frames and packets. A frame or
/// packet that parses must lie within the datagram, a frame header must encode
/// to the same bytes, and the reset for a packet must be valid.

#include <guavastair/flow.hpp>

#include <algorithm>
#include <cstdlib>

namespace flow = guavastair::flow;

static void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

static void check_packet(std::span<const std::byte> bytes) {
    for (const bool verify : {false, true}) {
        const auto read = flow::parse_packet(bytes, {verify});
        if (!read.ok()) {
            continue;
        }
        require(read.value.payload_size + std::size_t{40} <= bytes.size());
        if (!read.value.flags.rst()) {
            std::array<std::byte, flow::reset_packet_size> reset;
            flow::encode_reset(read.value, reset);
            require(flow::parse_packet(reset, {true}).ok());
        }
    }
}

static void check_frame(std::span<const std::byte> bytes) {
    const auto read = flow::parse_frame(bytes);
    if (!read.ok()) {
        return;
    }
    std::array<std::byte, flow::max_frame_header_size> reencoded;
    const std::size_t size =
        flow::encode_frame_header(read.value.header, reencoded);
    require(size + read.value.packet.size() == bytes.size());
    require(
        std::equal(reencoded.begin(), reencoded.begin() + size, bytes.begin()));
    check_packet(read.value.packet);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
    const auto bytes = std::as_bytes(std::span(data, size));
    check_packet(bytes);
    check_frame(bytes);
    return 0;
}
