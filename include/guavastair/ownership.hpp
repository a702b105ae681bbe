/// An agent's decisions about flows whose ends are elsewhere: which flows its
/// backend server holds, whether the server may take another one, and what the
/// agent believes of the server.
///
/// The agent is the only way to its server, so what is refused here never
/// reaches the server, however old a balancer's view is.
///
/// Nothing here does I/O, reads a clock or writes a log. Times given to one
/// object must not go back.

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

/// Bounds how many flows open at a cold server in any span of one second.
class opening_budget {
public:
    /// Openings that `rate` a second, times `factor`, plus `slack` allow in
    /// one second, less one for the way to the server. A rate of 0 is no limit:
    /// the largest value.
    static std::uint32_t limit(double rate, double factor, double slack);

    /// How many more may open at `now` if at most `allowed` open in a second.
    std::uint32_t remaining(support::instant now, std::uint32_t allowed);

    /// Counts one opening.
    void spend(support::instant now);

private:
    void evict_expired(support::instant now);

    std::deque<support::instant> recent_openings;
};

// ------------------------------------------------------ server monitor

/// What a backend server says of itself.
struct server_report {
    /// Names one start of the server together with `born`.
    std::string id;
    /// When the server started, in milliseconds since the Unix epoch.
    std::int64_t start_time_ms = 0;
    /// Grows with each report of one start.
    std::int64_t sequence = 0;
    bool draining = false;
    std::uint32_t slots = 1;
    /// How long the server stays cold.
    support::duration warm_up_left;
};

enum class report_effect : std::uint8_t {
    /// It is older than one already taken in and changes nothing.
    outdated,
    updated,
    /// It comes from a later start than the one known before.
    restarted,
    /// It is the first since the agent began, or since the server had left.
    first,
};

absl::string_view to_string(report_effect effect);

struct monitor_settings {
    /// Time between two reports of the server.
    support::duration report_interval = support::seconds(1);
    /// Reports may miss their time by this much.
    support::duration report_slack = support::milliseconds(400);
    /// An opening packet or request that the server has not reacted to for so
    /// long makes it suspect.
    support::duration reaction_timeout = support::milliseconds(250);
    /// Least time between two probes.
    support::duration probe_interval = support::milliseconds(200);
};

/// Judges from reports, packets and probes whether the server is there.
class server_monitor {
public:
    server_monitor(monitor_settings chosen, support::instant now);

    /// Takes a report in.
    report_effect on_report(support::instant now, const server_report& report);

    /// The server of that id says that it leaves for good. Returns whether it
    /// is the one whose reports are known.
    bool on_deregistered(const std::string& id);

    /// Whether the server has gone, or has said so to an agent that knew no
    /// report of it yet: a late word of an earlier start would look the same,
    /// so flows must not be given up for the latter.
    bool has_left() const;

    /// The server sent a packet.
    void on_server_packet(support::instant now);

    /// A packet that the server must react to was delivered.
    void on_delivered(support::instant now);

    /// Ends of a probe: something listens, nothing does, or no word came.
    void on_probe_accepted(support::instant now);
    void on_probe_refused(support::instant now);
    void on_probe_timeout(support::instant now);

    /// The process stood still: what was believed may no longer hold.
    void on_resumed(support::instant now);

    /// The server's data centre came back: it may have turned cold meanwhile.
    void assume_cold(support::instant now);

    /// Whether a probe is due; counts it as started.
    bool start_probe(support::instant now);

    peer::server_condition condition() const;

    /// Whether the server may be cold at `now`.
    bool is_cold(support::instant now) const;

    std::uint32_t slots() const;

    /// The last report taken in, if any.
    const std::optional<server_report>& last_report() const;

    /// Whether no report has come for longer than the server's interval and
    /// slack allow.
    bool is_overdue(support::instant now) const;

private:
    bool is_suspect(support::instant now) const;

