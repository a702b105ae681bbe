/// Packet steering of a balancer on a platform where other processes terminate
/// the flows: which agents are reachable, which of them is offered a new flow,
/// and which agent owns a flow that this balancer has not seen before.
///
/// The location of a flow is the agent that owns it. Locations are hints that
/// agents report. If one is wrong or missing, the balancer searches for the
/// owner among the agents that may own the flow. A search that ends without an
/// owner does not prove that the flow is gone.
///
/// This library does no I/O, reads no clock and writes no log. Times passed to
/// one object must not decrease.

#ifndef GUAVASTAIR_STEERING_HPP
#define GUAVASTAIR_STEERING_HPP

#include <guavastair/flow.hpp>
#include <guavastair/peer.hpp>
#include <guavastair/routing.hpp>
#include <guavastair/support.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace guavastair::steering {

// ------------------------------------------------------------- members

struct member_settings {
    support::data_centre_name own_data_centre;
    /// Time between two pings of a responsive agent.
    support::duration ping_interval = support::milliseconds(250);
    /// Budget of pings per second, shared by all agents of other data centres
    /// that carry no traffic of this process. With more such agents each one is
    /// pinged less often, down to once per max_remote_ping_interval. Traffic
    /// between data centres is expensive.
    double remote_pings_per_second = 60.0;
    support::duration max_remote_ping_interval = support::milliseconds(1000);
    /// How long an agent counts as in use after a packet was sent to it.
    support::duration in_use_period = support::seconds(2);
    /// Time between two pings of an agent that also list other balancers.
    support::duration balancer_list_interval = support::seconds(2);
    /// Time between two pings of an agent that has been silent for a quarter of
    /// retention_period.
    support::duration unresponsive_ping_interval = support::milliseconds(1000);
    /// Silence after which an agent gets no opening packets. Scaled up for
    /// agents that are pinged less often than every ping_interval.
    support::duration unresponsive_after = support::milliseconds(600);
    /// Silence after which an agent's flows are reset, provided that at least
    /// half of the agents answer. Longer than a process takes to restart;
    /// scaled up like unresponsive_after.
    support::duration lost_after = support::milliseconds(2500);
    /// Time between two pings of an agent in use that is unresponsive but not
    /// yet lost. Short enough to detect its return before lost_after.
    support::duration silent_ping_interval = support::milliseconds(100);
    /// Replaces lost_after for an agent that has announced its restart; not
    /// scaled.
    support::duration restart_timeout = support::seconds(8);
    /// How long a member is kept that is neither listed nor answering.
    support::duration retention_period = support::seconds(60);
    /// Silence after which an agent's entry is removed from the store. Longer
    /// than a VM that returns stays away.
    support::duration abandoned_after = support::seconds(600);
    /// Further agents are ignored.
    std::size_t max_members = 4096;
};

/// The state of one agent as seen by a balancer.
struct member {
    peer::agent_report report;
    /// Whether the store lists the agent.
    bool is_listed = false;
    /// Whether the agent has ever answered this balancer.
    bool has_answered = false;
    support::instant first_seen;
    /// When the agent last answered. Also set when the agent is first seen and
    /// when this process resumes.
    support::instant last_answer;
    support::instant last_ping;
    support::instant last_balancer_list;
    /// When the last packet was sent to the agent.
    support::instant last_used;
    /// When the agent last came into use and changed from a longer ping
    /// interval to ping_interval.
    support::instant used_since;
    /// Opening packets sent to the agent since its last report.
    std::uint32_t openings_since_report = 0;
};

/// A ping to send.
struct due_ping {
    support::endpoint agent;
    /// Whether the ping also lists other balancers.
    bool lists_balancers = false;
};

/// The agents that a balancer has learned of, from the store or from the
/// agents' own reports.
class member_table {
public:
    explicit member_table(member_settings initial_settings);
    ~member_table();
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;

    /// Replaces the set of agents that the store lists.
    void set_listed(support::instant now,
                    std::span<const peer::agent_report> listed);

    /// Handles an agent's report about itself.
    void on_report(support::instant now, const peer::agent_report& report);

    /// Counts an opening packet that was sent to `agent`.
    void on_opening_sent(support::endpoint agent);

