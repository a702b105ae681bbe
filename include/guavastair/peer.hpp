/// Messages between balancers and agents on a platform where this system
/// controls neither end of a flow: forwarded packets, the location of flows,
/// and status reports of the processes.
///
/// Messages are encoded with Cap'n Proto. Decoding limits how much it reads; a
/// malformed message is an error, never a crash.

#ifndef GUAVASTAIR_PEER_HPP
#define GUAVASTAIR_PEER_HPP

#include <guavastair/flow.hpp>
#include <guavastair/support.hpp>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace guavastair::peer {

/// Largest message, in bytes. A carried packet of max_carried_size and its
/// lists of endpoints fit.
inline constexpr std::size_t max_message_size = 2048;

/// Largest carried packet, in bytes.
inline constexpr std::size_t max_carried_size = 1500;

/// Longest name of a service or data centre, in bytes.
inline constexpr std::size_t max_name_size = 128;

/// Most endpoints in one list of a message.
inline constexpr std::size_t max_listed_endpoints = 16;

/// The state of a backend server as observed by its agent.
enum class server_condition : std::uint8_t {
    /// No report has been received yet.
    unknown,
    ready,
    draining,
    /// Its status report is overdue.
    silent,
    /// It has deregistered or crashed.
    gone,
};

absl::string_view to_string(server_condition condition);

/// The load of a backend server.
struct load_report {
    /// Number of requests that it can process concurrently.
    std::uint32_t slots = 1;
    /// Number of flows with an unanswered request.
    std::uint32_t in_progress = 0;
    /// Mean of in_progress over about the last second, in thousandths.
    std::uint32_t mean_in_progress = 0;
    std::uint32_t flows = 0;

    bool operator==(const load_report&) const = default;
};

/// An agent's status report about itself and its server.
struct agent_report {
    /// The endpoint at which the agent receives messages. Identifies the agent.
    support::endpoint agent;
    support::service_name service;
    support::data_centre_name data_centre;
    server_condition condition = server_condition::unknown;
    /// Whether the agent currently accepts opening packets.
    bool takes_openings = false;
    /// Whether the agent is still starting: it accepts opening packets once it
    /// has the information that it needs.
    bool starting = false;
    /// Number of openings that a cold server can still accept in the current
    /// second. The largest value if the server is warm.
    std::uint32_t opening_budget = UINT32_MAX;
    load_report load;
    /// Identifies this run of the agent process.
    std::uint64_t run = 0;
    /// Whether the agent is about to restart. Its server keeps running and its
    /// flows stay open.
    bool restarting = false;

    bool operator==(const agent_report&) const = default;
};

/// Identifies the version of the operators' view that a process has.
struct view_summary {
    /// The store's revision up to which the view is complete.
    support::revision as_of;
    /// The revision that wrote the configuration.
    support::revision config_revision;
    /// Hash of the view's content.
    std::uint64_t digest = 0;

    bool operator==(const view_summary&) const = default;
};

/// Whether the store has an entry for a process.
enum class listing : std::uint8_t { unknown, absent, present };

/// A balancer requests an agent's status report. It also makes the balancer
/// known to the agent.
struct ping {
    std::uint32_t sequence = 0;
    /// Identifies this run of the balancer process.
    std::uint64_t run = 0;
    view_summary view;
    /// Whether the store has an entry for the receiver, according to the
    /// sender.
    listing listed = listing::unknown;
    /// Number of agents that the sender knows.
    std::uint32_t agents = 0;
    /// Whether the sender exchanges lists of balancers: it sends those that it
    /// knows and requests those that the receiver knows.
    bool introduces = false;
    /// Balancers that the sender knows, except itself.
    std::vector<support::endpoint> balancers;

    bool operator==(const ping&) const = default;
};

/// Answers a ping. Sequence 0 marks an unsolicited report.
struct pong {
    std::uint32_t sequence = 0;
    view_summary view;
    agent_report report;
    /// Balancers that the agent has recently discovered.
    std::vector<support::endpoint> balancers;

    bool operator==(const pong&) const = default;
};

/// How the receiver handles a carried packet.
enum class carry_kind : std::uint8_t {
    /// The packet opens a flow. The receiver accepts it or forwards it to the
    /// first of `candidates`.
    open,
    /// The sender expects that the receiver owns the flow.
    deliver,
    /// Several agents receive the packet. Only the owner of the flow delivers
    /// it.
    locate,
};

absl::string_view to_string(carry_kind kind);

