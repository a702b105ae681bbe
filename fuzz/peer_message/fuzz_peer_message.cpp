/// Feeds arbitrary bytes to the decoders of peer messages and flow lists. What
/// decodes must encode and decode again.

#include <guavastair/peer.hpp>

#include <array>
#include <cstdlib>
#include <cstring>

namespace peer = guavastair::peer;

static void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
    alignas(8) std::array<std::byte, peer::max_message_size> bytes{};
    const std::size_t input_size = std::min(size, bytes.size());
    std::memcpy(bytes.data(), data, input_size);
    const auto read = peer::decode(std::span(bytes).first(input_size));
    if (read.ok()) {
        alignas(8) std::array<std::byte, peer::max_message_size> reencoded{};
        const std::size_t written = peer::encode(*read, reencoded);
        require(peer::decode(std::span(reencoded).first(written)).ok());
    }
    const absl::string_view text(reinterpret_cast<const char*>(data), size);
    const auto list = peer::decode_flow_list(text);
    if (list.ok()) {
        const auto reparsed =
            peer::decode_flow_list(peer::encode_flow_list(*list));
        require(reparsed.ok() && *reparsed == *list);
    }
    return 0;
}
