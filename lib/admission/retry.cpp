#include <guavastair/admission.hpp>

#include <algorithm>
#include <cmath>

namespace guavastair::admission {

namespace {

constexpr std::int64_t ms_per_second = 1000;
// Retries of refused callers use at most this share of the server's throughput.
constexpr double max_return_share = 0.5;
// Stands for an unknown throughput of the server.
constexpr double assumed_rate_per_second = 1.0;

// SplitMix64. Its quality is sufficient to spread callers.
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

std::int64_t round_up_to_seconds(support::duration span) {
    return (span.ms + ms_per_second - 1) / ms_per_second;
}

} // namespace

retry_budget::retry_budget(settings options)
    : options(options), available_tokens(options.burst) {}

void retry_budget::record_request() {
    this->available_tokens =
        std::min(this->available_tokens + this->options.retry_ratio,
                 this->options.burst);
}

bool retry_budget::try_retry() {
    if (this->available_tokens < 1.0) {
        return false;
    }
    this->available_tokens -= 1.0;
    return true;
}

double retry_budget::tokens() const {
    return this->available_tokens;
}

retry_after::retry_after(settings options, std::uint64_t seed)
    : options(options), random_state(seed) {}

support::duration retry_after::record_refusal(support::instant now,
                                              double served_per_second) {
    const auto elapsed_ms = static_cast<double>((now - this->last_refusal).ms);
    const auto decay_ms = static_cast<double>(this->options.decay_time.ms);
    this->recent_refusals =
        this->recent_refusals * std::exp(-elapsed_ms / decay_ms) + 1.0;
    this->last_refusal = now;

    const double rate =
        served_per_second > 0 ? served_per_second : assumed_rate_per_second;
    const double window_ms = this->recent_refusals *
                             static_cast<double>(ms_per_second) /
                             (rate * max_return_share);
    const support::duration max_window =
        this->options.max_delay - this->options.min_delay;
    this->window_width.ms = static_cast<std::int64_t>(
        std::min(window_ms, static_cast<double>(max_window.ms)));

    const std::int64_t min_seconds =
        round_up_to_seconds(this->options.min_delay);
    const std::int64_t max_seconds =
        std::max(this->options.max_delay.ms / ms_per_second, min_seconds);
    const std::int64_t window_seconds = std::min(
        round_up_to_seconds(this->window_width), max_seconds - min_seconds);
    const std::uint64_t choice_count =
        static_cast<std::uint64_t>(window_seconds) + 1;
    const std::uint64_t offset_seconds =
        next_random(this->random_state) % choice_count;
    return support::seconds(min_seconds +
                            static_cast<std::int64_t>(offset_seconds));
}

support::duration retry_after::window() const {
    return this->window_width;
}

} // namespace guavastair::admission
