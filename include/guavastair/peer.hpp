/// Messages between balancers and agents on a platform where the ends of a
/// flow are not ours: packets on their way, where a flow lives, and what each
/// process reports about itself.
///
/// Messages are Cap'n Proto. Decoding bounds what it reads; anything malformed
/// is an error, never a crash.

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

/// Largest message, in bytes; longer than a carried packet and its list.
inline constexpr std::size_t max_message_size = 2048;

/// Largest carried packet, in bytes.
inline constexpr std::size_t max_carried_size = 1500;

/// Longest name of a service or data centre, in bytes.
inline constexpr std::size_t max_name_size = 128;

/// Most agents listed in one message.
inline constexpr std::size_t max_listed_endpoints = 16;

/// What an agent knows of its backend server.
enum class server_condition : std::uint8_t {
    /// Nothing yet.
    unknown,
    ready,
    draining,
    /// It ought to have spoken and has not.
    silent,
    /// It has left or crashed.
    gone,
};

absl::string_view to_string(server_condition condition);

/// How busy a backend server is.
struct load_report {
    /// Requests it can work on at a time.
    std::uint32_t slots = 1;
    /// Flows with a request that has no answer yet.
    std::uint32_t in_progress = 0;
    /// Mean of in_progress over the last second or so, in thousandths.
    std::uint32_t mean_in_progress = 0;
    std::uint32_t flows = 0;

    bool operator==(const load_report&) const = default;
};

/// An agent's word about itself and its server.
struct agent_report {
    /// Where the agent receives messages; identifies it.
    support::endpoint agent;
    support::service_name service;
    support::data_centre_name data_centre;
    server_condition condition = server_condition::unknown;
    /// Whether an opening packet would be taken now.
    bool takes_openings = false;
    /// Not yet, but as soon as the agent knows what it needs to know.
    bool starting = false;
    /// Openings that a cold server still bears in this second; the largest
    /// value if it is warm.
    std::uint32_t opening_budget = UINT32_MAX;
    load_report load;
    /// Identifies this run of the agent.
    std::uint64_t run = 0;
    /// The agent is about to restart; its server and flows live on.
    bool restarting = false;

    bool operator==(const agent_report&) const = default;
};

/// What a process holds of the operators' decisions.
struct view_summary {
    support::revision as_of;
    /// The revision that wrote the configuration.
    support::revision config_revision;
    std::uint64_t digest = 0;

    bool operator==(const view_summary&) const = default;
};

enum class listing : std::uint8_t { unknown, absent, present };

/// A balancer asks an agent for its report. Also tells the agent that the
/// balancer is there.
struct ping {
    std::uint32_t sequence = 0;
    /// Identifies this run of the balancer.
    std::uint64_t run = 0;
    view_summary view;
    /// Whether the store lists the receiver, as far as the sender knows.
    listing listed = listing::unknown;
    /// Agents that the sender knows.
    std::uint32_t agents = 0;
    /// Whether the sender wants to hear of other balancers and names those
    /// that it knows.
    bool introduces = false;
    /// Balancers that the sender knows, itself left out.
    std::vector<support::endpoint> balancers;

    bool operator==(const ping&) const = default;
};

/// Answers a ping; with sequence 0 it was sent unasked.
struct pong {
    std::uint32_t sequence = 0;
    view_summary view;
    agent_report report;
    /// Balancers that the agent heard of lately.
    std::vector<support::endpoint> balancers;

    bool operator==(const pong&) const = default;
};

/// How a packet is to be treated.
enum class carry_kind : std::uint8_t {
    /// It opens a flow: take it or pass it to the first of `candidates`.
    open,
    /// The flow is believed to live at the receiver.
    deliver,
    /// Several agents get this: only the owner of the flow delivers it.
    locate,
};

absl::string_view to_string(carry_kind kind);

