/// What one backend server can bear, as its own agent sees it: how many
/// requests run at once, whether another flow may open, when refused callers
/// come back, and which requests have already run.
///
/// Nothing here does I/O or reads a clock. Every call takes the present time;
/// calls on one object must come from one thread and with times that do not go
/// back. All randomness comes from the seed in the settings.

#ifndef GUAVASTAIR_ADMISSION_HPP
#define GUAVASTAIR_ADMISSION_HPP

#include <guavastair/support.hpp>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace guavastair::admission {

// ------------------------------------------------------------- deadline

/// A point in time after which nobody wants the answer any more. No value
/// means no deadline.
struct deadline {
    std::optional<support::instant> at;

    /// Whether the deadline is at or before `now`.
    bool has_passed(support::instant now) const;

    /// Time left, never negative; nothing when there is no deadline.
    std::optional<support::duration> remaining(support::instant now) const;
};

/// The deadline `span` after `now`.
deadline deadline_after(support::instant now, support::duration timeout);

/// The earlier of two deadlines.
deadline earlier(deadline left, deadline right);

/// What to pass on to the next hop: the time left less `allowance` for the way
/// back, never negative. Nothing when there is no deadline.
std::optional<support::duration>
remaining_for_next_hop(deadline request_deadline, support::instant now,
                       support::duration return_allowance);

// ---------------------------------------------------------- retry budget

/// Keeps retries to a share of the requests: a token bucket that first tries
/// fill and retries empty.
class retry_budget {
public:
    struct settings {
        /// Retries allowed for each request, 0 to 1.
        double retry_ratio = 0.1;
        /// Tokens at the start and the most that the bucket holds.
        double burst = 10.0;
    };

    explicit retry_budget(settings options);

    /// Counts one first try.
    void record_request();

    /// Takes one token. False: do not retry.
    bool try_retry();

    double tokens() const;

private:
    settings options;
    double available_tokens;
};

// ------------------------------------------------------------ retry after

/// Chooses when refused callers come back, so that they do not return
/// together: uniformly from a window that grows with the recent refusals.
class retry_after {
public:
    struct settings {
        /// Shortest answer.
        support::duration min_delay = support::seconds(1);
        /// Longest answer.
        support::duration max_delay = support::seconds(60);
        /// Refusals older than this no longer count, by exponential decay.
        support::duration decay_time = support::seconds(10);
    };

    retry_after(settings options, std::uint64_t seed);

    /// Counts one refusal and answers with the time to wait in whole seconds,
    /// between `shortest` and `longest`. `served_per_second` is the rate at
    /// which the server completes requests; at most 0 means not known.
    support::duration record_refusal(support::instant now,
                                     double served_per_second);

    /// Present width of the window.
    support::duration window() const;

private:
    settings options;
    std::uint64_t random_state;
    double recent_refusals = 0.0;
    support::instant last_refusal;
    support::duration window_width;
};

// ---------------------------------------------------------------- limiter

/// How a request that was offered to the server ended.
enum class completion : std::uint8_t {
    /// The server answered, whatever the answer was.
    answered,
    /// The server answered that it failed (HTTP 5xx other than 503).
    failed,
    /// The server answered that it had no room (HTTP 429 or 503).
    refused_by_server,
    /// The connection failed or was lost before the whole answer came.
    lost,
    /// No answer came in time.
    timed_out,
    /// The caller left; says nothing about the server.
    cancelled,
    /// The answer became a feed: it goes on without holding a slot.
    became_feed,
    /// The agent never offered the request to the server.
    not_offered,
};

/// Number of values in completion.
inline constexpr std::size_t completion_count = 8;

absl::string_view to_string(completion result);

/// How the limit grows back and falls while the server is warm.
enum class growth_rule : std::uint8_t {
    /// One more after a round of good answers, half after slow ones.
    aimd,
    /// In proportion to usual over recent latency.
    gradient,
};

/// What the service's document says about one server.
struct limiter_settings {
    /// Requests that a warm server runs at once. At least 1.
    int slots = 1;
    /// Requests that a cold server runs at once. 1 to slots.
    int cold_slots = 1;
    /// A cold server reaches its full slots no sooner than this.
    support::duration warm_up = support::seconds(20);
    /// Answers that a cold server gives before each further slot opens.
    int warm_up_answers = 5;
    /// With no answer for this long the server counts as cold again.
    support::duration max_answer_age = support::seconds(120);
    growth_rule growth = growth_rule::aimd;
};

