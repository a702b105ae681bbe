/// Feeds arbitrary datagrams to the parser of the platform's packets.

#include "packet.hpp"

#include <cstdlib>
#include <vector>

namespace platform = guavastair::platform;

static void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
    const auto bytes = std::as_bytes(std::span(data, size));
    for (const auto writer :
         {platform::packet_origin::caller, platform::packet_origin::server}) {
        const auto read = platform::parse_packet(bytes, writer);
        if (!read.has_value()) {
            continue;
        }
        require(read->header.payload_size + platform::packet_header_size ==
                size);
        std::vector<std::byte> copy(bytes.begin(), bytes.end());
        platform::restore_packet(copy);
        const auto reparsed =
            platform::parse_packet(copy, platform::packet_origin::caller);
        require(reparsed.has_value() && !reparsed->returned);
        const auto reset = platform::make_reset(read->header.key,
                                                read->header.acknowledgement);
        const auto answer =
            platform::parse_packet(reset, platform::packet_origin::server);
        require(answer.has_value() && answer->header.key == read->header.key);
    }
    return 0;
}