/// Returns at most max_listed_endpoints of `endpoints`. Consecutive rounds
/// return different parts, so that a receiver of several lists learns all
/// endpoints.
std::vector<support::endpoint>
rotating_subset(std::span<const support::endpoint> endpoints,
                std::uint32_t round);

/// A packet that is forwarded to the owner of its flow.
struct carried_packet {
    carry_kind kind = carry_kind::deliver;
    /// The balancer to notify of the flow's location.
    support::endpoint balancer;
    /// For open: the agents to try next, in this order.
    std::vector<support::endpoint> candidates;
    /// For open: agents that forwarded the packet to a better candidate, but
    /// would accept it.
    std::vector<support::endpoint> willing;
    /// For open: all candidates have been tried, so the packet is no longer
    /// forwarded to a better candidate.
    bool is_last_offer = false;
    /// For open: the revision that wrote the configuration by which the
    /// balancer chose the service.
    support::revision config_revision;
    /// The packet as received.
    std::span<const std::byte> packet;
};

/// The sender owns the flow.
struct flow_owned {
    flow::flow_key key;
    /// The agent's endpoint as in its report.
    support::endpoint agent;

    bool operator==(const flow_owned&) const = default;
};

/// The sender does not own the flow.
struct flow_absent {
    flow::flow_key key;
    support::endpoint agent;
    /// Whether the sender owned the flow and lost it together with its server.
    bool lost = false;
    /// Whether the sender or its server has ruled out that the server has the
    /// flow.
    bool certain = false;
    /// For carry_kind::deliver: the packet, to be forwarded elsewhere.
    std::span<const std::byte> packet;
};

/// A flow as it is listed in the store and in messages.
struct listed_flow {
    flow::flow_key key;
    /// The caller's last acknowledgement number. A reset is accepted only if
    /// its sequence number is close to it.
    std::uint32_t acknowledged = 0;

    bool operator==(const listed_flow&) const = default;
};

/// Most flows in one held_flows message: more would not fit into a datagram.
inline constexpr std::size_t max_flows_per_message = 48;

/// Flows that the agent owns, as far as it knows. It is sent to a balancer that
/// has just started. At most max_flows_per_message flows.
struct held_flows {
    support::endpoint agent;
    std::vector<listed_flow> flows;

    bool operator==(const held_flows&) const = default;
};

/// The open flows of one run of a server, as stored.
struct flow_list {
    /// When the server started, as it reported.
    std::int64_t server_born = 0;
    std::string server_id;
    std::vector<listed_flow> flows;

    bool operator==(const flow_list&) const = default;
};

/// Most flows in a flow_list.
inline constexpr std::size_t max_listed_flows = 4096;

/// Encodes at most max_listed_flows flows.
std::string encode_flow_list(const flow_list& list);

/// Decodes the result of encode_flow_list(). Fails with
/// error_kind::invalid_input.
absl::StatusOr<flow_list> decode_flow_list(absl::string_view data);

/// Decides when to fetch the operators' view from a peer, based on the
/// summaries that peers send. The store usually delivers a change sooner, so a
/// newer view is fetched from a peer only after a delay.
class view_fetch_policy {
public:
    enum class step : std::uint8_t {
        none,
        /// The peer has the same view, so the local one is also complete at the
        /// peer's revision.
        confirm,
        fetch,
    };

    explicit view_fetch_policy(
        support::duration fetch_delay = support::milliseconds(300));

    /// Handles the summary `theirs` of a peer's view; `ours` is the local one.
    /// `may_wait` is false while there is no local view: then a newer one is
    /// fetched without delay.
    step on_summary(support::instant now, const view_summary& ours,
                    const view_summary& theirs, bool may_wait);

    /// Returns whether a view that a packet waits for may be fetched without
    /// the delay. Limits the rate, as any caller can send such packets.
    bool allows_urgent_fetch(support::instant now);

private:
    support::duration fetch_delay;
    /// When peers first reported a newer configuration or a newer view, or when
    /// the last fetch was requested.
    std::optional<support::instant> newer_configuration_since;
    std::optional<support::instant> newer_view_since;
    std::optional<support::instant> last_urgent_fetch;
};

using message = std::variant<ping, pong, carried_packet, flow_owned,
                             flow_absent, held_flows>;

/// Encodes into `out` and returns the size in bytes. Every valid message fits.
std::size_t encode(const message& body,
                   std::span<std::byte, max_message_size> out);

/// Decodes the result of encode(). Packets of the result point into `data`,
/// which must be aligned to 8 bytes. Fails with error_kind::invalid_input.
absl::StatusOr<message> decode(std::span<const std::byte> data);

} // namespace guavastair::peer

#endif