    monitor_settings settings;
    peer::server_condition state = peer::server_condition::unknown;
    std::optional<server_report> last;
    support::instant last_report_at;
    support::instant last_probe;
    std::optional<support::instant> unanswered_since;
    /// Somebody unknown has said that it leaves, and nobody has reported yet.
    bool has_unidentified_departure = false;
    /// Empty while it is not known when the server will be warm.
    std::optional<support::instant> warm_at;
    int consecutive_probe_timeouts = 0;
};

// ------------------------------------------------------- load limits

/// Time that a request takes at a server, in milliseconds and their parts.
struct work_time {
    double ms = 0.0;
};

/// How urgent an opening is among those of its service.
enum class urgency : std::uint8_t { highest, lower };

/// What an opening asks of a server.
struct opening_terms {
    urgency opening_urgency = urgency::highest;
    /// Time within which the answer is worth most, from now on; not positive
    /// if that has passed. Empty if the route names none.
    std::optional<support::duration> time_left;
};

/// What a server's work in progress means for another opening.
enum class load_verdict : std::uint8_t {
    /// A slot is free.
    accept,
    /// The answer would be in time, but another server may have a free slot.
    prefer_other,
    /// The answer would come too late.
    full,
};

/// Bounds the wait of what is taken. The wait is predicted from the requests
/// in progress and the observed time that one takes, so that the same shares
/// serve servers of any size, cold or warm, and any objective.
struct load_limits {
    /// Share of the time left that a request of lower urgency may wait before
    /// the server begins to work on it. The rest is for the work itself, whose
    /// length varies, and for requests on flows that are open already.
    double wait_share_of_lower = 0.3;
    /// As wait_share_of_lower for the most urgent openings.
    double wait_share = 0.5;
    /// Share of the objective that a request takes as long as none has been
    /// observed.
    double assumed_work_share = 0.2;
    /// Requests in progress for each slot from which on a server is full for
    /// routes without an objective.
    double full_without_objective = 4.0;
};

/// How long a request that comes now waits for a slot, if each takes `work`.
work_time predicted_wait(const peer::load_report& load, work_time work);

/// Judges a server's load for an opening. `work` is the time that a request
/// takes at the server without waiting; empty if none was observed yet.
load_verdict judge_load(const load_limits& limits,
                        const peer::load_report& load,
                        std::optional<work_time> work,
                        const opening_terms& terms);

/// Learns how long a request takes at a server from the times to its answers.
class work_estimate {
public:
    /// An answer came `waited` after its request, which found `in_progress`
    /// requests at the server, itself included.
    void on_answer(support::duration response_time, std::uint32_t in_progress,
                   std::uint32_t slots);

    /// The server is another one, or may have changed while nobody looked.
    void discard_samples();

    /// The mean time over the last answers; empty before the first one.
    std::optional<work_time> mean() const;

private:
    std::optional<work_time> present;
};

// --------------------------------------------------------- owner table

enum class gate_answer : std::uint8_t {
    accept,
    /// The server could, but another would answer sooner.
    prefer_other,
    /// The server must not or cannot.
    refuse,
};

