/// Builds IPv4 packets with TCP segments for tests, independently of the code
/// under test.

#ifndef GUAVASTAIR_UNITTESTS_PACKET_BUILDER_HPP
#define GUAVASTAIR_UNITTESTS_PACKET_BUILDER_HPP

#include <guavastair/flow.hpp>

#include <vector>

namespace builder {

using bytes = std::vector<std::byte>;

/// A packet with these header fields, a payload of `headers.payload_size` bytes
/// and correct checksums. The sizes of the options are in words of 4 bytes.
bytes make_packet(const guavastair::flow::packet& headers,
                  std::size_t ip_option_words = 0,
                  std::size_t tcp_option_words = 0);

/// Recomputes the IPv4 header checksum and the TCP checksum of `packet`.
void fix_checksums(bytes& packet);

/// Recomputes the IPv4 header checksum of `packet`.
void fix_ip_checksum(bytes& packet);

} // namespace builder

#endif
