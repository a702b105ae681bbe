/// A balancer's decisions on a platform where the ends of a flow are
/// elsewhere: which agents are there, which of them is asked to take a new
/// flow, and where a flow lives that this balancer has not seen before.
///
/// Locations are hints that the owners give; a wrong or missing one leads to a
/// search among the agents that may own the flow. The end of a search is no
/// proof that the flow is gone.
///
/// Nothing here does I/O, reads a clock or writes a log. Times given to one
/// object must not go back.

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
    /// Time between two pings of an agent that answers.
    support::duration ping_interval = support::milliseconds(250);
    /// Pings a second to agents of other data centres that carry nothing for
    /// this process; more agents are pinged less often each, down to
    /// longest_remote_interval. Bytes between data centres are dear.
    double remote_pings_per_second = 60.0;
    support::duration longest_remote_interval = support::milliseconds(1000);
    /// How long after a packet for it an agent counts as in use.
    support::duration use_time = support::seconds(2);
    /// Time between two pings that also name other processes.
    support::duration introduction_interval = support::seconds(2);
    /// Time between two pings of one that has not answered for long.
    support::duration absent_ping_interval = support::milliseconds(1000);
    /// Silence after which an agent gets no opening packets; longer for one
    /// that is pinged less often.
    support::duration dark_after = support::milliseconds(600);
    /// Silence after which an agent's flows are given up, if most other agents
    /// answer: longer than a process takes to restart.
    support::duration lost_after = support::milliseconds(2500);
    /// Time between two pings of an agent in use that has fallen silent, until
    /// it is given up: its return must be seen before that.
    support::duration silent_ping_interval = support::milliseconds(100);
    /// As lost_after for an agent that has announced its restart.
    support::duration restart_timeout = support::seconds(8);
    /// How long an agent that is neither listed nor answering is remembered.
    support::duration forget_after = support::seconds(60);
    /// Silence after which an agent's entry is taken out of the store: longer
    /// than a VM is away that comes back.
    support::duration abandoned_after = support::seconds(600);
    std::size_t max_members = 4096;
};

/// One agent as a balancer knows it.
struct member {
    peer::agent_report report;
    /// Whether the store lists it.
    bool is_listed = false;
    bool answered = false;
    support::instant first_seen;
    support::instant last_answer;
    support::instant last_ping;
    support::instant last_introduction;
    /// The last packet that was carried to it, and the first one after which
    /// it was no longer pinged rarely.
    support::instant last_used;
    support::instant used_since;
    /// Openings sent to it since its last report.
    std::uint32_t openings_since_report = 0;
};

/// A ping to be sent.
struct due_ping {
    support::endpoint agent;
    /// Whether it also names other processes.
    bool lists_balancers = false;
};

/// The agents that a balancer knows, from the store and from their own word.
class member_table {
public:
    explicit member_table(member_settings chosen);
    ~member_table();
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;

    /// The store lists exactly these agents now.
    void set_listed(support::instant now,
                    std::span<const peer::agent_report> listed);

    /// An agent reported about itself.
    void on_report(support::instant now, const peer::agent_report& report);

    /// An opening packet was sent to `agent`.
    void on_opening_sent(support::endpoint agent);

    /// A packet was sent to `agent`.
    void on_packet_sent(support::instant now, support::endpoint agent);

    /// The process stood still: silence in that time says nothing.
    void on_resumed(support::instant now);

    /// Pings to send now; counts them as sent.
    std::vector<due_ping> due_for_ping(support::instant now);

    /// Forgets members that have been gone for long.
    void tick(support::instant now);

    /// Listed agents that have been silent for so long that their VMs are
    /// gone for good. None while this process is cut off from most agents.
    std::vector<support::endpoint> abandoned_agents(support::instant now) const;

    const member* find(support::endpoint agent) const;
    std::size_t size() const;

    /// Whether the agent has answered lately.
    bool is_present(support::instant now, const member& each) const;

    /// Whether the agent has been silent for so long that its flows are given
    /// up. Never while this process is cut off from most agents.
    bool is_lost(support::instant now, const member& each) const;

    /// Whether most agents have answered lately.
    bool is_connected(support::instant now) const;

    /// Whether the agent would take an opening packet, as far as is known.
    bool takes_openings(support::instant now, const member& each) const;

    /// Members of `service`. Valid until the table changes.
    std::vector<const member*>
    members_of(const support::service_name& service) const;