    /// Marks `agent` as in use: a packet was sent to it.
    void on_packet_sent(support::instant now, support::endpoint agent);

    /// Restarts the measurement of silence after this process was suspended:
    /// no answers could be received in that time.
    void on_resumed(support::instant now);

    /// Returns the pings that are due and marks them as sent.
    std::vector<due_ping> due_for_ping(support::instant now);

    /// Removes members that are not listed and have been silent for
    /// retention_period.
    void tick(support::instant now);

    /// Listed agents that have been silent for longer than abandoned_after,
    /// whose VMs are assumed not to return. Empty while is_connected() is
    /// false.
    std::vector<support::endpoint> abandoned_agents(support::instant now) const;

    const member* find(support::endpoint agent) const;
    std::size_t size() const;

    /// Whether the agent has answered within unresponsive_after, scaled for its
    /// ping interval.
    bool is_present(support::instant now, const member& agent) const;

    /// Whether the agent has been silent for longer than lost_after, so that
    /// its flows are to be reset. Always false while is_connected() is false.
    bool is_lost(support::instant now, const member& agent) const;

    /// Whether at least half of the agents that have ever answered are
    /// present. If not, this process itself is assumed to be partitioned.
    bool is_connected(support::instant now) const;

    /// Whether the agent is expected to accept an opening packet.
    bool takes_openings(support::instant now, const member& agent) const;

    /// Members of `service`. Valid until the table changes.
    std::vector<const member*>
    members_of(const support::service_name& service) const;

