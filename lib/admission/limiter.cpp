#include "latency.hpp"

#include <guavastair/admission.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

namespace guavastair::admission {

namespace {

// Evidence of a rise in latency at which growth_rule::aimd halves the limit,
// and at which the server is reset to cold. One response adds at most 4.
constexpr double halving_threshold = 8.0;
constexpr double cold_threshold = 16.0;
constexpr double ms_per_second = 1000.0;
constexpr double gradient_smoothing = 0.2;
constexpr double min_gradient = 0.5;

constexpr std::array<absl::string_view, completion_count> completion_names{
    "answered",  "failed",    "refused_by_server", "lost",
    "timed_out", "cancelled", "became_feed",       "not_offered"};

} // namespace

absl::string_view to_string(completion result) {
    return completion_names[static_cast<std::size_t>(result)];
}

struct limiter::state {
    using growth_function = void (state::*)(bool latency_is_normal);

    explicit state(const limiter_settings& settings, support::instant now)
        : settings(settings), last_answer_at(now) {
        assert(settings.slots >= 1 && "a server has at least one slot");
        assert(settings.cold_slots >= 1 &&
               "a cold server has at least one slot");
        this->settings.cold_slots =
            std::min(settings.cold_slots, settings.slots);
        this->reset_to_cold();
    }

    void reset_to_cold();
    void expire_idle(support::instant now);
    void check_stalled_requests(support::instant now);
    void record_answer(support::instant now, support::duration latency,
                       bool failed);
    void advance_warm_up(support::instant now);
    void grow_aimd(bool latency_is_normal);
    void grow_gradient(bool latency_is_normal);
    int warm_up_steps() const;
    int limit() const;

    static constexpr std::array<growth_function, 2> growth_functions{
        &state::grow_aimd, &state::grow_gradient};