    /// Every member. Valid until the table changes.
    std::vector<const member*> all() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

// ------------------------------------------------------------- openings

struct opening_settings {
    support::data_centre_name own_data_centre;
    /// Most agents that one opening packet is offered to.
    std::size_t max_candidates = 6;
    /// Agents of one data centre that are compared by load for each opening.
    std::size_t agents_compared = 2;
    /// How much busier, in requests for each slot, the own data centre's
    /// choice must be for another data centre's to be preferred.
    double spill_margin = 0.5;
};

/// The load of an agent's server in requests for each slot, openings on their
/// way included.
double load_of(const member& each);

/// The agents to offer an opening packet to, the first one first: two chosen
/// by the flow's hash and compared by load, then the others.
std::vector<support::endpoint>
choose_opening(support::instant now, const opening_settings& settings,
               const member_table& members, const routing::routing_state& rules,
               const support::service_name& service, std::uint64_t flow_hash);

/// Whether each service that has agents has one that answers. A balancer for
/// which this is not so is cut off, and others serve its callers better.
bool reaches_every_service(support::instant now, const member_table& members,
                           const routing::routing_state& rules);

/// Every agent that may own a flow of `service` addresses, the likeliest
/// first: those that choose_opening() compares first for this hash.
std::vector<support::endpoint>
search_order(support::instant now, const opening_settings& settings,
             const member_table& members,
             std::span<const support::service_name> services,
             std::uint64_t flow_hash);

// ----------------------------------------------------------- dispatcher

enum class dispatch_kind : std::uint8_t {
    /// Send the packet to each of `to`.
    send,
    /// The packet waits until the search ends, or until this balancer knows
    /// what it needs to decide.
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
    /// Every agent has ruled out that the flow is with its server.
    nowhere,
    /// This balancer does not know yet what it needs to know.
    starting,
};

absl::string_view to_string(dispatch_basis basis);

struct dispatch {
    dispatch_kind kind = dispatch_kind::drop;
    dispatch_basis basis = dispatch_basis::no_route;
    peer::carry_kind carry = peer::carry_kind::deliver;
    std::vector<support::endpoint> to;
    /// For openings: agents to try after `to`.
    std::vector<support::endpoint> candidates;
};

/// A held packet that goes on, or another step of a search.
struct released_packet {
    flow::flow_key key;
    dispatch step;
    std::vector<std::byte> packet;
};

/// A flow to be reset towards its caller.
struct lost_flow {
    flow::flow_key key;
    /// The caller's last acknowledgement.
    std::uint32_t acknowledgement = 0;
};

struct dispatcher_settings {
    opening_settings opening;
    std::size_t max_locations = 65'536;
    /// A location that was not used for so long is forgotten.
    support::duration location_lifetime = support::seconds(60);
    std::size_t max_searches = 4'096;
    /// Messages of searches in a second, and at once; packets of further flows
    /// are dropped, and their callers send them again. A search costs a message
    /// for each agent it asks, so searches for all flows at once would leave no
    /// room for anything else.
    double search_messages_per_second = 1500.0;
    double search_message_burst = 1500.0;
    /// Packets that wait while this balancer knows nothing yet, and how long:
    /// less than the time after which a caller sends its packet again.
    std::size_t max_early_packets = 512;
    support::duration early_time = support::milliseconds(100);
    /// Packets held for one flow.
    std::size_t max_held = 8;
    /// Agents asked in the first step of a search and in each further one.
    std::size_t first_step = 3;
    std::size_t further_step = 12;
    /// A step that is not answered in full goes on after this long.
    support::duration step_time = support::milliseconds(40);
    /// How long a search waits for the last agents it asked: less than the
    /// time after which a caller sends its packet again.
    support::duration last_step_time = support::milliseconds(150);
    /// How fresh the configuration must be to say that there is no route.
    support::duration certain_for = support::milliseconds(3500);
    /// How long a flow that all members have ruled out waits for the members
    /// to be complete.
    support::duration verdict_time = support::milliseconds(1500);
};

/// Decides about every packet that the platform's routers hand to a balancer.
class dispatcher {
public:
    /// `members` and `rules` must outlive the dispatcher.
    dispatcher(dispatcher_settings chosen, member_table& members,
               const routing::routing_state& rules);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// A caller's packet; `bytes` is the whole datagram.
    dispatch on_packet(support::instant now, const flow::packet& packet,
                       std::span<const std::byte> bytes);

    /// An agent owns the flow. Returns what waited for this.
    std::vector<released_packet> on_owned(support::instant now,
                                          const flow::flow_key& key,
                                          support::endpoint agent);

    /// An agent that this balancer has not heard of before, or the other way
    /// round, told of a flow that lives there. Returns what waited for this.
    std::vector<released_packet>
    on_flow_advertised(support::instant now, const peer::listed_flow& each,
                       support::endpoint agent);

    /// An agent does not own the flow.
    std::vector<released_packet> on_absent(support::instant now,
                                           const peer::absent& answer);

    /// Tells whether every agent that may own a flow is a member now. Only
    /// then is a flow that all members rule out reset.
    void set_members_complete(bool complete);

    /// Goes on with searches whose step has lasted long enough, and with
    /// packets that came before anything was known.
    [[nodiscard]] std::vector<released_packet> tick(support::instant now);

    /// The flows that were last seen at `agent`, whose callers must hear that
    /// it is lost. Forgets their locations.
    std::vector<lost_flow> extract_lost_flows(support::endpoint agent);

    /// Whether a packet waits, so that tick() is due soon.
    bool has_pending_packets() const;

    std::size_t location_count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::steering

#endif