    /// All members. Valid until the table changes.
    std::vector<const member*> all() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

// ------------------------------------------------------------- openings

struct opening_settings {
    support::data_centre_name own_data_centre;
    /// Maximum number of agents that one opening packet is offered to.
    std::size_t max_candidates = 6;
    /// Number of agents of the own data centre, and of all others together,
    /// that are compared by load for each opening packet.
    std::size_t agents_compared = 2;
    /// How much higher the load of the own data centre's best candidate must
    /// be, in requests per slot, before another data centre is preferred.
    double spill_margin = 0.5;
};

/// The load of an agent's server in requests per slot. Includes opening
/// packets that were sent since the last report.
double load_of(const member& agent);

/// The agents to offer an opening packet to, best first. The agents of the own
/// data centre precede the others and each group is ordered by rendezvous
/// hashing; the first `agents_compared` of a group are then sorted by load. If
/// the own data centre is more loaded by spill_margin, the best agent of
/// another one is moved to the front.
std::vector<support::endpoint>
choose_opening(support::instant now, const opening_settings& settings,
               const member_table& members,
               const routing::routing_state& routes,
               const support::service_name& service, std::uint64_t flow_hash);

/// Whether every service that has agents has a present one. If not, this
/// balancer is partitioned from a service and other balancers serve its
/// callers better.
bool reaches_every_service(support::instant now, const member_table& members,
                           const routing::routing_state& routes);

/// All agents in the order in which to ask them for a flow of one of
/// `services`, most likely owner first. Uses the same ranking as
/// choose_opening(), so that an agent that was offered the flow comes early.
std::vector<support::endpoint>
search_order(support::instant now, const opening_settings& settings,
             const member_table& members,
             std::span<const support::service_name> services,
             std::uint64_t flow_hash);

// ----------------------------------------------------------- dispatcher

enum class dispatch_kind : std::uint8_t {
    /// Send the packet to each agent of `to`.
    send,
    /// The dispatcher keeps the packet until the search for its flow ends, or
    /// until this balancer has received the state that it needs to decide.
    hold,
    reset,
    drop,
};

absl::string_view to_string(dispatch_kind kind);

enum class dispatch_basis : std::uint8_t {
    opening,
    repeated_opening,
    located,
    searching,
    no_route,
    no_configuration,
    no_candidate,
    held,
    search_failed,
    overload,
    /// Every agent has ruled out that its server holds the flow.
    nowhere,
    /// This balancer or the agents of the service are still starting.
    starting,
    /// No route leads from the address, but a newer configuration exists.
    outdated,
};

absl::string_view to_string(dispatch_basis basis);

struct dispatch {
    dispatch_kind kind = dispatch_kind::drop;
    dispatch_basis basis = dispatch_basis::no_route;
    peer::carry_kind carry = peer::carry_kind::deliver;
    std::vector<support::endpoint> to;
    /// For opening packets: agents to try after `to`.
    std::vector<support::endpoint> candidates;
};

/// A held packet, or the packet of a search's next step, together with the
/// decision that is now due for it.
struct released_packet {
    flow::flow_key key;
    dispatch step;
    std::vector<std::byte> packet;
};

/// A flow whose agent is lost; a reset is to be sent to its caller.
struct lost_flow {
    flow::flow_key key;
    /// The caller's last acknowledgement number.
    std::uint32_t acknowledgement = 0;
};

struct dispatcher_settings {
    opening_settings opening;
    std::size_t max_locations = 65'536;
    /// Idle time after which a location is evicted.
    support::duration location_lifetime = support::seconds(60);
    std::size_t max_searches = 4'096;
    /// Rate limit of search messages. Beyond it no search starts: the packets
    /// are dropped and their callers retransmit them. A search sends a message
    /// to each agent it asks, so concurrent searches for all flows would leave
    /// no bandwidth for other messages.
    double search_messages_per_second = 1500.0;
    double search_message_burst = 1500.0;
    /// Maximum number of packets that wait for this balancer's initial state.
    std::size_t max_early_packets = 512;
    /// How long such a packet waits: less than a caller's retransmission
    /// timeout.
    support::duration early_packet_timeout = support::milliseconds(100);
    /// Maximum number of packets held for one flow.
    std::size_t max_held_per_flow = 8;
    /// Number of agents asked in the first step of a search.
    std::size_t first_step_size = 3;
    /// Number of agents asked in each further step.
    std::size_t further_step_size = 12;
    /// Time after which a search continues with its next step although not all
    /// agents have answered.
    support::duration step_timeout = support::milliseconds(40);
    /// How long a search waits for the last agents it asked: less than a
    /// caller's retransmission timeout.
    support::duration last_step_timeout = support::milliseconds(150);
    /// Maximum age of the last confirmation of the configuration at which a
    /// missing route is answered with a reset instead of a drop.
    support::duration max_configuration_age = support::milliseconds(3500);
    /// How long the search for a flow that all members have ruled out waits for
    /// the member list to be complete.
    support::duration ruled_out_timeout = support::milliseconds(1500);
};

/// Decides what to do with each packet that the platform's routers forward to
/// a balancer.
class dispatcher {
public:
    /// `members` and `routes` must outlive the dispatcher.
    dispatcher(dispatcher_settings initial_settings, member_table& members,
               const routing::routing_state& routes);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Decides on a caller's packet; `bytes` is the whole datagram.
    dispatch on_packet(support::instant now, const flow::packet& packet,
                       std::span<const std::byte> bytes);

    /// Records that `agent` owns the flow. Returns the packets held for it.
    std::vector<released_packet> on_owned(support::instant now,
                                          const flow::flow_key& key,
                                          support::endpoint agent);

    /// Records a flow that `agent` advertises. Agents advertise their flows to
    /// a balancer that is new to them, and after restoring flows from the
    /// store. A location that is cached already is kept. Returns the packets
    /// held for the flow.
    std::vector<released_packet>
    on_flow_advertised(support::instant now,
                       const peer::listed_flow& advertised,
                       support::endpoint agent);

    /// Handles the answer of an agent that does not own the flow. Returns the
    /// next step of the search, if one is due.
    std::vector<released_packet> on_absent(support::instant now,
                                           const peer::flow_absent& answer);

    /// Sets whether the member table contains every agent that may own a flow.
    /// A flow that all members have ruled out is reset only if so.
    void set_members_complete(bool complete);

    /// Continues searches whose step has timed out, decides on early packets
    /// again, and evicts idle locations. Returns the packets that are now due.
    [[nodiscard]] std::vector<released_packet> tick(support::instant now);

    /// Removes the locations that point to `agent` and returns those flows that
    /// this balancer has forwarded, so that their callers can be reset.
    std::vector<lost_flow> extract_lost_flows(support::endpoint agent);

    /// Whether a packet is pending, so that tick() must be called soon.
    bool has_pending_packets() const;

    std::size_t location_count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::steering

#endif
