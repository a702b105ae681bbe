#include "latency.hpp"

#include <algorithm>
#include <cmath>

namespace guavastair::admission {

namespace {

// Samples needed before a latency counts as evidence and the variation is
// known.
constexpr int min_samples = 5;
// Limits the averaging window of the moving mean and variance.
constexpr int max_sample_count = 64;
// While a rise is suspected, mean and variance adapt more slowly, so that the
// raised latency does not become the baseline.
constexpr double suspect_gain_factor = 1.0 / 8;
constexpr double suspect_threshold = 4.0;
constexpr double recent_gain = 1.0 / 3;
// In multiples of scale_ms(): the highest latency that adds no evidence, and
// the highest value that one response counts with.
constexpr double normal_factor = 2.0;
constexpr double max_factor = 6.0;
// Latencies are in whole milliseconds. With a smaller scale, rounding alone
// could make a fast server look slow.
constexpr double min_scale_ms = 2.0;

} // namespace

double latency_monitor::scale_ms() const {
    return std::max({this->mean_ms, std::sqrt(this->variance), min_scale_ms});
}

double latency_monitor::excess(double latency_ms) const {
    const double factor = latency_ms / this->scale_ms();
    return std::min(factor, max_factor) - normal_factor;
}

void latency_monitor::record(support::duration latency) {
    auto sample_ms = static_cast<double>(latency.ms);
    if (this->sample_count == 0) {
        this->mean_ms = sample_ms;
        this->recent_mean = sample_ms;
        this->sample_count = 1;
        return;
    }
    this->recent_mean += recent_gain * (sample_ms - this->recent_mean);
    if (this->sample_count >= min_samples) {
        this->cusum = std::max(0.0, this->cusum + this->excess(sample_ms));
        sample_ms = std::min(sample_ms, max_factor * this->scale_ms());
    }
    this->sample_count = std::min(this->sample_count + 1, max_sample_count);
    const bool is_suspect = this->cusum > suspect_threshold;
    const double gain =
        (is_suspect ? suspect_gain_factor : 1.0) / this->sample_count;
    const double deviation_ms = sample_ms - this->mean_ms;
    this->mean_ms += gain * deviation_ms;
    this->variance += gain * (deviation_ms * deviation_ms - this->variance);
}

void latency_monitor::record_failure() {
    this->cusum += max_factor - normal_factor;
}

void latency_monitor::reset_evidence() {
    this->cusum = 0.0;
}

double latency_monitor::evidence() const {
    return this->cusum;
}

double latency_monitor::evidence_from_age(support::duration age) const {
    if (this->sample_count < min_samples) {
        return 0.0;
    }
    return std::max(0.0, this->excess(static_cast<double>(age.ms)));
}

bool latency_monitor::has_samples() const {
    return this->sample_count > 0;
}

double latency_monitor::baseline_ms() const {
    return this->mean_ms;
}

double latency_monitor::coefficient_of_variation() const {
    if (this->sample_count < min_samples || this->mean_ms <= 0.0) {
        return 0.0;
    }
    return std::sqrt(this->variance) / this->mean_ms;
}

double latency_monitor::recent_mean_ms() const {
    return this->recent_mean;
}

} // namespace guavastair::admission
