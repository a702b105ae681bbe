/// An agent's decisions about the flows of its backend server: which flows the
/// server holds, whether it may accept another one, and what state it is in.
///
/// The agent is the only path to its server. An opening that is refused here
/// therefore never reaches the server, however outdated the view of the
/// balancer that sent it.
///
/// Nothing here does I/O, reads a clock or writes a log. The times passed to
/// one object must not decrease.

#ifndef GUAVASTAIR_OWNERSHIP_HPP
#define GUAVASTAIR_OWNERSHIP_HPP

#include <guavastair/flow.hpp>
#include <guavastair/peer.hpp>
#include <guavastair/support.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavastair::ownership {

// ------------------------------------------------------ opening budget

/// Limits how many flows open at a cold server within any one second.
class opening_budget {
public:
    /// Returns the number of openings allowed within one second: `rate` per
    /// second times `factor`, plus `slack`, rounded down. One is subtracted
    /// because packets may arrive closer together than they were sent. The
    /// result is at least 1. A `rate` of 0 or less means no limit and returns
    /// UINT32_MAX.
    static std::uint32_t limit(double rate, double factor, double slack);

    /// Returns how many more flows may open at `now` if at most `allowed` may
    /// open within one second.
    std::uint32_t remaining(support::instant now, std::uint32_t allowed);

    /// Counts one opening.
    void spend(support::instant now);

private:
    void evict_expired(support::instant now);

    std::deque<support::instant> recent_openings;
};

// ------------------------------------------------------ server monitor

/// A backend server's report about itself.
struct server_report {
    /// Identifies one start of the server, together with `start_time_ms`.
    std::string id;
    /// When the server started, in milliseconds since the Unix epoch.
    std::int64_t start_time_ms = 0;
    /// Increases with each report of one start.
    std::int64_t sequence = 0;
    bool draining = false;
    /// Requests that the server can process at a time.
    std::uint32_t slots = 1;
    /// How long the server stays cold.
    support::duration warm_up_left;
};

/// What a report changed in the state of a server_monitor.
enum class report_effect : std::uint8_t {
    /// The report is not newer than the last one and is ignored.
    outdated,
    updated,
    /// The report is from a later start of the server than the last one.
    restarted,
    /// The first report since the agent started or since the server was gone.
    first,
};

absl::string_view to_string(report_effect effect);

struct monitor_settings {
    /// Time between two reports of the server.
    support::duration report_interval = support::seconds(1);
    /// How much later than its interval a report may arrive.
    support::duration report_slack = support::milliseconds(400);
    /// The server is suspect if it does not react to an opening packet or a
    /// request within this time.
    support::duration reaction_timeout = support::milliseconds(250);
    /// Minimum time between two probes.
    support::duration probe_interval = support::milliseconds(200);
};

/// Tracks the condition of a backend server from reports, packets and probes.
class server_monitor {
public:
    server_monitor(monitor_settings initial_settings, support::instant now);

    /// Applies a report of the server.
    report_effect on_report(support::instant now, const server_report& report);

    /// The server `id` has announced that it shuts down. Returns whether `id`
    /// is the server of the last report; only then does the condition become
    /// `gone`.
    bool on_deregistered(const std::string& id);

    /// Whether the server is gone, or a server announced its shutdown before
    /// the agent received any report. In the second case flows must not be
    /// dropped: a delayed message of an earlier start looks the same.
    bool has_left() const;

    /// The server sent a packet.
    void on_server_packet(support::instant now);

    /// A packet that the server must react to was delivered.
    void on_delivered(support::instant now);

    /// Results of a probe: the server accepted the connection, refused it, or
    /// did not respond in time. A refusal is ignored while the condition is
    /// `unknown`.
    void on_probe_accepted(support::instant now);
    void on_probe_refused(support::instant now);
    void on_probe_timeout(support::instant now);

    /// The agent process was paused: earlier observations may be outdated.
    void on_resumed(support::instant now);

    /// The server's data centre is no longer withdrawn. The server may have
    /// turned cold in the meantime.
    void assume_cold(support::instant now);

    /// Returns whether a probe is due, and counts it as started if so.
    bool start_probe(support::instant now);

    peer::server_condition condition() const;

    /// Whether the server may be cold at `now`.
    bool is_cold(support::instant now) const;

    /// Slots of the last report; 1 before the first one.
    std::uint32_t slots() const;

    /// The last report applied, if any.
    const std::optional<server_report>& last_report() const;

    /// Whether the last report is older than the report interval plus slack.
    bool is_overdue(support::instant now) const;

private:
    bool is_suspect(support::instant now) const;

