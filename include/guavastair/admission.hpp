/// Admission control for one backend server, run by the agent beside it:
/// limits the requests in progress and the open flows, sets the retry delay of
/// refused callers, and remembers which operations have already run.
///
/// Nothing here does I/O or reads a clock. Every call takes the current time,
/// which must never decrease. Calls on one object must come from one thread.
/// All randomness comes from the seed in the settings.

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

/// The time after which a response is of no more use. No value means no
/// deadline.
struct deadline {
    std::optional<support::instant> at;

    /// True if the deadline is at or before `now`.
    bool has_passed(support::instant now) const;

    /// Time until the deadline, never negative; no value without a deadline.
    std::optional<support::duration> remaining(support::instant now) const;
};

/// The deadline `timeout` after `now`.
deadline deadline_after(support::instant now, support::duration timeout);

/// The earlier of two deadlines. A missing deadline is later than any other.
deadline earlier(deadline left, deadline right);

/// The timeout to forward to the next hop: the time until the deadline less
/// `return_allowance` for the way back, never negative. No value without a
/// deadline.
std::optional<support::duration>
remaining_for_next_hop(deadline request_deadline, support::instant now,
                       support::duration return_allowance);

// ---------------------------------------------------------- retry budget

/// Limits retries to a share of the requests. A token bucket: each first
/// attempt adds `retry_ratio` tokens, each retry removes one.
class retry_budget {
public:
    struct settings {
        /// Retries allowed per request, 0 to 1.
        double retry_ratio = 0.1;
        /// Capacity of the bucket in tokens. The bucket starts full.
        double burst = 10.0;
    };

    explicit retry_budget(settings options);

    /// Counts the first attempt of a request.
    void record_request();

    /// Consumes one token. Returns false if none is left: do not retry.
    bool try_retry();

    double tokens() const;

private:
    settings options;
    double available_tokens;
};

// ------------------------------------------------------------ retry after

/// Spreads the retries of refused callers over time. Each delay is drawn
/// uniformly from a window that grows with the number of recent refusals.
class retry_after {
public:
    struct settings {
        support::duration min_delay = support::seconds(1);
        support::duration max_delay = support::seconds(60);
        /// Time constant of the exponential decay of past refusals.
        support::duration decay_time = support::seconds(10);
    };

    retry_after(settings options, std::uint64_t seed);

    /// Counts one refusal and returns its retry delay, in whole seconds between
    /// `min_delay` and `max_delay`. `served_per_second` is the number of
    /// requests that the server completes per second; 0 or less means unknown.
    support::duration record_refusal(support::instant now,
                                     double served_per_second);

    /// Current width of the window above `min_delay`.
    support::duration window() const;

private:
    settings options;
    std::uint64_t random_state;
    double recent_refusals = 0.0;
    support::instant last_refusal;
    support::duration window_width;
};

// ---------------------------------------------------------------- limiter

/// How an admitted request ended.
enum class completion : std::uint8_t {
    /// The server responded, with any status that no other value covers.
    answered,
    /// The server reported a failure (HTTP 5xx other than 503).
    failed,
    /// The server reported that it is overloaded (HTTP 429 or 503).
    refused_by_server,
    /// The connection could not be opened, or was lost before the complete
    /// response arrived.
    lost,
    /// The response did not arrive in time.
    timed_out,
    /// The caller disconnected. Not evidence about the server.
    cancelled,
    /// The response is a feed: it continues without occupying a slot.
    became_feed,
    /// The agent never forwarded the request to the server.
    not_offered,
};

/// Number of values of `completion`.
inline constexpr std::size_t completion_count = 8;

absl::string_view to_string(completion result);

/// How the limit follows the latency while the server is warm.
enum class growth_rule : std::uint8_t {
    /// Additive increase, multiplicative decrease: one more slot after as many
    /// responses as the limit, half the limit once responses are slow.
    aimd,
    /// Scales the limit by the ratio of baseline to recent latency.
    gradient,
};

/// Limits of one server, from the service's document. A slot is the capacity
/// for one request in progress.
struct limiter_settings {
    /// Concurrent requests of a warm server. At least 1.
    int slots = 1;
    /// Concurrent requests of a cold server. 1 to `slots`.
    int cold_slots = 1;
    /// Shortest time from a cold server's first response to all slots.
    support::duration warm_up = support::seconds(20);
    /// Responses needed during the warm-up for each additional slot.
    int warm_up_answers = 5;
    /// A server without a response for longer than this is treated as cold.
    support::duration max_answer_age = support::seconds(120);
    growth_rule growth = growth_rule::aimd;
};