/// A hint from the server's health or load endpoint. May lag or be wrong.
enum class server_hint : std::uint8_t { healthy, unhealthy, cold, overloaded };

/// How many requests one server may run at once, judged by the agent's own
/// observations alone. Starts cold; a sudden rise in latency, a refusal or a
/// lost connection makes it cold again.
class limiter {
public:
    limiter(const limiter_settings& settings, support::instant now);
    ~limiter();
    limiter(limiter&&) noexcept;
    limiter& operator=(limiter&&) noexcept;

    /// Whether one more request may start now. Also judges the requests in
    /// progress: if they take far longer than usual, the server is cold.
    bool may_start(support::instant now);

    /// Takes a slot. Call only after may_start() said yes.
    void start();

    /// A request that holds a slot has gone to the server whole.
    void request_forwarded(support::instant now);

    /// Gives a slot back. `since` is the time passed to offered(), nothing if
    /// the request did not get that far.
    void finish(support::instant now,
                std::optional<support::instant> forwarded_at,
                completion result);

    /// A hint only counts while there is no fresh answer to judge by, and then
    /// only lowers the limit.
    void hint(support::instant now, server_hint value);

    /// Present limit, from 1 to slots.
    int limit() const;

    /// Requests in progress.
    int running() const;

    /// Whether the warm-up is still going on.
    bool is_cold() const;

    /// Usual latency; nothing before the first answer.
    std::optional<support::duration> baseline_latency() const;

    /// Deviation of the latency as a share of its mean; 0 when not known.
    double latency_variation() const;

    /// Answers a second that the present limit allows; 0 when not known.
    double served_per_second() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

// --------------------------------------------------------- flow admission

/// Whether this agent's server takes an opening flow.
enum class flow_verdict : std::uint8_t { accept, prefer_other, refuse };

absl::string_view to_string(flow_verdict verdict);

/// The agent's own live counts when an opening packet arrives.
struct flow_load {
    /// Flows open at this agent.
    int flows = 0;
    /// Most flows that a warm server bears.
    int max_flows = 0;
    /// Requests running or waiting.
    int requests = 0;
    /// Requests that the server may run at present.
    int request_limit = 1;
    /// Requests that a warm server runs at once.
    int slots = 1;
    bool draining = false;
};

/// Decides on opening packets by two choices: the first candidate takes a flow
/// if it has a free slot and fewer flows than a threshold, the second unless
/// it is full. The threshold follows the load, so that the first candidates
/// take about half. A cold server bears flows in the proportion of the slots
/// that are open.
class flow_admission {
public:
    struct settings {
        /// Decisions between two moves of the threshold.
        int window_decisions = 32;
        /// Below this share of flows taken as first candidate the threshold
        /// rises.
        double min_target_share = 0.5;
        /// Above this share the threshold falls.
        double max_target_share = 0.7;
    };

    explicit flow_admission(settings options);

    /// `first_choice`: whether another candidate follows that has not been
    /// asked yet.
    flow_verdict decide(const flow_load& load, bool has_next_candidate);

    /// Flows at which the first candidate passes another one on.
    int threshold() const;

private:
    void adjust_threshold(int max_flows);

    settings options;
    int current_threshold = 1;
    int decisions = 0;
    int decisions_below_threshold = 0;
};

// ----------------------------------------------------------- at most once

/// Names one operation of one service, as its caller chose it.
struct operation_key {
    support::service_name service;
    /// Value of Idempotency-Key. 1 to max_idempotency_key_size bytes.
    std::string key;

    auto operator<=>(const operation_key&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const operation_key& k) {
        return Hash::combine(std::move(state), k.service, k.key);
    }
};

/// Longest Idempotency-Key in bytes.
inline constexpr std::size_t max_idempotency_key_size = 128;

/// Milliseconds since the Unix epoch.
struct wall_time {
    std::int64_t ms = 0;