/// At most max_listed_endpoints of `known`, another part of them each turn, so
/// that who hears several lists hears of everybody.
std::vector<support::endpoint>
rotating_subset(std::span<const support::endpoint> known, std::uint32_t turn);

/// A packet on its way to the owner of its flow.
struct carried_packet {
    carry_kind kind = carry_kind::deliver;
    /// The balancer that hears where the flow lives.
    support::endpoint balancer;
    /// For open: agents to try next, the first one first.
    std::vector<support::endpoint> candidates;
    /// For open: agents that passed it on for a better one, but would take it.
    std::vector<support::endpoint> willing;
    /// For open: all candidates have been asked, so it is not passed on for a
    /// better one any more.
    bool is_last_offer = false;
    /// The packet as it came.
    std::span<const std::byte> packet;
};

/// The flow lives at the sender.
struct flow_owned {
    flow::flow_key key;
    /// The agent, as in its report.
    support::endpoint agent;

    bool operator==(const flow_owned&) const = default;
};

/// The flow does not live at the sender.
struct flow_absent {
    flow::flow_key key;
    support::endpoint agent;
    /// Whether the flow was here and has ended with its server.
    bool lost = false;
    /// Whether the sender or its server has ruled out that the flow is here.
    bool certain = false;
    /// For a `deliver`: the packet, to be carried elsewhere.
    std::span<const std::byte> packet;
};

/// A flow as it is remembered in the store.
struct listed_flow {
    flow::flow_key key;
    /// The caller's last acknowledgement: a reset must be near it.
    std::uint32_t acknowledged = 0;

    bool operator==(const listed_flow&) const = default;
};

/// Most flows in one `held`: more would not fit into a datagram.
inline constexpr std::size_t max_flows_per_message = 48;

/// Flows that live at the agent, as far as it knows: for a balancer that has
/// just started. At most max_flows_per_message.
struct held_flows {
    support::endpoint agent;
    std::vector<listed_flow> flows;

    bool operator==(const held_flows&) const = default;
};

/// The flows that one start of a server holds.
struct flow_list {
    std::int64_t server_born = 0;
    std::string server_id;
    std::vector<listed_flow> flows;

    bool operator==(const flow_list&) const = default;
};

/// Most flows in a flow_list.
inline constexpr std::size_t max_listed_flows = 4096;

/// Encodes at most max_listed_flows flows.
std::string encode_flow_list(const flow_list& list);

/// Decodes what encode_flow_list() made. Fails with error_kind::invalid_input.
absl::StatusOr<flow_list> decode_flow_list(absl::string_view data);

/// Decides, from what peers hold, when to fetch the operators' view from one of
/// them. The store's own word is usually quicker, so a peer's newer view is
/// left to it for a moment.
class view_fetch_policy {
public:
    enum class step : std::uint8_t {
        none,
        /// The peer holds the same: ours was complete at its revision too.
        confirm,
        fetch,
    };

    explicit view_fetch_policy(
        support::duration fetch_delay = support::milliseconds(300));

    /// A peer told `theirs`; `ours` is held here. `may_wait` is false while
    /// nothing is held at all.
    step on_summary(support::instant now, const view_summary& ours,
                    const view_summary& theirs, bool may_wait);

private:
    support::duration fetch_delay;
    /// Since when a newer configuration, and a newer view, have been seen.
    std::optional<support::instant> newer_configuration_since;
    std::optional<support::instant> newer_view_since;
};

using message = std::variant<ping, pong, carried_packet, flow_owned,
                             flow_absent, held_flows>;

/// Encodes into `out` and returns the size. Everything that honest senders
/// make fits.
std::size_t encode(const message& body,
                   std::span<std::byte, max_message_size> out);

/// Decodes what encode() made. Packets point into `data`, which must be
/// aligned to 8 bytes. Fails with error_kind::invalid_input.
absl::StatusOr<message> decode(std::span<const std::byte> data);

} // namespace guavastair::peer

#endif