/// Condition reported by the server's health or load endpoint. May be stale or
/// wrong.
enum class server_hint : std::uint8_t { healthy, unhealthy, cold, overloaded };

/// Adaptive limit on the concurrent requests of one server, based on what the
/// agent itself observes. The server starts cold, with `cold_slots`, and opens
/// further slots as it responds. A sudden rise in latency, a refusal by the
/// server or a lost connection resets it to cold.
class limiter {
public:
    limiter(const limiter_settings& settings, support::instant now);
    ~limiter();
    limiter(limiter&&) noexcept;
    limiter& operator=(limiter&&) noexcept;

    /// True if a slot is free. First resets the server to cold if it is idle
    /// and its last response is older than `max_answer_age`, or if the requests
    /// in progress take far longer than the baseline latency.
    bool may_start(support::instant now);

    /// Occupies a slot. Call only after may_start() returned true.
    void start();

    /// A request that occupies a slot has been forwarded completely. Its
    /// latency counts from `now`.
    void request_forwarded(support::instant now);

    /// Frees a slot. `forwarded_at` is the time passed to request_forwarded(),
    /// or no value if the request did not get that far.
    void finish(support::instant now,
                std::optional<support::instant> forwarded_at,
                completion result);

    /// Handles a hint. It is ignored while the last response is at most
    /// `max_answer_age` old, and it can only lower the limit: any value but
    /// `healthy` resets the server to cold.
    void hint(support::instant now, server_hint value);

    /// Current limit, 1 to `slots`.
    int limit() const;

    /// Number of occupied slots.
    int running() const;

    /// True until the warm-up is complete.
    bool is_cold() const;

    /// Moving mean of the latency; no value before the first response.
    std::optional<support::duration> baseline_latency() const;

    /// Coefficient of variation of the latency (standard deviation over mean);
    /// 0 while unknown.
    double latency_variation() const;

    /// Responses per second at the current limit and baseline latency; 0 while
    /// unknown.
    double served_per_second() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

// --------------------------------------------------------- flow admission

/// Decision on an opening flow: accept it here, pass it to the next candidate,
/// or refuse it.
enum class flow_verdict : std::uint8_t { accept, prefer_other, refuse };

absl::string_view to_string(flow_verdict verdict);

/// The agent's current counts when an opening packet arrives.
struct flow_load {
    /// Open flows of this agent.
    int flows = 0;
    /// Maximum number of flows of a warm server.
    int max_flows = 0;
    /// Requests in progress or queued.
    int requests = 0;
    /// Current limit on concurrent requests.
    int request_limit = 1;
    /// Concurrent requests of a warm server.
    int slots = 1;
    bool draining = false;
};

/// Decides on opening packets by the power of two choices. A candidate that can
/// pass the flow on accepts it if it has a free slot and fewer flows than a
/// threshold. The last candidate accepts it unless it is full. The threshold
/// follows the load so that first candidates accept about half of the flows.
/// The maximum number of flows scales with the open slots, so that a cold
/// server accepts fewer.
class flow_admission {
public:
    struct settings {
        /// Number of decisions between two adjustments of the threshold.
        int window_decisions = 32;
        /// The threshold rises if a smaller share than this of the decisions
        /// was made with fewer flows than the threshold. 0 to 1.
        double min_target_share = 0.5;
        /// The threshold falls if the share is larger than this. 0 to 1.
        double max_target_share = 0.7;
    };

    explicit flow_admission(settings options);

    /// `has_next_candidate`: whether the flow can still be passed on to a
    /// candidate that has not decided yet.
    flow_verdict decide(const flow_load& load, bool has_next_candidate);

    /// Number of open flows from which a new flow is passed on.
    int threshold() const;

private:
    void adjust_threshold(int max_flows);

    settings options;
    int current_threshold = 1;
    int decisions = 0;
    int decisions_below_threshold = 0;
};

// ----------------------------------------------------------- at most once

/// Identifies one operation of one service. The caller chooses the key.
struct operation_key {
    support::service_name service;
    /// Value of the Idempotency-Key field. 1 to max_idempotency_key_size bytes.
    std::string key;

    auto operator<=>(const operation_key&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const operation_key& k) {
        return Hash::combine(std::move(state), k.service, k.key);
    }
};

/// Longest accepted Idempotency-Key in bytes.
inline constexpr std::size_t max_idempotency_key_size = 128;

/// Milliseconds since the Unix epoch.
struct wall_time {
    std::int64_t ms = 0;