/// Why openings are not taken here; the names are those of logs and metrics.
enum class gate_reason : std::uint8_t {
    open,
    no_configuration,
    unconfirmed,
    unregistered,
    no_route,
    foreign_service,
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
inline constexpr std::size_t gate_reason_count = 14;

absl::string_view to_string(gate_reason reason);

/// Whether what keeps the gate shut passes within a caller's next try.
bool is_starting(gate_reason reason);

struct gate_state {
    gate_answer answer = gate_answer::refuse;
    gate_reason reason = gate_reason::open;
    /// Time after which nobody waits for an answer on the flow's route.
    support::duration request_timeout = support::seconds(2);
};

/// Everything that decides whether an opening is taken.
struct gate_inputs {
    bool has_configuration = false;
    /// The configuration was found complete since the process stood still.
    bool is_view_confirmed = false;
    /// Balancers know this agent, or have had time to.
    bool is_discoverable = false;
    bool has_route = false;
    /// The route leads to the server's service.
    bool route_matches_service = false;
    /// The data centre is withdrawn.
    bool is_withdrawn = false;
    peer::server_condition condition = peer::server_condition::unknown;
    /// What opening_budget::left() says; the largest value for a warm server.
    std::uint32_t openings_left = UINT32_MAX;
    peer::load_report load;
    std::optional<work_time> work;
    opening_terms terms;
    load_limits limits;
    support::duration request_timeout = support::seconds(2);
};

/// The agent's decision about an opening, whatever the view of the balancer
/// that sent it.
gate_state judge_opening(const gate_inputs& inputs);

enum class action_kind : std::uint8_t {
    /// Hand the packet to the server.
    deliver,
    /// Send the packet to `next` with `further`.
    pass_on,
    /// Tell the balancer that the flow is not here.
    answer_absent,
    /// Reset the flow towards its caller.
    reset,
    drop,
};

absl::string_view to_string(action_kind kind);

/// Why an agent decided so; for the log line.
enum class basis : std::uint8_t {
    owned,
    opened,
    repeated_opening,
    passed,
    turned_away,
    /// The server's word is awaited: the agent does not know its flows yet.
    asked_server,
    not_here,
    /// The flow was here and ended with its server.
    lost_with_server,
    returned_by_server,
    table_full,
    /// The agent does not know yet what it needs to know.
    starting,
};

absl::string_view to_string(basis why);

/// Whom an opening packet has been offered to, and whom it may be offered to.
struct offer {
    /// The balancer that hears where the flow lives.
    support::endpoint balancer;
    /// Agents to be asked next, the first one first.
    std::vector<support::endpoint> candidates;
    /// Agents that passed it on for a better one, but would take it.
    std::vector<support::endpoint> willing;
    /// All candidates have been asked: it is taken where it can be.
    bool is_last = false;
    /// Another agent sent it here.
    bool was_passed_on = false;
};

struct action {
    action_kind kind = action_kind::drop;
    basis why = basis::not_here;
    /// For pass_on.
    support::endpoint next;
    offer next_offer;
    /// For pass_on and answer_absent: the balancer concerned.
    support::endpoint balancer;
    /// The balancer should hear that the flow lives here.
    bool notify_balancer = false;
    /// For answer_absent: whether the balancer needs the packet back.
    bool return_packet = false;
    /// For answer_absent: whether it is ruled out that the server has the flow.
    bool certain = false;
};

struct owner_settings {
    /// Where this agent receives messages.
    support::endpoint self;
    /// Whether an opening that was passed on may come back here.
    bool accepts_second_offers = true;
    std::size_t max_flows = 65'536;
    /// Flows known not to be here, or lost, that are remembered.
    std::size_t max_cache_entries = 16'384;
    /// An opening that the server has not answered is forgotten.
    support::duration opening_timeout = support::seconds(3);
    /// A flow without packets is forgotten.
    support::duration idle_timeout = support::seconds(60);
    /// An ended flow is kept for late packets.
    support::duration ended_timeout = support::seconds(4);
    /// No flow is older, so an agent this old knows all of its server's.
    support::duration longest_flow = support::seconds(60);
    /// A new flow counts as a request in progress for so long, although the
    /// request has not come yet.
    support::duration first_request_timeout = support::milliseconds(300);
    /// As gate_state::request_timeout, for flows whose opening was not seen.
    support::duration request_timeout = support::seconds(2);
};

/// A request whose answer has begun.
struct answered_request {
    /// Since the request, or the opening of its flow.
    support::duration response_time;
    /// Requests at the server when it came, itself included.
    std::uint32_t in_progress = 0;
};

/// The flows that the server holds, as far as this agent has seen.
class owner_table {
public:
    owner_table(owner_settings chosen, support::instant now);
    ~owner_table();
    owner_table(const owner_table&) = delete;
    owner_table& operator=(const owner_table&) = delete;

