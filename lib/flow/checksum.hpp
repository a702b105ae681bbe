/// The Internet checksum (RFC 1071).

#ifndef GUAVASTAIR_LIB_FLOW_CHECKSUM_HPP
#define GUAVASTAIR_LIB_FLOW_CHECKSUM_HPP

#include "byte_order.hpp"

#include <span>

namespace guavastair::flow {

/// Adds `bytes` to a running one's-complement sum.
inline std::uint64_t add_to_sum(std::uint64_t sum,
                                std::span<const std::byte> bytes) noexcept {
    std::size_t i = 0;
    for (; i + sizeof(std::uint32_t) <= bytes.size(); i += 4) {
        sum += load<std::uint32_t>(bytes.data() + i);
    }
    for (; i + sizeof(std::uint16_t) <= bytes.size(); i += 2) {
        sum += load<std::uint16_t>(bytes.data() + i);
    }
    if (i < bytes.size()) {
        sum += std::to_integer<std::uint64_t>(bytes[i]) << bits_per_byte;
    }
    return sum;
}

/// Folds a one's-complement sum to 16 bits and returns its complement, which is
/// the checksum. The result is 0 for data that includes a correct checksum.
inline std::uint16_t fold_sum(std::uint64_t sum) noexcept {
    constexpr int half_bits = 16;
    constexpr std::uint64_t half_mask = 0xffff;
    while ((sum >> half_bits) != 0) {
        sum = (sum & half_mask) + (sum >> half_bits);
    }
    return static_cast<std::uint16_t>(~sum);
}

/// The one's-complement sum over the TCP pseudo-header and `segment`.
/// `addresses` holds the source and destination address.
inline std::uint64_t sum_of_segment(std::span<const std::byte> addresses,
                                    std::span<const std::byte> segment) {
    constexpr std::uint64_t tcp_protocol = 6;
    return add_to_sum(add_to_sum(tcp_protocol + segment.size(), addresses),
                      segment);
}

} // namespace guavastair::flow

#endif
