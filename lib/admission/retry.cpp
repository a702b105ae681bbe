#include <guavastair/admission.hpp>

#include <algorithm>
#include <cmath>

namespace guavastair::admission {

namespace {

constexpr std::int64_t ms_per_second = 1000;
// Refused callers that return take at most this share of what the server
// completes.
constexpr double return_share = 0.5;
constexpr double unknown_rate = 1.0;

// SplitMix64: one multiplication chain, enough to spread callers.
std::uint64_t next_random(std::uint64_t& state) {
    constexpr std::uint64_t increment = 0x9e3779b97f4a7c15U;
    constexpr std::uint64_t first_factor = 0xbf58476d1ce4e5b9U;
    constexpr std::uint64_t second_factor = 0x94d049bb133111ebU;
    state += increment;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * first_factor;
    mixed = (mixed ^ (mixed >> 27U)) * second_factor;
    return mixed ^ (mixed >> 31U);
}

std::int64_t whole_seconds_up(support::duration span) {
    return (span.ms + ms_per_second - 1) / ms_per_second;
}

} // namespace

retry_budget::retry_budget(settings chosen)
    : limits(chosen), level(chosen.burst) {}

void retry_budget::request_sent() {
    this->level = std::min(this->level + this->limits.share, //
                           this->limits.burst);
}

bool retry_budget::try_retry() {
    if (this->level < 1.0) {
        return false;
    }
    this->level -= 1.0;
    return true;
}

double retry_budget::tokens() const {
    return this->level;
}

retry_after::retry_after(settings chosen, std::uint64_t seed)
    : limits(chosen), state(seed) {}

support::duration retry_after::record_refusal(support::instant now,
                                              double served_per_second) {
    const auto passed = static_cast<double>((now - this->last).ms);
    const auto memory = static_cast<double>(this->limits.memory.ms);
    this->recent = this->recent * std::exp(-passed / memory) + 1.0;
    this->last = now;

    const double rate =
        served_per_second > 0 ? served_per_second : unknown_rate;
    const double spread_ms = this->recent * static_cast<double>(ms_per_second) /
                             (rate * return_share);
    const support::duration widest =
        this->limits.longest - this->limits.shortest;
    this->width.ms = static_cast<std::int64_t>(
        std::min(spread_ms, static_cast<double>(widest.ms)));

    const std::int64_t first = whole_seconds_up(this->limits.shortest);
    const std::int64_t last_second =
        std::max(this->limits.longest.ms / ms_per_second, first);
    const std::int64_t span =
        std::min(whole_seconds_up(this->width), last_second - first);
    const std::uint64_t choices = static_cast<std::uint64_t>(span) + 1;
    const std::uint64_t drawn = next_random(this->state) % choices;
    return support::seconds(first + static_cast<std::int64_t>(drawn));
}

support::duration retry_after::window() const {
    return this->width;
}

} // namespace guavastair::admission
