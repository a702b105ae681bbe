#include "latency.hpp"

#include <algorithm>
#include <cmath>

namespace guavastair::admission {

namespace {

constexpr int samples_to_judge = 5;
constexpr int samples_remembered = 64;
// While a rise is suspected it must not become the usual.
constexpr double suspicious_gain = 1.0 / 8;
constexpr double suspicious_evidence = 4.0;
constexpr double recent_gain = 1.0 / 3;
// In multiples of the scale: what is still usual, and the most that one answer
// counts.
constexpr double usual_factor = 2.0;
constexpr double largest_factor = 6.0;
// The clock's step; a faster server must not look slow for a rounding error.
constexpr double smallest_scale_ms = 2.0;

} // namespace

double latency_record::scale_ms() const {
    return std::max({this->mean, std::sqrt(this->variance), smallest_scale_ms});
}

double latency_record::excess(double latency_ms) const {
    const double factor = latency_ms / this->scale_ms();
    return std::min(factor, largest_factor) - usual_factor;
}

void latency_record::learn(support::duration latency) {
    auto sample = static_cast<double>(latency.ms);
    if (this->samples == 0) {
        this->mean = sample;
        this->recent = sample;
        this->samples = 1;
        return;
    }
    this->recent += recent_gain * (sample - this->recent);
    if (this->samples >= samples_to_judge) {
        this->sum = std::max(0.0, this->sum + this->excess(sample));
        sample = std::min(sample, largest_factor * this->scale_ms());
    }
    this->samples = std::min(this->samples + 1, samples_remembered);
    const bool suspicious = this->sum > suspicious_evidence;
    const double gain = (suspicious ? suspicious_gain : 1.0) / this->samples;
    const double error = sample - this->mean;
    this->mean += gain * error;
    this->variance += gain * (error * error - this->variance);
}

void latency_record::learn_failure() {
    this->sum += largest_factor - usual_factor;
}

void latency_record::clear_evidence() {
    this->sum = 0.0;
}

double latency_record::evidence() const {
    return this->sum;
}

double latency_record::evidence_of_age(support::duration age) const {
    if (this->samples < samples_to_judge) {
        return 0.0;
    }
    return std::max(0.0, this->excess(static_cast<double>(age.ms)));
}

bool latency_record::known() const {
    return this->samples > 0;
}

double latency_record::usual_ms() const {
    return this->mean;
}

double latency_record::variation() const {
    if (this->samples < samples_to_judge || this->mean <= 0.0) {
        return 0.0;
    }
    return std::sqrt(this->variance) / this->mean;
}

double latency_record::recent_ms() const {
    return this->recent;
}

} // namespace guavastair::admission
