/// Prepares the members that a service_table is built from.

#ifndef GUAVASTAIR_LIB_PLACEMENT_MEMBERS_HPP
#define GUAVASTAIR_LIB_PLACEMENT_MEMBERS_HPP

#include <guavastair/placement.hpp>

#include <vector>

namespace guavastair::placement {

/// Sorts `members` by address. Keeps only the member that joined last at each
/// address, and at most 65535 members because indexes have 16 bits.
void keep_one_per_address(std::vector<member>& members);

} // namespace guavastair::placement

#endif