    auto operator<=>(const wall_time&) const = default;
};

/// The creation time in `key` if it is a version 7 UUID (RFC 9562), no value
/// otherwise.
std::optional<wall_time> creation_time(absl::string_view key);

/// Hash of a request's content. Detects a key that is reused for a different
/// request.
struct fingerprint {
    std::uint64_t value = 0;

    auto operator<=>(const fingerprint&) const = default;
};

/// A response as it was sent to the caller, stored for repeated requests.
struct stored_response {
    /// Status line and header fields, including the empty line.
    std::string head;
    std::string body;
    /// False if the body was too large to store, or was evicted to free memory.
    bool body_stored = true;
};

/// How to handle a request that carries a key.
enum class claim_verdict : std::uint8_t {
    /// First request with this key: forward it. Call mark_started() before, and
    /// complete() or mark_outcome_unknown() after, or release() if it did not
    /// run.
    run,
    /// The operation has completed: send the stored response.
    replay,
    /// The operation is in progress for another request: wait for a wakeup.
    wait,
    /// The operation may have run: respond that the outcome is unknown.
    unknown,
    /// The key belongs to a request with other content: invalid input.
    mismatch,
    /// The table has no room for another operation: refuse the request without
    /// running it.
    full,
};

absl::string_view to_string(claim_verdict verdict);

/// Table of operation outcomes by key. An operation runs at most once if all
/// its repeats reach the same table within `key_lifetime` of the first request.
/// Keys that are version 7 UUIDs need no such limit, since they contain their
/// creation time.
///
/// A claimed key is either released, or marked as started and later completed
/// or marked as of unknown outcome. Calls for keys that are not claimed are
/// ignored.
class at_most_once {
public:
    struct settings {
        std::size_t max_entries = 20'000;
        /// Bytes of keys and stored responses together.
        std::size_t max_bytes = std::size_t{16} * 1024 * 1024;
        /// Responses larger than this, head and body together, are stored
        /// without their body.
        std::size_t max_response_bytes = std::size_t{16} * 1024;
        /// Callers repeat a key no later than this after its first request.
        support::duration key_lifetime = support::seconds(30);
        /// Largest difference between a caller's clock and that of this VM.
        support::duration clock_skew = support::seconds(2);
        /// Largest time counted between two calls; see tick().
        support::duration max_clock_step = support::seconds(1);
    };

    /// `now` and `wall` are the same moment. Operations from before it are not
    /// in the table.
    at_most_once(settings options, support::instant now, wall_time wall);
    ~at_most_once();
    at_most_once(at_most_once&&) noexcept;
    at_most_once& operator=(at_most_once&&) noexcept;

    /// Advances the table's clock and evicts expired keys. The time between two
    /// calls of this class counts as at most `max_clock_step`, so that a pause
    /// of the process does not expire keys: requests that arrive before or
    /// during the pause are only read after it. Call tick() at least that
    /// often, or keys are kept longer than needed.
    void tick(support::instant now);

    /// Decides how to handle a request. If the verdict is `wait`, `owner` is
    /// woken when the operation ends.
    claim_verdict claim(support::instant now, const operation_key& key,
                        fingerprint content, std::uint64_t owner);

    /// The request is about to be forwarded to the server. From here on it may
    /// have run.
    void mark_started(support::instant now, const operation_key& key);

    /// The request was certainly not run: it was refused, or abandoned before
    /// mark_started(). Frees the key and wakes the waiters to claim again.
    void release(support::instant now, const operation_key& key);

    /// The complete response arrived. Stores it and wakes the waiters to claim
    /// again.
    void complete(support::instant now, const operation_key& key,
                  stored_response response);

    /// The response was lost. Every repeat gets the verdict `unknown`. Wakes
    /// the waiters to claim again.
    void mark_outcome_unknown(support::instant now, const operation_key& key);

    /// Removes `owner` from the waiters of `key` and cancels its wakeup.
    void stop_waiting(const operation_key& key, std::uint64_t owner);

    /// The stored response of a completed operation; null otherwise.
    const stored_response* find(const operation_key& key) const;

    /// Returns the owners to wake, and clears the list.
    std::vector<std::uint64_t> take_woken_owners();

