/// Loads and stores unsigned integers in network byte order.

#ifndef GUAVASTAIR_LIB_FLOW_BYTE_ORDER_HPP
#define GUAVASTAIR_LIB_FLOW_BYTE_ORDER_HPP

#include <cstddef>
#include <cstdint>

namespace guavastair::flow {

inline constexpr int bits_per_byte = 8;

/// Loads an unsigned integer of sizeof(Number) bytes from `from`.
template <typename Number> Number load(const std::byte* from) noexcept {
    std::uint64_t result = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        result = (result << bits_per_byte) | std::to_integer<unsigned>(from[i]);
    }
    return static_cast<Number>(result);
}

/// Stores `number` in sizeof(Number) bytes at `to`.
template <typename Number> void store(std::byte* to, Number number) noexcept {
    std::uint64_t remaining = number;
    for (std::size_t i = sizeof(Number); i-- > 0;) {
        to[i] = static_cast<std::byte>(remaining);
        remaining >>= bits_per_byte;
    }
}

} // namespace guavastair::flow

#endif
