#include "latency.hpp"

#include <guavastair/admission.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

namespace guavastair::admission {

namespace {

// Evidence of a rise in latency at which the limit is halved, and at which the
// server counts as cold. One answer adds at most 4.
constexpr double halving_evidence = 8.0;
constexpr double cold_evidence = 16.0;
constexpr double ms_per_second = 1000.0;
constexpr double gradient_gain = 0.2;
constexpr double lowest_gradient = 0.5;

constexpr std::array<absl::string_view, completion_count> completion_names{
    "answered",  "failed",    "refused_by_server", "lost",
    "timed_out", "cancelled", "became_feed",       "not_offered"};

} // namespace

absl::string_view to_string(completion how) {
    return completion_names[static_cast<std::size_t>(how)];
}

struct limiter::state {
    using growth = void (state::*)(bool good);

    explicit state(const limiter_settings& chosen, support::instant now)
        : settings(chosen), last_answer(now) {
        assert(chosen.slots >= 1 && "a server has at least one slot");
        assert(chosen.cold_slots >= 1 && "a cold server has at least one slot");
        this->settings.cold_slots = std::min(chosen.cold_slots, chosen.slots);
        this->turn_cold();
    }

    void turn_cold();
    void expire(support::instant now);
    void judge_stalled(support::instant now);
    void learn(support::instant now, support::duration latency, bool failed);
    void grow_cold(support::instant now);
    void grow_aimd(bool good);
    void grow_gradient(bool good);
    int steps() const;
    int limit() const;

    static constexpr std::array<growth, 2> growth_rules{&state::grow_aimd,
                                                        &state::grow_gradient};

