/// Offsets and sizes in IPv4 and TCP headers, in bytes (RFC 791, RFC 9293).

#ifndef GUAVASTAIR_LIB_FLOW_HEADER_LAYOUT_HPP
#define GUAVASTAIR_LIB_FLOW_HEADER_LAYOUT_HPP

#include <cstddef>
#include <cstdint>

namespace guavastair::flow {

inline constexpr std::size_t word_size = 4;
inline constexpr std::uint8_t tcp_protocol_number = 6;

namespace ipv4 {
inline constexpr std::size_t min_header_size = 20;
inline constexpr std::size_t total_length = 2;
inline constexpr std::size_t fragment = 6;
inline constexpr std::size_t time_to_live = 8;
inline constexpr std::size_t protocol = 9;
inline constexpr std::size_t checksum = 10;
inline constexpr std::size_t source = 12;
inline constexpr std::size_t destination = 16;
/// Size of the source and destination address together.
inline constexpr std::size_t addresses_size = 8;
/// Selects the "more fragments" flag and the fragment offset.
inline constexpr std::uint16_t fragment_mask = 0x3fff;
} // namespace ipv4

namespace tcp {
inline constexpr std::size_t min_header_size = 20;
inline constexpr std::size_t source_port = 0;
inline constexpr std::size_t destination_port = 2;
inline constexpr std::size_t sequence = 4;
inline constexpr std::size_t acknowledgement = 8;
inline constexpr std::size_t data_offset = 12;
inline constexpr std::size_t flags = 13;
inline constexpr std::size_t checksum = 16;
} // namespace tcp

} // namespace guavastair::flow

#endif
