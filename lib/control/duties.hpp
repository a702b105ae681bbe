/// Selects the members of a data centre that connect to the store.

#ifndef GUAVASTAIR_LIB_CONTROL_DUTIES_HPP
#define GUAVASTAIR_LIB_CONTROL_DUTIES_HPP

#include <guavastair/membership.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace guavastair::control {

/// The store duties of one member.
struct duties {
    /// Whether the member watches the store for documents.
    bool watches = false;
    /// The slot of the beacon that this member maintains, if any.
    std::optional<std::size_t> beacon_slot;

    bool operator==(const duties&) const = default;
};

/// Number of members per data centre that have each duty.
struct duty_counts {
    std::size_t watchers = 0;
    std::size_t beacons = 0;
};

/// Returns the duties of `self`. Members whose views agree reach the same
/// assignment. If views differ, two members may have the same duty, which is
/// harmless.
duties choose_duties(const membership::node_record& self,
                     std::span<const membership::member_view> members,
                     duty_counts counts);

} // namespace guavastair::control

#endif