    /// An opening packet came. While others may have a free slot, an agent
    /// whose server would let it wait asks them first; if none has, the packet
    /// comes back to the first that would have taken it. Each agent is asked
    /// twice at most.
    action on_opening(support::instant now, const flow::packet& packet,
                      const gate_state& gate, offer incoming);

    /// Any other packet of a caller came from `balancer`.
    action on_packet(support::instant now, const flow::packet& packet,
                     support::endpoint balancer, bool is_locate);

    /// The server gave a packet back that it has no flow for.
    action on_returned(support::instant now, const flow::packet& packet);

    /// The server sent a packet to the caller. Returns the request that it
    /// answers, if it is the first of an answer.
    std::optional<answered_request>
    on_server_packet(support::instant now, const flow::packet& packet);

    /// The server is gone or is another one: none of the flows lives on.
    /// Returns the flows whose callers must hear of it.
    std::vector<peer::listed_flow> on_server_lost(support::instant now);

    /// The agent has seen the server start: it knows all of its flows.
    void mark_all_flows_known();
    bool is_complete(support::instant now) const;

    /// The open flows that have lasted for `min_age`, in the order of their
    /// keys.
    std::vector<peer::listed_flow> open_flows(support::instant now,
                                              support::duration min_age) const;

    /// Forgets what has expired. Call it several times a second: it also
    /// averages the work in progress.
    void tick(support::instant now);

    bool owns(const flow::flow_key& key) const;
    peer::load_report load() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

// --------------------------------------------------------- flow ledger

struct ledger_settings {
    /// Least time between two writes.
    support::duration write_interval = support::seconds(3);
    /// Most writes a second of all agents together: more agents write less
    /// often each. Writes are the dearest calls to a store that all share.
    double fleet_writes_per_second = 13.0;
    /// Flows that end sooner are not worth a write.
    support::duration min_age = support::milliseconds(1000);
    /// A caller's acknowledgement may have moved by so much before the list is
    /// written again: well within what a reset may be off by.
    std::uint32_t max_acknowledgement_drift = 24'000;
    /// A remembered list older than this says nothing: its flows have ended.
    /// Counted from the agent's start.
    support::duration stored_list_max_age = support::seconds(10);
    /// Remembered flows that the server must give back, none having spoken,
    /// to prove that it has forgotten all of them.
    std::size_t returned_flows_as_proof = 2;
};

/// Remembers a server's flows in the store, so that after a loss of power
/// their callers hear at once that the flows are gone.
class flow_ledger {
public:
    flow_ledger(ledger_settings chosen, support::instant now);

    /// So many agents share the store, this one included.
    void set_fleet_size(std::size_t agents);

    /// Whether enough time has passed since the last write.
    bool is_due(support::instant now) const;

    /// The list to write now, if any; counts it as written.
    std::optional<peer::flow_list>
    next_write(support::instant now, std::vector<peer::listed_flow> open,
               const std::optional<server_report>& server);

    /// Flows that the server held before the agent started, unless it is
    /// proved that they are gone; they may have ended since.
    const std::vector<peer::listed_flow>& presumed_open_flows() const;

    /// What the store remembered when the agent started.
    void on_stored_list(support::instant now, peer::flow_list list);

    /// The server sent a packet on a flow: it holds what is remembered.
    void on_server_packet(const flow::flow_key& key);

    /// Each returns the flows whose callers must hear that they are gone;
    /// empty unless it is proved that the server has forgotten them.
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
    std::optional<peer::flow_list> stored;
    std::vector<peer::listed_flow> presumed_open;
    std::vector<flow::flow_key> returned;
    /// The server has spoken on a flow of its own before the list was read.
    std::vector<flow::flow_key> early_server_keys;
};

} // namespace guavastair::ownership

#endif