    auto operator<=>(const wall_time&) const = default;
};

/// When `key` was made, if it is a version 7 UUID (RFC 9562).
std::optional<wall_time> creation_time(absl::string_view key);

/// Identifies a request's content, so that a key that is used again for
/// something else is noticed.
struct fingerprint {
    std::uint64_t value = 0;

    auto operator<=>(const fingerprint&) const = default;
};

/// A response as it was sent, kept for repeats.
struct stored_response {
    /// Status line and header fields up to and with the empty line.
    std::string head;
    std::string body;
    /// False when the body was larger than the bound and was not kept.
    bool body_stored = true;
};

/// What to do with a request that carries a key.
enum class claim_verdict : std::uint8_t {
    /// First time: run it, then call offered() and done() or lost().
    run,
    /// Already done: send the kept response.
    replay,
    /// In progress for another request: wait for a wakeup.
    wait,
    /// May have run: answer that the outcome is unknown.
    unknown,
    /// The key was used for another request: invalid input.
    mismatch,
    /// No room to remember another operation: refuse, not run.
    full,
};

absl::string_view to_string(claim_verdict verdict);

/// Outcomes of operations by key. An operation runs at most once as long as
/// its repeats come to the same table within `key_lifetime` of the first.
/// Keys that are version 7 UUIDs need no such promise: their age is known.
///
/// A key is claimed, then either offered and later done or lost, or not run.
/// Calls about keys that are not claimed are ignored.
class at_most_once {
public:
    struct settings {
        std::size_t max_entries = 20'000;
        /// Bytes of keys and kept responses together.
        std::size_t max_bytes = std::size_t{16} * 1024 * 1024;
        /// Largest response kept for one operation.
        std::size_t max_response_bytes = std::size_t{16} * 1024;
        /// Callers repeat a key no later than this after they first sent it.
        support::duration key_lifetime = support::seconds(30);
        /// Largest difference between the clocks of callers and this VM.
        support::duration clock_skew = support::seconds(2);
        /// The most that passes between two calls.
        support::duration max_clock_step = support::seconds(1);
    };

    /// `now` and `wall` are the start of this agent's knowledge.
    at_most_once(settings options, support::instant now, wall_time wall);
    ~at_most_once();
    at_most_once(at_most_once&&) noexcept;
    at_most_once& operator=(at_most_once&&) noexcept;

    /// Lets time pass. A gap between two calls of this class counts for at most
    /// `longest_step`: a process that was paused still has to read what came
    /// before and during the pause. Call it at least that often, or keys are
    /// remembered for longer than they need to be.
    void tick(support::instant now);

    /// Asks what to do with a request. `owner` gets the wakeup if the verdict
    /// is wait.
    claim_verdict claim(support::instant now, const operation_key& key,
                        fingerprint content, std::uint64_t owner);

    /// The request is about to be offered to the server: from here on it may
    /// have run.
    void mark_started(support::instant now, const operation_key& key);

    /// It was certainly not run (refused, or given up before offered()): the
    /// key is free again and waiters are woken to claim again.
    void release(support::instant now, const operation_key& key);

    /// The whole answer came. Waiters are woken to claim again.
    void complete(support::instant now, const operation_key& key,
                  stored_response response);

    /// The answer was lost: every repeat is told that the outcome is unknown.
    void mark_outcome_unknown(support::instant now, const operation_key& key);

    /// `owner` no longer waits for `key`.
    void stop_waiting(const operation_key& key, std::uint64_t owner);

    /// The kept response after the verdict replay; null otherwise.
    const stored_response* find(const operation_key& key) const;

    /// Owners to be told to claim again, each once.
    std::vector<std::uint64_t> take_woken_owners();

    std::size_t entries() const;
    std::size_t bytes() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

/// The agent that remembers a key: the member with the highest rendezvous
/// weight. Nothing when `members` is empty.
std::optional<support::member_id>
home_agent_of(const operation_key& key,
              std::span<const support::member_id> members);

/// Says whether this agent may answer for a key: it must have been the key's
/// home in every view that it held during the last `hold`.
class key_home_history {
public:
    /// `hold` is key_lifetime plus the longest time that views differ.
    key_home_history(support::member_id own_id,
                     support::duration settling_time);

    /// Takes a new view of the service's agents.
    void view_changed(support::instant now,
                      std::vector<support::member_id> members);