    monitor_settings settings;
    peer::server_condition state = peer::server_condition::unknown;
    std::optional<server_report> last_received;
    support::instant last_report_at;
    support::instant last_probe;
    std::optional<support::instant> unanswered_since;
    /// A server announced its shutdown, and no report has been received.
    bool has_unidentified_departure = false;
    /// When the server becomes warm; empty if unknown.
    std::optional<support::instant> warm_at;
    int consecutive_probe_timeouts = 0;
};

// ------------------------------------------------------- load limits

/// Processing time of a request at a server, in fractional milliseconds.
struct work_time {
    double ms = 0.0;
};

/// Urgency of an opening relative to the other openings of its service.
enum class urgency : std::uint8_t { highest, lower };

/// What an opening requires of a server.
struct opening_terms {
    urgency opening_urgency = urgency::highest;
    /// Time until the latency objective passes; zero or negative if it has
    /// passed. Empty if the route has no objective.
    std::optional<support::duration> time_left;
};

/// What the load of a server means for another opening.
enum class load_verdict : std::uint8_t {
    /// A slot is free.
    accept,
    /// The wait is acceptable, but another server may have a free slot.
    prefer_other,
    /// The wait is too long.
    full,
};

/// Limits the wait of accepted openings. The wait is predicted from the
/// requests in progress and their observed processing time. The same shares
/// therefore suit servers of any size, cold or warm, and any objective.
struct load_limits {
    /// Share of the remaining time that an opening of lower urgency may wait
    /// for a slot. The rest is for the processing itself, whose duration
    /// varies, and for requests on flows that are already open.
    double wait_share_of_lower = 0.3;
    /// As wait_share_of_lower, for openings of the highest urgency.
    double wait_share = 0.5;
    /// Share of the remaining time that is assumed as processing time until a
    /// request has been answered.
    double assumed_work_share = 0.2;
    /// Requests in progress per slot from which on a server is full for routes
    /// without an objective.
    double full_without_objective = 4.0;
};

/// Predicts how long a request that arrives now waits for a slot if every
/// request takes `work`.
work_time predicted_wait(const peer::load_report& load, work_time work);

/// Judges a server's load for an opening. `work` is the processing time of a
/// request without any wait; empty if no request has been answered yet.
load_verdict judge_load(const load_limits& limits,
                        const peer::load_report& load,
                        std::optional<work_time> work,
                        const opening_terms& terms);

/// Estimates the processing time of a request at a server from the response
/// times.
class work_estimate {
public:
    /// Adds the response time of a request. `in_progress` is the number of
    /// requests at the server when the request arrived, including itself.
    void on_answer(support::duration response_time, std::uint32_t in_progress,
                   std::uint32_t slots);

    /// Restarts the estimate. Call this when the server has restarted, or may
    /// have changed while the agent process was paused.
    void discard_samples();

    /// Weighted mean over the last answers; empty before the first one.
    std::optional<work_time> mean() const;

private:
    std::optional<work_time> mean_time;
};

// --------------------------------------------------------- owner table

/// Whether the agent's server accepts an opening.
enum class gate_answer : std::uint8_t {
    accept,
    /// The server can accept, but another one may answer sooner.
    prefer_other,
    /// The server must not or cannot accept.
    refuse,
};

/// Reason of a gate_answer. Logs and metrics use the same names.
enum class gate_reason : std::uint8_t {
    open,
    no_configuration,
    unconfirmed,
    unregistered,
    no_route,
    foreign_service,
    /// The route is unknown or leads elsewhere, but the balancer has a newer
    /// configuration.
    outdated,
    withdrawn,
    server_unknown,
    draining,
    silent,
    gone,
    cold,
    busy,
    full,
};

/// Number of values in gate_reason.
inline constexpr std::size_t gate_reason_count = 15;

absl::string_view to_string(gate_reason reason);

/// Whether `reason` is a start-up condition that passes before the caller
/// retries.
bool is_starting(gate_reason reason);

struct gate_state {
    gate_answer answer = gate_answer::refuse;
    gate_reason reason = gate_reason::open;
    /// Time after which callers on the flow's route stop waiting for an answer.
    support::duration request_timeout = support::seconds(2);
};

/// All inputs of the decision whether an opening is accepted.
struct gate_inputs {
    bool has_configuration = false;
    /// The configuration has been confirmed as complete since the agent process
    /// was last paused.
    bool is_view_confirmed = false;
    /// Balancers know this agent, or have had enough time to discover it.
    bool is_discoverable = false;
    bool has_route = false;
    /// The route leads to the server's service.
    bool route_matches_service = false;
    /// The balancer chose the service by a newer configuration.
    bool is_outdated = false;
    /// The data centre is withdrawn.
    bool is_withdrawn = false;
    peer::server_condition condition = peer::server_condition::unknown;
    /// Result of opening_budget::remaining(); UINT32_MAX for a warm server.
    std::uint32_t openings_left = UINT32_MAX;
    peer::load_report load;
    /// Estimated processing time of a request; empty before the first answer.
    std::optional<work_time> work;
    opening_terms terms;
    load_limits limits;
    support::duration request_timeout = support::seconds(2);
};

