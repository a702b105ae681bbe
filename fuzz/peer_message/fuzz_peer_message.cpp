/// Feeds arbitrary bytes to the readers of peer messages and flow lists. What
/// they accept can be written and read again.

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
    const std::size_t used = std::min(size, bytes.size());
    std::memcpy(bytes.data(), data, used);
    const auto read = peer::decode(std::span(bytes).first(used));
    if (read.ok()) {
        alignas(8) std::array<std::byte, peer::max_message_size> again{};
        const std::size_t written = peer::encode(*read, again);
        require(peer::decode(std::span(again).first(written)).ok());
    }
    const absl::string_view text(reinterpret_cast<const char*>(data), size);
    const auto list = peer::decode_flow_list(text);
    if (list.ok()) {
        const auto once_more =
            peer::decode_flow_list(peer::encode_flow_list(*list));
        require(once_more.ok() && *once_more == *list);
    }
    return 0;
}
