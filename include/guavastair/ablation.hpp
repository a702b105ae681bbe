/// Mechanisms of the balancer and agent roles that can be disabled by name, to
/// measure what each of them contributes. Processes in production run with all
/// of them enabled.

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
    // Balancer:
    /// Two agents are compared by load for each opening packet, instead of
    /// selecting one by the flow's hash.
    two_choices,
    /// Agents of the own data centre are preferred.
    local_first,
    /// Packets that arrive before a balancer has its first configuration and
    /// agents are queued.
    early_packets,
    /// The rate of search messages is limited.
    search_budget,
    /// Flows of an agent that has become silent are reset.
    silent_agent_resets,
    /// A balancer that reaches no agent of some service is not ready.
    readiness_by_reach,
    /// Agents of other data centres share a budget of pings.
    shared_pings,
    // Agent:
    /// Opening packets are queued only as long as their answers can still be in
    /// time.
    predicted_wait,
    /// Opening packets of non-idempotent and of higher-priority requests may be
    /// queued longer.
    urgency,
    /// The time left for a retransmitted opening packet is reduced by its age.
    copy_age,
    /// An opening packet for which no agent has a free slot is offered again to
    /// a busy agent.
    second_offer,
    /// Flows are recorded in the store.
    flow_ledger,
    /// An agent advertises its flows to a balancer that is new to it. The name
    /// to disable it is "told_flows".
    flow_advertisements,
    // Both:
    /// The operators' settings are also fetched from peers.
    peer_views,
};

inline constexpr std::size_t mechanism_count = 14;

absl::string_view to_string(mechanism value);

/// The set of mechanisms that a process runs with.
class mechanisms {
public:
    /// All mechanisms except those in `list`, a comma-separated list of names.
    /// An empty list gives all mechanisms.
    /// Errors: error_kind::invalid_input, naming the unknown mechanism.
    static absl::StatusOr<mechanisms> without(absl::string_view list);

    bool has(mechanism value) const;

    /// The names of the disabled mechanisms, separated by commas.
    std::string disabled_names() const;

private:
    std::bitset<mechanism_count> disabled;
};

} // namespace guavastair::ablation

#endif