    std::size_t entries() const;
    std::size_t bytes() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

/// The home agent of a key stores the key's outcome. It is the member with the
/// highest rendezvous hash. No value if `members` is empty.
std::optional<support::member_id>
home_agent_of(const operation_key& key,
              std::span<const support::member_id> members);

/// Decides whether this agent is authoritative for a key. It must have been the
/// key's home agent in every membership view of the last `settling_time`.
class key_home_history {
public:
    /// `settling_time` is `key_lifetime` plus the longest time for which the
    /// views of two agents can differ.
    key_home_history(support::member_id own_id,
                     support::duration settling_time);

    /// Adds a new view of the service's agents, valid from `now`.
    void view_changed(support::instant now,
                      std::vector<support::member_id> members);

    /// True if this agent is the home agent of `key` and has been for the last
    /// `settling_time`.
    bool is_settled_home(support::instant now, const operation_key& key) const;

    /// The home agent in the current view; no value if the view is empty.
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

/// Result of a request for admission.
struct request_admission {
    request_verdict verdict = request_verdict::refuse;
    /// Identifies the request unless it is refused.
    ticket id;
    /// Reason of a refusal.
    support::error_kind refusal = support::error_kind::refused_overloaded;
    /// Retry delay of a refused caller, in whole seconds.
    support::duration retry_after;
};

/// Notifies the owner of a waiting request that its wait has ended.
struct wakeup {
    /// As passed to admit() or claim().
    std::uint64_t owner = 0;
    /// True if an operation with the same key has ended: claim again. In that
    /// case `admission` has no meaning.
    bool claim_again = false;
    request_admission admission;
};

/// Settings of a controller.
struct controller_settings {
    limiter_settings limiter;
    /// Maximum number of flows of a warm server.
    int max_flows = 2000;
    /// Queue capacity per slot of the current limit. 0 disables the queue.
    int waiting_per_slot = 4;
    /// Largest factor on the queue capacity. The factor is the coefficient of
    /// variation of the latency, and at least 1. A longer queue keeps the slots
    /// from being idle after a long request, during which a short queue drains.
    double max_queue_factor = 2.0;
    /// Longest time in the queue.
    support::duration max_wait = support::milliseconds(1000);
    flow_admission::settings flows;
    retry_after::settings retry;
    at_most_once::settings operations;
    std::uint64_t seed = 1;
};

/// Current counts for log lines, metrics and status pages.
struct controller_status {
    int limit = 1;
    int running = 0;
    int waiting = 0;
    int flows = 0;
    bool cold = true;
    bool draining = false;
    int flow_threshold = 1;
};

/// Combines limiter, queue, flow admission, Retry-After and at-most-once for
/// one server. Shared by all flows of the agent.
///
/// The owner of the controller calls take_wakeups() after every call that may
/// free a slot and at next_wakeup(), and notifies each owner of a waiting
/// request. It does so from the start and also while no flow is open; see
/// at_most_once::tick.
class controller {
public:
    controller(const controller_settings& settings, support::instant now,
               wall_time wall);
    ~controller();
    controller(controller&&) noexcept;
    controller& operator=(controller&&) noexcept;

    /// Requests a slot. The verdict is `run`, `wait` (a wakeup follows) or
    /// `refuse`. Do not call finish() for a refused request.
    request_admission admit(support::instant now, std::uint64_t owner,
                            deadline request_deadline);

    /// The complete request has been forwarded to the server. Its latency
    /// counts from here, so that a caller that sends slowly does not make the
    /// server look slow.
    void request_forwarded(support::instant now, ticket id);

    /// A running or waiting request has ended. Ignores unknown tickets.
    void finish(support::instant now, ticket id, completion result);

    /// Returns the wakeups that are due, each one once.
    std::vector<wakeup> take_wakeups(support::instant now);

    /// When to call take_wakeups() next, at most 1 s after the last call.
    std::optional<support::instant> next_wakeup() const;

    /// Decides on an opening packet; see flow_admission.
    flow_verdict admit_flow(support::instant now, bool has_next_candidate);

    void flow_opened(support::instant now);
    void flow_closed(support::instant now);

    /// While draining, refuses every new flow and request. Requests that run or
    /// wait are completed.
    void set_draining(bool draining);

    /// Handles a hint from the server's endpoints; see limiter::hint.
    void hint(support::instant now, server_hint value);

    /// Counts a refusal that is decided elsewhere (no server, deadline), and
    /// returns it with its retry delay.
    request_admission refuse(support::instant now, support::error_kind kind);

    at_most_once& operations();

    controller_status status() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace guavastair::admission

#endif
