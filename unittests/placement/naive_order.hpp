/// Reference implementation of the candidate order: computes it from all
/// members for one flow at a time. service_table must produce the same order.

#ifndef GUAVASTAIR_UNITTESTS_NAIVE_ORDER_HPP
#define GUAVASTAIR_UNITTESTS_NAIVE_ORDER_HPP

#include <guavastair/placement.hpp>

#include <vector>

namespace naive {

using member_list = std::vector<guavastair::placement::member>;

/// Returns all members, highest score first. Addresses must differ.
member_list ranking(member_list members, std::uint64_t flow_hash);

/// Returns all members in listing order: the first three that are not draining;
/// then those that had fewer than three such members before them when they
/// joined; then the others that are not draining; then the rest.
member_list listing_order(const member_list& members, std::uint64_t flow_hash);

/// Returns the candidates that a service_table must list.
guavastair::placement::candidate_list candidates(const member_list& members,
                                                 std::uint64_t flow_hash);

} // namespace naive

#endif
