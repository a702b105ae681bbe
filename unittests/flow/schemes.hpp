/// The load-balancing schemes that the flow search test compares.

#ifndef GUAVASTAIR_UNITTESTS_SCHEMES_HPP
#define GUAVASTAIR_UNITTESTS_SCHEMES_HPP

#include "fleet_fake.hpp"

#include <memory>

namespace fake {

/// The flow search of the flow library.
std::unique_ptr<scheme> make_flow_search();
/// The target is member number hash mod n, in the order of the addresses.
std::unique_ptr<scheme> make_modulo_hashing();
/// The target is the first candidate; no packet is passed on.
std::unique_ptr<scheme> make_consistent_hashing();
/// As consistent hashing, but each balancer remembers the targets of its flows.
std::unique_ptr<scheme> make_balancer_flow_table();

} // namespace fake

#endif
