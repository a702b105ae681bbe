/// Mechanisms of the roles on the users' platform that can be switched off by
/// name, to measure what each of them is worth. A process in service runs with
/// all of them.

#ifndef GUAVASTAIR_ABLATION_HPP
#define GUAVASTAIR_ABLATION_HPP

#include <guavastair/support.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string>

namespace guavastair::ablation {

enum class mechanism : std::uint8_t {
    // Of a balancer.
    /// Two agents are compared by load for each opening, instead of one taken
    /// by the flow's hash.
    two_choices,
    /// Agents of the own data centre come first.
    local_first,
    /// Packets wait for a balancer's first configuration and agents.
    early_packets,
    /// The messages of searches are bounded.
    search_budget,
    /// Flows of an agent that has fallen silent are reset.
    silent_agent_resets,
    /// A balancer that reaches no agent of some service is not ready.
    readiness_by_reach,
    /// Agents of other data centres share a number of pings.
    shared_pings,
    // Of an agent.
    /// Openings wait only as long as their answers can be in time.
    predicted_wait,
    /// Unrepeatable and more important openings may wait longer.
    urgency,
    /// A copy of an opening has less time left.
    copy_age,
    /// An opening that nobody has a free slot for comes back to a busy agent.
    second_offer,
    /// Flows are remembered in the store.
    flow_ledger,
    /// A balancer that is new to an agent is told of its flows.
    flow_advertisements,
    // Of both.
    /// Views of the operators are taken from peers.
    peer_views,
};

inline constexpr std::size_t mechanism_count = 14;

absl::string_view to_string(mechanism each);

/// Which mechanisms a process runs with.
class mechanisms {
public:
    /// All but those of `list`, names separated by commas; empty: all.
    /// Errors: error_kind::invalid_input with the name that is unknown.
    static absl::StatusOr<mechanisms> without(absl::string_view list);

    bool has(mechanism each) const;

    /// The names of those that are off, separated by commas.
    std::string disabled_names() const;

private:
    std::bitset<mechanism_count> off;
};

} // namespace guavastair::ablation

#endif
