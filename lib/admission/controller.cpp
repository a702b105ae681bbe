#include "waiting_line.hpp"

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

// Short enough for at_most_once to notice every pause.
constexpr support::duration tick_period = support::seconds(1);

using support::error_kind;

} // namespace

absl::string_view to_string(request_verdict verdict) {
    return verdict_names[static_cast<std::size_t>(verdict)];
}

struct controller::state {
    state(const controller_settings& chosen, support::instant now,
          wall_time wall)
        : settings(chosen), limit(chosen.limiter, now), opening(chosen.flows),
          come_back(chosen.retry, chosen.seed),
          outcomes(chosen.operations, now, wall), last_tick(now) {}

    error_kind full_reason() const;
    int waiting_room() const;
    support::instant give_up_at(support::instant now, deadline wanted) const;
    bool worth_waiting(support::instant now, support::instant until) const;
    request_admission refuse(support::instant now, error_kind kind);
    request_admission run(ticket id);
    void refuse_line(support::instant now, std::vector<wakeup>& into);

    controller_settings settings;
    limiter limit;
    flow_admission opening;
    retry_after come_back;
    at_most_once outcomes;
    waiting_line line;
    // When each running request went to the server whole.
    absl::flat_hash_map<std::uint64_t, std::optional<support::instant>> running;
    std::uint64_t last_ticket = 0;
    support::instant last_tick;
    int flows = 0;
    bool draining = false;
};

error_kind controller::state::full_reason() const {
    return this->limit.cold() ? error_kind::refused_cold
                              : error_kind::refused_overloaded;
}

int controller::state::waiting_room() const {
    const double factor =
        std::clamp(this->limit.latency_variation(), 1.0,
                   std::max(1.0, this->settings.largest_queue_factor));
    return static_cast<int>(this->settings.waiting_per_slot *
                            this->limit.limit() * factor);
}

// A request that starts later than this could not be answered in time.
support::instant controller::state::give_up_at(support::instant now,
                                               deadline wanted) const {
    const support::instant longest = now + this->settings.max_wait;
    if (!wanted.at.has_value()) {
        return longest;
    }
    const auto usual =
        this->limit.usual_latency().value_or(support::duration{});
    return std::min(longest, *wanted.at - usual);
}

bool controller::state::worth_waiting(support::instant now,
                                      support::instant until) const {
    if (static_cast<int>(this->line.size()) >= this->waiting_room()) {
        return false;
    }
    const auto usual =
        this->limit.usual_latency().value_or(support::duration{});
    const auto before = static_cast<std::int64_t>(this->line.size()) + 1;
    const support::duration wait{usual.ms * before / this->limit.limit()};
    return now + wait < until;
}

request_admission controller::state::refuse(support::instant now,
                                            error_kind kind) {
    const support::duration later =
        this->come_back.record_refusal(now, this->limit.served_per_second());
    return {request_verdict::refuse, {}, kind, later};
}

request_admission controller::state::run(ticket id) {
    this->limit.start();
    this->running.emplace(id.value, std::nullopt);
    return {request_verdict::run, id, {}, {}};
}

// The line shortens with the limit; whoever no longer has a place is told so.
void controller::state::refuse_line(support::instant now,
                                    std::vector<wakeup>& into) {
    for (const waiting_request& late : this->line.take_expired(now)) {
        const bool passed = late.wanted.has_passed(now);
        const error_kind kind =
            passed ? error_kind::deadline_exceeded : this->full_reason();
        into.push_back({late.owner, false, this->refuse(now, kind)});
    }
    const auto room = static_cast<std::size_t>(this->waiting_room());
    while (this->line.size() > room) {
        const waiting_request last = this->line.take_last();
        into.push_back(
            {last.owner, false, this->refuse(now, this->full_reason())});
    }
}

controller::controller(const controller_settings& chosen, support::instant now,
                       wall_time wall)
    : self(std::make_unique<state>(chosen, now, wall)) {}
controller::~controller() = default;
controller::controller(controller&&) noexcept = default;
controller& controller::operator=(controller&&) noexcept = default;

request_admission controller::admit(support::instant now, std::uint64_t owner,
                                    deadline limit) {
    state& s = *this->self;
    if (s.draining) {
        return s.refuse(now, error_kind::refused_draining);
    }
    if (limit.has_passed(now)) {
        return s.refuse(now, error_kind::deadline_exceeded);
    }
    const ticket id{++s.last_ticket};
    if (s.limit.may_start(now) && s.line.empty()) {
        return s.run(id);
    }
    const support::instant until = s.give_up_at(now, limit);
    if (!s.worth_waiting(now, until)) {
        return s.refuse(now, s.full_reason());
    }
    s.line.add({id, owner, limit, until});
    return {request_verdict::wait, id, {}, {}};
}

void controller::request_forwarded(support::instant now, ticket id) {
    state& s = *this->self;
    const auto found = s.running.find(id.value);
    if (found == s.running.end() || found->second.has_value()) {
        return;
    }
    found->second = now;
    s.limit.request_forwarded(now);
}

void controller::finish(support::instant now, ticket id, completion how) {
    state& s = *this->self;
    const auto found = s.running.find(id.value);
    if (found == s.running.end()) {
        s.line.remove(id);
        return;
    }
    const auto since = found->second;
    s.running.erase(found);
    s.limit.finish(now, since, how);
}

std::vector<wakeup> controller::take_wakeups(support::instant now) {
    state& s = *this->self;
    std::vector<wakeup> woken;
    s.outcomes.tick(now);
    s.last_tick = now;
    for (const std::uint64_t owner : s.outcomes.take_woken()) {
        woken.push_back({owner, true, {}});
    }
    s.refuse_line(now, woken);
    while (!s.line.empty() && s.limit.may_start(now)) {
        const waiting_request next = s.line.take_first();
        woken.push_back({next.owner, false, s.run(next.id)});
    }
    // Starting may have found the server cold, which shortens the line.
    s.refuse_line(now, woken);
    return woken;
}

std::optional<support::instant> controller::next_wakeup() const {
    const state& s = *this->self;
    const support::instant tick = s.last_tick + tick_period;
    return std::min(s.line.next_expiry().value_or(tick), tick);
}

flow_verdict controller::admit_flow(support::instant now, bool first_choice) {
    state& s = *this->self;
    // Asked for its judgement of the requests in progress.
    s.limit.may_start(now);
    const int requests = s.limit.running() + static_cast<int>(s.line.size());
    const flow_load load{s.flows,         s.settings.max_flows,     requests,
                         s.limit.limit(), s.settings.limiter.slots, s.draining};
    return s.opening.decide(load, first_choice);
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

void controller::hint(support::instant now, server_hint seen) {
    this->self->limit.hint(now, seen);
}

request_admission controller::refuse(support::instant now, error_kind kind) {
    return this->self->refuse(now, kind);
}

at_most_once& controller::operations() {
    return this->self->outcomes;
}

controller_status controller::status() const {
    const state& s = *this->self;
    return {s.limit.limit(),
            s.limit.running(),
            static_cast<int>(s.line.size()),
            s.flows,
            s.limit.cold(),
            s.draining,
            s.opening.threshold()};
}

} // namespace guavastair::admission