    limiter_settings settings;
    latency_monitor latency;
    std::vector<support::instant> forwarded_times;
    int running = 0;
    bool is_cold = true;
    // Slots opened during this warm-up, and responses since the last one.
    int opened_slots = 0;
    int answers_since_step = 0;
    // The first response since the server turned cold. A server that is not
    // running yet must not warm up by time alone.
    std::optional<support::instant> warm_up_start;
    double warm_limit = 1.0;
    support::instant last_answer_at;
};

void limiter::state::reset_to_cold() {
    this->is_cold = this->warm_up_steps() > 0;
    this->opened_slots = 0;
    this->answers_since_step = 0;
    this->warm_up_start.reset();
    this->warm_limit = this->settings.cold_slots;
    this->latency.reset_evidence();
}

int limiter::state::warm_up_steps() const {
    return this->settings.slots - this->settings.cold_slots;
}

int limiter::state::limit() const {
    if (this->is_cold) {
        return this->settings.cold_slots + this->opened_slots;
    }
    const int rounded_down = static_cast<int>(this->warm_limit);
    return std::clamp(rounded_down, 1, this->settings.slots);
}

void limiter::state::expire_idle(support::instant now) {
    if (this->running > 0) {
        return;
    }
    if (now - this->last_answer_at > this->settings.max_answer_age) {
        this->reset_to_cold();
    }
}

void limiter::state::check_stalled_requests(support::instant now) {
    if (this->limit() == this->settings.cold_slots) {
        return;
    }
    double evidence = this->latency.evidence();
    for (const support::instant forwarded_at : this->forwarded_times) {
        evidence += this->latency.evidence_from_age(now - forwarded_at);
    }
    if (evidence >= cold_threshold) {
        this->reset_to_cold();
    }
}

void limiter::state::record_answer(support::instant now,
                                   support::duration latency_sample,
                                   bool failed) {
    this->last_answer_at = now;
    const double evidence_before = this->latency.evidence();
    if (failed) {
        this->latency.record_failure();
    } else {
        this->latency.record(latency_sample);
    }
    const double evidence_after = this->latency.evidence();
    if (evidence_after >= cold_threshold) {
        this->reset_to_cold();
        return;
    }
    if (!this->is_cold) {
        const bool rise_detected = evidence_before < halving_threshold &&
                                   evidence_after >= halving_threshold;
        const auto rule_index = static_cast<std::size_t>(this->settings.growth);
        (this->*growth_functions[rule_index])(!rise_detected);
        return;
    }
    if (evidence_after <= evidence_before) {
        this->advance_warm_up(now);
    }
}

void limiter::state::advance_warm_up(support::instant now) {
    if (!this->warm_up_start.has_value()) {
        this->warm_up_start = now;
    }
    ++this->answers_since_step;
    const support::duration warm_up_elapsed = now - *this->warm_up_start;
    const std::int64_t due_ms = this->settings.warm_up.ms *
                                (this->opened_slots + 1) /
                                std::max(this->warm_up_steps(), 1);
    const bool has_enough_answers =
        this->answers_since_step >= this->settings.warm_up_answers;
    if (!has_enough_answers || warm_up_elapsed.ms < due_ms) {
        return;
    }
    ++this->opened_slots;
    this->answers_since_step = 0;
    if (this->opened_slots == this->warm_up_steps()) {
        this->is_cold = false;
        this->warm_limit = this->settings.slots;
    }
}

void limiter::state::grow_aimd(bool latency_is_normal) {
    if (latency_is_normal) {
        this->warm_limit += 1.0 / this->warm_limit;
    } else {
        this->warm_limit /= 2;
    }
    this->warm_limit =
        std::clamp<double>(this->warm_limit, 1, this->settings.slots);
}

void limiter::state::grow_gradient(bool /*latency_is_normal*/) {
    const double recent = std::max(this->latency.recent_mean_ms(), 1.0);
    const double baseline = std::max(this->latency.baseline_ms(), 1.0);
    const double ratio = std::clamp(baseline / recent, min_gradient, 1.0);
    const double target =
        this->warm_limit * ratio + std::sqrt(this->warm_limit);
    this->warm_limit += gradient_smoothing * (target - this->warm_limit);
    this->warm_limit =
        std::clamp<double>(this->warm_limit, 1, this->settings.slots);
}

limiter::limiter(const limiter_settings& settings, support::instant now)
    : self(std::make_unique<state>(settings, now)) {}
limiter::~limiter() = default;
limiter::limiter(limiter&&) noexcept = default;
limiter& limiter::operator=(limiter&&) noexcept = default;

bool limiter::may_start(support::instant now) {
    this->self->expire_idle(now);
    this->self->check_stalled_requests(now);
    return this->self->running < this->self->limit();
}

void limiter::start() {
    assert(this->self->running < this->self->limit() &&
           "start() without may_start()");
    ++this->self->running;
}

void limiter::request_forwarded(support::instant now) {
    this->self->forwarded_times.push_back(now);
}

void limiter::finish(support::instant now,
                     std::optional<support::instant> forwarded_at,
                     completion result) {
    state& s = *this->self;
    assert(s.running > 0 && "finish() without start()");
    --s.running;
    support::duration latency;
    if (forwarded_at.has_value()) {
        const auto it = std::find(s.forwarded_times.begin(),
                                  s.forwarded_times.end(), *forwarded_at);
        assert(it != s.forwarded_times.end() &&
               "finish() of an unknown request");
        s.forwarded_times.erase(it);
        latency = now - *forwarded_at;
    }
    switch (result) {
    case completion::answered:
    case completion::failed:
        // A response before the request was complete has no valid latency.
        if (forwarded_at.has_value()) {
            s.record_answer(now, latency, result == completion::failed);
        }
        break;
    case completion::timed_out:
        // The caller may have set a short deadline. Only a long wait is
        // evidence against the server.
        if (s.latency.evidence_from_age(latency) > 0) {
            s.record_answer(now, latency, true);
        }
        break;
    case completion::refused_by_server:
    case completion::lost:
        s.last_answer_at = now;
        s.reset_to_cold();
        break;
    case completion::became_feed:
        s.last_answer_at = now;
        if (s.is_cold) {
            s.advance_warm_up(now);
        }
        break;
    case completion::cancelled:
    case completion::not_offered:
        break;
    }
}

void limiter::hint(support::instant now, server_hint value) {
    state& s = *this->self;
    const bool has_recent_answer =
        now - s.last_answer_at <= s.settings.max_answer_age;
    if (value == server_hint::healthy || has_recent_answer) {
        return;
    }
    s.reset_to_cold();
}

int limiter::limit() const {
    return this->self->limit();
}

int limiter::running() const {
    return this->self->running;
}

bool limiter::is_cold() const {
    return this->self->is_cold;
}

std::optional<support::duration> limiter::baseline_latency() const {
    if (!this->self->latency.has_samples()) {
        return std::nullopt;
    }
    const double ms = std::ceil(this->self->latency.baseline_ms());
    return support::milliseconds(static_cast<std::int64_t>(ms));
}

double limiter::latency_variation() const {
    return this->self->latency.coefficient_of_variation();
}

double limiter::served_per_second() const {
    if (!this->self->latency.has_samples()) {
        return 0.0;
    }
    const double baseline = std::max(this->self->latency.baseline_ms(), 1.0);
    return this->self->limit() * ms_per_second / baseline;
}

} // namespace guavastair::admission