/// Decides whether an opening is accepted, independently of the view of the
/// balancer that sent it.
gate_state judge_opening(const gate_inputs& inputs);

enum class action_kind : std::uint8_t {
    /// Deliver the packet to the server.
    deliver,
    /// Forward the packet to `next`, together with `next_offer`.
    pass_on,
    /// Report to the balancer that the flow is not here.
    answer_absent,
    /// Reset the flow towards its caller.
    reset,
    drop,
};

absl::string_view to_string(action_kind kind);

/// Why an agent chose an action; written to the log.
enum class basis : std::uint8_t {
    owned,
    opened,
    repeated_opening,
    passed,
    turned_away,
    /// The agent does not know all flows of its server yet. The packet is
    /// delivered to find out whether the server has the flow.
    asked_server,
    not_here,
    /// The flow was here and was lost with its server.
    lost_with_server,
    returned_by_server,
    table_full,
    /// The agent does not have all the information for a decision yet.
    starting,
    /// The agent does not have the configuration that the decision needs yet.
    outdated,
};

absl::string_view to_string(basis why);

/// Which agents an opening packet has been offered to, and which are next.
struct offer {
    /// The balancer to notify of the flow's owner.
    support::endpoint balancer;
    /// Agents still to be asked, in this order.
    std::vector<support::endpoint> candidates;
    /// Agents that preferred another one, but would accept the opening.
    std::vector<support::endpoint> willing;
    /// All candidates have been asked; only willing agents are left.
    bool is_last = false;
    /// The packet came from another agent, not from the balancer.
    bool was_passed_on = false;
    /// The revision of the balancer's configuration.
    support::revision config_revision;
};

struct action {
    action_kind kind = action_kind::drop;
    basis why = basis::not_here;
    /// For pass_on: the agent to ask next.
    support::endpoint next;
    /// For pass_on: the offer to send to `next`.
    offer next_offer;
    /// For pass_on and answer_absent: the balancer of the packet.
    support::endpoint balancer;
    /// Whether to notify the balancer that this agent owns the flow.
    bool notify_balancer = false;
    /// For answer_absent: whether to return the packet to the balancer.
    bool return_packet = false;
    /// For answer_absent: whether the server definitely lacks the flow.
    bool certain = false;
};

struct owner_settings {
    /// Where this agent receives messages.
    support::endpoint self;
    /// Whether an opening that this agent has passed on may be offered to it
    /// again.
    bool accepts_second_offers = true;
    std::size_t max_flows = 65'536;
    /// Capacity of each cache: absent flows, lost flows, pending queries.
    std::size_t max_cache_entries = 16'384;
    /// An opening is removed if the server has not accepted it, or the caller
    /// has not confirmed, within this time. Also bounds a pending query.
    support::duration opening_timeout = support::seconds(3);
    /// A flow without packets is removed after this time.
    support::duration idle_timeout = support::seconds(60);
    /// An ended flow is kept this long for late packets.
    support::duration ended_timeout = support::seconds(4);
    /// Maximum age of a flow. An agent that has run for longer knows all flows
    /// of its server.
    support::duration longest_flow = support::seconds(60);
    /// A new flow counts as a request in progress for up to this time before
    /// its first request arrives.
    support::duration first_request_timeout = support::milliseconds(300);
    /// As gate_state::request_timeout, for flows whose opening was not seen.
    support::duration request_timeout = support::seconds(2);
};

/// A request to which the server has sent the first packet of the answer.
struct answered_request {
    /// Time since the request, or since the opening of its flow.
    support::duration response_time;
    /// Requests in progress when this one arrived, including itself.
    std::uint32_t in_progress = 0;
};

/// The flows that the server holds, as far as this agent has observed.
class owner_table {
public:
    owner_table(owner_settings initial_settings, support::instant now);
    ~owner_table();
    owner_table(const owner_table&) = delete;
    owner_table& operator=(const owner_table&) = delete;

    /// Handles an opening packet. An agent whose server has no free slot first
    /// asks the remaining candidates. If none of them accepts, the packet
    /// returns to the first agent that was willing to accept it. Each agent is
    /// asked at most twice.
    action on_opening(support::instant now, const flow::packet& packet,
                      const gate_state& gate, offer incoming);

