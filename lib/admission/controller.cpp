#include "wait_queue.hpp"

#include <guavastair/admission.hpp>

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace guavastair::admission {

namespace {

constexpr std::array<absl::string_view, 3> verdict_names{"run", "wait",
                                                         "refuse"};

// Not longer than the default of at_most_once::settings::max_clock_step, so
// that only a pause of the process exceeds that step.
constexpr support::duration max_tick_period = support::seconds(1);

using support::error_kind;

} // namespace

absl::string_view to_string(request_verdict verdict) {
    return verdict_names[static_cast<std::size_t>(verdict)];
}

struct controller::state {
    state(const controller_settings& settings, support::instant now,
          wall_time wall)
        : settings(settings), request_limiter(settings.limiter, now),
          flow_gate(settings.flows),
          retry_delays(settings.retry, settings.seed),
          operation_outcomes(settings.operations, now, wall), last_tick(now) {}

    error_kind overload_reason() const;
    int queue_capacity() const;
    support::instant latest_start_for(support::instant now,
                                      deadline request_deadline) const;
    bool should_queue(support::instant now,
                      support::instant latest_start) const;
    request_admission refuse(support::instant now, error_kind kind);
    request_admission run(ticket id);
    void refuse_expired_and_excess(support::instant now,
                                   std::vector<wakeup>& wakeups);

    controller_settings settings;
    limiter request_limiter;
    flow_admission flow_gate;
    retry_after retry_delays;
    at_most_once operation_outcomes;
    wait_queue queue;
    // Running requests by ticket, with the time at which the complete request
    // had been forwarded; no value until then.
    absl::flat_hash_map<std::uint64_t, std::optional<support::instant>> running;
    std::uint64_t last_ticket = 0;
    support::instant last_tick;
    int flows = 0;
    bool draining = false;
};

error_kind controller::state::overload_reason() const {
    return this->request_limiter.is_cold() ? error_kind::refused_cold
                                           : error_kind::refused_overloaded;
}

int controller::state::queue_capacity() const {
    const double factor =
        std::clamp(this->request_limiter.latency_variation(), 1.0,
                   std::max(1.0, this->settings.max_queue_factor));
    return static_cast<int>(this->settings.waiting_per_slot *
                            this->request_limiter.limit() * factor);
}

// A request that starts later than this is expected to miss its deadline, or
// has waited for max_wait.
support::instant
controller::state::latest_start_for(support::instant now,
                                    deadline request_deadline) const {
    const support::instant max_wait_end = now + this->settings.max_wait;
    if (!request_deadline.at.has_value()) {
        return max_wait_end;
    }
    const auto baseline =
        this->request_limiter.baseline_latency().value_or(support::duration{});
    return std::min(max_wait_end, *request_deadline.at - baseline);
}

bool controller::state::should_queue(support::instant now,
                                     support::instant latest_start) const {
    if (static_cast<int>(this->queue.size()) >= this->queue_capacity()) {
        return false;
    }
    const auto baseline =
        this->request_limiter.baseline_latency().value_or(support::duration{});
    const auto queue_position =
        static_cast<std::int64_t>(this->queue.size()) + 1;
    const support::duration wait{baseline.ms * queue_position /
                                 this->request_limiter.limit()};
    return now + wait < latest_start;
}

request_admission controller::state::refuse(support::instant now,
                                            error_kind kind) {
    const support::duration retry_delay = this->retry_delays.record_refusal(
        now, this->request_limiter.served_per_second());
    return {request_verdict::refuse, {}, kind, retry_delay};
}

request_admission controller::state::run(ticket id) {
    this->request_limiter.start();
    this->running.emplace(id.value, std::nullopt);
    return {request_verdict::run, id, {}, {}};
}

// The queue capacity follows the limit. If the queue exceeds it, the newest
// requests are refused.
void controller::state::refuse_expired_and_excess(
    support::instant now, std::vector<wakeup>& wakeups) {
    for (const waiting_request& expired : this->queue.remove_expired(now)) {
        const bool deadline_passed = expired.request_deadline.has_passed(now);
        const error_kind kind = deadline_passed ? error_kind::deadline_exceeded
                                                : this->overload_reason();
        wakeups.push_back({expired.owner, false, this->refuse(now, kind)});
    }
    const auto capacity = static_cast<std::size_t>(this->queue_capacity());
    while (this->queue.size() > capacity) {
        const waiting_request newest = this->queue.pop_back();
        wakeups.push_back(
            {newest.owner, false, this->refuse(now, this->overload_reason())});
    }
}

controller::controller(const controller_settings& settings,
                       support::instant now, wall_time wall)
    : self(std::make_unique<state>(settings, now, wall)) {}
controller::~controller() = default;
controller::controller(controller&&) noexcept = default;
controller& controller::operator=(controller&&) noexcept = default;

request_admission controller::admit(support::instant now, std::uint64_t owner,
                                    deadline request_deadline) {
    state& s = *this->self;
    if (s.draining) {
        return s.refuse(now, error_kind::refused_draining);
    }
    if (request_deadline.has_passed(now)) {
        return s.refuse(now, error_kind::deadline_exceeded);
    }
    const ticket id{++s.last_ticket};
    if (s.request_limiter.may_start(now) && s.queue.empty()) {
        return s.run(id);
    }
    const support::instant latest_start =
        s.latest_start_for(now, request_deadline);
    if (!s.should_queue(now, latest_start)) {
        return s.refuse(now, s.overload_reason());
    }
    s.queue.push({id, owner, request_deadline, latest_start});
    return {request_verdict::wait, id, {}, {}};
}

void controller::request_forwarded(support::instant now, ticket id) {
    state& s = *this->self;
    const auto entry = s.running.find(id.value);
    if (entry == s.running.end() || entry->second.has_value()) {
        return;
    }
    entry->second = now;
    s.request_limiter.request_forwarded(now);
}

void controller::finish(support::instant now, ticket id, completion result) {
    state& s = *this->self;
    const auto entry = s.running.find(id.value);
    if (entry == s.running.end()) {
        s.queue.remove(id);
        return;
    }
    const auto forwarded_at = entry->second;
    s.running.erase(entry);
    s.request_limiter.finish(now, forwarded_at, result);
}

std::vector<wakeup> controller::take_wakeups(support::instant now) {
    state& s = *this->self;
    std::vector<wakeup> wakeups;
    s.operation_outcomes.tick(now);
    s.last_tick = now;
    for (const std::uint64_t owner : s.operation_outcomes.take_woken_owners()) {
        wakeups.push_back({owner, true, {}});
    }
    s.refuse_expired_and_excess(now, wakeups);
    while (!s.queue.empty() && s.request_limiter.may_start(now)) {
        const waiting_request next_request = s.queue.pop_front();
        wakeups.push_back({next_request.owner, false, s.run(next_request.id)});
    }
    // may_start() may have reset the server to cold, which reduces the queue
    // capacity.
    s.refuse_expired_and_excess(now, wakeups);
    return wakeups;
}

std::optional<support::instant> controller::next_wakeup() const {
    const state& s = *this->self;
    const support::instant next_tick = s.last_tick + max_tick_period;
    return std::min(s.queue.next_expiry().value_or(next_tick), next_tick);
}

flow_verdict controller::admit_flow(support::instant now,
                                    bool has_next_candidate) {
    state& s = *this->self;
    // Called for its side effect: resets the server to cold if it is idle for
    // too long or the requests in progress are stalled.
    s.request_limiter.may_start(now);
    const int requests =
        s.request_limiter.running() + static_cast<int>(s.queue.size());
    const flow_load load{s.flows,
                         s.settings.max_flows,
                         requests,
                         s.request_limiter.limit(),
                         s.settings.limiter.slots,
                         s.draining};
    return s.flow_gate.decide(load, has_next_candidate);
}

void controller::flow_opened(support::instant /*now*/) {
    ++this->self->flows;
}

void controller::flow_closed(support::instant /*now*/) {
    assert(this->self->flows > 0 && "flow_closed() without flow_opened()");
    --this->self->flows;
}

void controller::set_draining(bool draining) {
    this->self->draining = draining;
}

void controller::hint(support::instant now, server_hint value) {
    this->self->request_limiter.hint(now, value);
}

request_admission controller::refuse(support::instant now, error_kind kind) {
    return this->self->refuse(now, kind);
}

at_most_once& controller::operations() {
    return this->self->operation_outcomes;
}

controller_status controller::status() const {
    const state& s = *this->self;
    return {s.request_limiter.limit(),        s.request_limiter.running(),
            static_cast<int>(s.queue.size()), s.flows,
            s.request_limiter.is_cold(),      s.draining,
            s.flow_gate.threshold()};
}

} // namespace guavastair::admission