    /// Whether this agent is the home of `key` now and was it for `hold`.
    bool is_settled_home(support::instant now, const operation_key& key) const;

    /// The home in the present view.
    std::optional<support::member_id> home(const operation_key& key) const;

private:
    struct view {
        support::instant valid_from;
        std::vector<support::member_id> members;
    };

    support::member_id own_id;
    support::duration settling_time;
    std::vector<view> recent_views;
};

// ------------------------------------------------------------- controller

/// Identifies one request from admit() to finish().
struct ticket {
    std::uint64_t value = 0;

    auto operator<=>(const ticket&) const = default;
};

enum class request_verdict : std::uint8_t { run, wait, refuse };

absl::string_view to_string(request_verdict verdict);

/// Answer to one request for admission.
struct request_admission {
    request_verdict verdict = request_verdict::refuse;
    /// Names the request unless it is refused.
    ticket id;
    /// Why it is refused.
    support::error_kind refusal = support::error_kind::refused_overloaded;
    /// When a refused caller comes back, in whole seconds.
    support::duration retry_after;
};

/// Tells the owner of a waiting request that its wait has ended.
struct wakeup {
    /// As passed to admit() or claim().
    std::uint64_t owner = 0;
    /// True: an operation with the same key ended, claim again. `admission`
    /// says nothing then.
    bool claim_again = false;
    request_admission admission;
};

/// Everything that one agent decides about its server.
struct controller_settings {
    limiter_settings limiter;
    /// Most flows that a warm server bears.
    int max_flows = 2000;
    /// Requests that may wait, for each request that may run. 0 for no queue.
    int waiting_per_slot = 4;
    /// Where latencies vary by more than their mean, the queue grows with the
    /// variation, by this factor at most: one long request must not leave the
    /// slots idle after it.
    double max_queue_factor = 2.0;
    /// Longest wait for a slot.
    support::duration max_wait = support::milliseconds(1000);
    flow_admission::settings flows;
    retry_after::settings retry;
    at_most_once::settings operations;
    std::uint64_t seed = 1;
};

/// Live counts for log lines, metrics and status pages.
struct controller_status {
    int limit = 1;
    int running = 0;
    int waiting = 0;
    int flows = 0;
    bool cold = true;
    bool draining = false;
    int flow_threshold = 1;
};

/// Joins limiter, queue, flow admission, Retry-After and at-most-once for one
/// server. Shared by all flows of the agent.
///
/// After every call that may free a slot, and at next_wakeup(), the shell calls
/// take_wakeups() and tells each owner. It does so from the start, also while
/// no flow is open: see at_most_once::tick.
class controller {
public:
    controller(const controller_settings& settings, support::instant now,
               wall_time wall);
    ~controller();
    controller(controller&&) noexcept;
    controller& operator=(controller&&) noexcept;

    /// Asks to run one request. The answer is run, wait (then a wakeup
    /// follows) or refuse; a refused request is given up at once.
    request_admission admit(support::instant now, std::uint64_t owner,
                            deadline request_deadline);

    /// The request went to the server whole: its latency counts from here, so
    /// that a caller that sends slowly is not held against the server.
    void request_forwarded(support::instant now, ticket id);

    /// A running or waiting request has ended. Unknown tickets are ignored.
    void finish(support::instant now, ticket id, completion result);

    /// Waits that have ended, each reported once.
    std::vector<wakeup> take_wakeups(support::instant now);

    /// When to call take_wakeups() next, at most a second after the last call.
    std::optional<support::instant> next_wakeup() const;

    /// Decides on an opening packet; see flow_admission.
    flow_verdict admit_flow(support::instant now, bool has_next_candidate);

    void flow_opened(support::instant now);
    void flow_closed(support::instant now);

    /// While draining, every new flow and request is refused; requests that
    /// run or wait are finished.
    void set_draining(bool draining);

    /// Feeds one hint from the server's endpoints; see limiter::hint.
    void hint(support::instant now, server_hint value);

    /// The refusal of `kind`, with a time to come back, for refusals that are
    /// made outside (no server, deadline).
    request_admission refuse(support::instant now, support::error_kind kind);

    at_most_once& operations();

    controller_status status() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace guavastair::admission

#endif