    /// Handles any other packet of a caller, received from `balancer`.
    /// `is_locate` is set if the balancer searches for the flow's owner and
    /// has sent the packet to several agents.
    action on_packet(support::instant now, const flow::packet& packet,
                     support::endpoint balancer, bool is_locate);

    /// Handles a packet that the server returned because it has no such flow.
    action on_returned(support::instant now, const flow::packet& packet);

    /// Handles a packet of the server to the caller. Returns the request that
    /// it answers if it is the first packet of an answer.
    std::optional<answered_request>
    on_server_packet(support::instant now, const flow::packet& packet);

    /// Removes all flows because the server is gone or has restarted. Returns
    /// the open flows, whose callers must be reset.
    std::vector<peer::listed_flow> on_server_lost(support::instant now);

    /// Declares that the table contains all flows of the server, because the
    /// agent has observed the server's start.
    void mark_all_flows_known();

    /// Whether the table contains all flows of the server: its start was
    /// observed, or the agent has run for longer than `longest_flow`.
    bool is_complete(support::instant now) const;

    /// The open flows of at least `min_age`, sorted by key.
    std::vector<peer::listed_flow> open_flows(support::instant now,
                                              support::duration min_age) const;

    /// Removes expired entries and updates the mean of the requests in
    /// progress. Call this several times a second.
    void tick(support::instant now);

    bool owns(const flow::flow_key& key) const;

    /// The current load, without the server's number of slots.
    peer::load_report load() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

// --------------------------------------------------------- flow ledger

struct ledger_settings {
    /// Minimum time between two writes.
    support::duration write_interval = support::seconds(3);
    /// Maximum rate of writes of all agents together: the more agents, the less
    /// often each one writes. Writes are the most expensive calls to the shared
    /// store.
    double fleet_writes_per_second = 13.0;
    /// Age below which a flow is not worth a write. flow_ledger does not apply
    /// it: the flows passed to next_write() are already filtered.
    support::duration min_age = support::milliseconds(1000);
    /// The list is written again once an acknowledgement number has advanced by
    /// more than this many bytes. It is well within the distance at which a
    /// reset still takes effect.
    std::uint32_t max_acknowledgement_drift = 24'000;
    /// The stored list is ignored once the agent has run for longer than this:
    /// the flows on it have ended by then.
    support::duration stored_list_max_age = support::seconds(10);
    /// Number of listed flows that the server must return, without sending a
    /// packet on any listed flow, to prove that it has lost all of them.
    std::size_t returned_flows_as_proof = 2;
};

/// Keeps a list of the server's flows in the store, so that after a power loss
/// the agent resets the lost flows at once.
class flow_ledger {
public:
    flow_ledger(ledger_settings initial_settings, support::instant now);

    /// Sets the number of agents that share the store, including this one.
    void set_fleet_size(std::size_t agents);

    /// Whether enough time has passed since the last write.
    bool is_due(support::instant now) const;

    /// Returns the list to write now, if any, and counts it as written. There
    /// is none if no write is due, if the server has not reported yet, or if
    /// the list has not changed enough since the last write.
    std::optional<peer::flow_list>
    next_write(support::instant now, std::vector<peer::listed_flow> open,
               const std::optional<server_report>& server);

    /// The flows of the stored list, unless they are proved lost. Some of them
    /// may have ended since the list was written.
    const std::vector<peer::listed_flow>& presumed_open_flows() const;

    /// Sets the list that was in the store when the agent started.
    void on_stored_list(support::instant now, peer::flow_list list);

    /// The server sent a packet on a flow. If the flow is on the stored list,
    /// the server still holds the listed flows.
    void on_server_packet(const flow::flow_key& key);

    /// Events that may prove that the server has lost the stored flows: it
    /// returned a packet of a flow, it reported, or a probe found no server.
    /// Each returns the flows whose callers must be reset; empty without proof.
    std::vector<peer::listed_flow> on_returned(support::instant now,
                                               const flow::flow_key& key);
    std::vector<peer::listed_flow> on_report(support::instant now,
                                             const server_report& server);
    std::vector<peer::listed_flow> on_server_down(support::instant now);

private:
    std::vector<peer::listed_flow> confirm_loss(support::instant now);
    bool is_worth_writing(const peer::flow_list& list) const;

    ledger_settings settings;
    support::duration interval;
    support::instant started;
    support::instant last_write;
    std::optional<peer::flow_list> last_written;
    /// The stored list while it is undecided whether its flows are lost.
    std::optional<peer::flow_list> stored;
    std::vector<peer::listed_flow> presumed_open;
    std::vector<flow::flow_key> returned;
    /// Flows on which the server sent packets before the stored list was read.
    std::vector<flow::flow_key> early_server_keys;
};

} // namespace guavastair::ownership

#endif