    limiter_settings settings;
    latency_record latency;
    std::vector<support::instant> in_progress;
    int running = 0;
    bool cold = true;
    // Slots opened during this warm-up, and answers since the last one.
    int opened = 0;
    int answers = 0;
    // The first answer since the server turned cold: a server that was not
    // there yet must not warm up by the clock alone.
    std::optional<support::instant> warming_since;
    double level = 1.0;
    support::instant last_answer;
};

void limiter::state::turn_cold() {
    this->cold = this->steps() > 0;
    this->opened = 0;
    this->answers = 0;
    this->warming_since.reset();
    this->level = this->settings.cold_slots;
    this->latency.clear_evidence();
}

int limiter::state::steps() const {
    return this->settings.slots - this->settings.cold_slots;
}

int limiter::state::limit() const {
    if (this->cold) {
        return this->settings.cold_slots + this->opened;
    }
    const int whole = static_cast<int>(this->level);
    return std::clamp(whole, 1, this->settings.slots);
}

void limiter::state::expire(support::instant now) {
    if (this->running > 0) {
        return;
    }
    if (now - this->last_answer > this->settings.evidence_lifetime) {
        this->turn_cold();
    }
}

void limiter::state::judge_stalled(support::instant now) {
    if (this->limit() == this->settings.cold_slots) {
        return;
    }
    double evidence = this->latency.evidence();
    for (const support::instant since : this->in_progress) {
        evidence += this->latency.evidence_of_age(now - since);
    }
    if (evidence >= cold_evidence) {
        this->turn_cold();
    }
}

void limiter::state::learn(support::instant now, support::duration latency_seen,
                           bool failed) {
    this->last_answer = now;
    const double before = this->latency.evidence();
    if (failed) {
        this->latency.learn_failure();
    } else {
        this->latency.learn(latency_seen);
    }
    const double after = this->latency.evidence();
    if (after >= cold_evidence) {
        this->turn_cold();
        return;
    }
    if (!this->cold) {
        const bool suspicious =
            before < halving_evidence && after >= halving_evidence;
        const auto rule = static_cast<std::size_t>(this->settings.growth);
        (this->*growth_rules[rule])(!suspicious);
        return;
    }
    if (after <= before) {
        this->grow_cold(now);
    }
}

void limiter::state::grow_cold(support::instant now) {
    if (!this->warming_since.has_value()) {
        this->warming_since = now;
    }
    ++this->answers;
    const support::duration warming = now - *this->warming_since;
    const std::int64_t due_ms = this->settings.warm_up.ms * (this->opened + 1) /
                                std::max(this->steps(), 1);
    const bool enough = this->answers >= this->settings.warm_up_answers;
    if (!enough || warming.ms < due_ms) {
        return;
    }
    ++this->opened;
    this->answers = 0;
    if (this->opened == this->steps()) {
        this->cold = false;
        this->level = this->settings.slots;
    }
}

void limiter::state::grow_aimd(bool good) {
    if (good) {
        this->level += 1.0 / this->level;
    } else {
        this->level /= 2;
    }
    this->level = std::clamp<double>(this->level, 1, this->settings.slots);
}

void limiter::state::grow_gradient(bool /*good*/) {
    const double recent = std::max(this->latency.recent_ms(), 1.0);
    const double usual = std::max(this->latency.usual_ms(), 1.0);
    const double ratio = std::clamp(usual / recent, lowest_gradient, 1.0);
    const double target = this->level * ratio + std::sqrt(this->level);
    this->level += gradient_gain * (target - this->level);
    this->level = std::clamp<double>(this->level, 1, this->settings.slots);
}

limiter::limiter(const limiter_settings& chosen, support::instant now)
    : self(std::make_unique<state>(chosen, now)) {}
limiter::~limiter() = default;
limiter::limiter(limiter&&) noexcept = default;
limiter& limiter::operator=(limiter&&) noexcept = default;

bool limiter::may_start(support::instant now) {
    this->self->expire(now);
    this->self->judge_stalled(now);
    return this->self->running < this->self->limit();
}

void limiter::start() {
    assert(this->self->running < this->self->limit() &&
           "start() without may_start()");
    ++this->self->running;
}

void limiter::request_forwarded(support::instant now) {
    this->self->in_progress.push_back(now);
}

void limiter::finish(support::instant now,
                     std::optional<support::instant> since, completion how) {
    state& s = *this->self;
    assert(s.running > 0 && "finish() without start()");
    --s.running;
    support::duration latency;
    if (since.has_value()) {
        const auto at =
            std::find(s.in_progress.begin(), s.in_progress.end(), *since);
        assert(at != s.in_progress.end() && "finish() of an unknown request");
        s.in_progress.erase(at);
        latency = now - *since;
    }
    switch (how) {
    case completion::answered:
    case completion::failed:
        // An answer before the whole request says nothing about latency.
        if (since.has_value()) {
            s.learn(now, latency, how == completion::failed);
        }
        break;
    case completion::timed_out:
        // A short deadline is the caller's choice; a long wait is not.
        if (s.latency.evidence_of_age(latency) > 0) {
            s.learn(now, latency, true);
        }
        break;
    case completion::refused_by_server:
    case completion::lost:
        s.last_answer = now;
        s.turn_cold();
        break;
    case completion::became_feed:
        s.last_answer = now;
        if (s.cold) {
            s.grow_cold(now);
        }
        break;
    case completion::cancelled:
    case completion::not_offered:
        break;
    }
}

void limiter::hint(support::instant now, server_hint seen) {
    state& s = *this->self;
    const bool fresh = now - s.last_answer <= s.settings.evidence_lifetime;
    if (seen == server_hint::healthy || fresh) {
        return;
    }
    s.turn_cold();
}

int limiter::limit() const {
    return this->self->limit();
}

int limiter::running() const {
    return this->self->running;
}

bool limiter::cold() const {
    return this->self->cold;
}

std::optional<support::duration> limiter::usual_latency() const {
    if (!this->self->latency.known()) {
        return std::nullopt;
    }
    const double ms = std::ceil(this->self->latency.usual_ms());
    return support::milliseconds(static_cast<std::int64_t>(ms));
}

double limiter::latency_variation() const {
    return this->self->latency.variation();
}

double limiter::served_per_second() const {
    if (!this->self->latency.known()) {
        return 0.0;
    }
    const double usual = std::max(this->self->latency.usual_ms(), 1.0);
    return this->self->limit() * ms_per_second / usual;
}

} // namespace guavastair::admission
