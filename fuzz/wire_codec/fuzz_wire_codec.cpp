// Feeds arbitrary bytes to every decoder of lib/wire. What decodes must encode
// and decode again to the same value. Data that was not sealed must not open.

#include <guavastair/wire.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>

namespace {

using guavastair::wire::byte_view;

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

void check_membership(byte_view data) {
    using namespace guavastair;
    const auto decoded = wire::decode_membership(data);
    if (!decoded.ok()) {
        return;
    }
    const wire::bytes encoded = wire::encode(*decoded);
    const std::size_t bound = membership::size_bound(*decoded);
    require(encoded.size() <= bound);
    // Larger messages are never sent.
    if (bound <= membership::max_datagram_size) {
        const auto again = wire::decode_membership(encoded);
        require(again.ok() && *again == *decoded);
    }
}

void check_change_set(byte_view data) {
    using namespace guavastair;
    const auto decoded = wire::decode_change_set(data);
    if (!decoded.ok()) {
        return;
    }
    const auto again = wire::decode_change_set(wire::encode(*decoded));
    require(again.ok() && *again == *decoded);
}

void check_open(byte_view data) {
    using namespace guavastair;
    static wire::opener receiver({"a key for the fuzz target"}, {{1}, 1});
    require(!receiver.open(data).ok());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
    const byte_view view(data, size);
    check_membership(view);
    check_change_set(view);
    static_cast<void>(guavastair::wire::decode_pull_request(view));
    check_open(view);
    return 0;
}
