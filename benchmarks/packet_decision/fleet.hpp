/// Fleets and packets of a given size for the benchmarks.

#ifndef GUAVASTAIR_BENCHMARKS_FLEET_HPP
#define GUAVASTAIR_BENCHMARKS_FLEET_HPP

#include <guavastair/flow.hpp>

#include <vector>

namespace bench {

namespace flow = guavastair::flow;
namespace placement = guavastair::placement;
namespace support = guavastair::support;

/// Number of calls of operator new in this program so far.
std::size_t allocations();

/// Bytes allocated and not yet freed.
std::size_t allocated_bytes();

/// Service number `number` with `member_count` members.
placement::service_members make_service(std::uint32_t number,
                                        std::uint32_t member_count);

/// A view of `services` services that share `members` members.
std::shared_ptr<const placement::fleet_view> make_view(std::uint32_t services,
                                                       std::uint32_t members);

/// Packets of `count` flows, distributed evenly over the first `services`
/// services.
std::vector<std::vector<std::byte>> make_packets(std::size_t count,
                                                 std::uint32_t services);

} // namespace bench

#endif
