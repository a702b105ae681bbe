#include "fake_server.hpp"

#include <algorithm>
#include <cmath>

namespace admission_test {

namespace {

constexpr double lognormal_sigma = 0.5;
constexpr double long_share = 0.1;
constexpr double long_factor = 9.1;
constexpr double short_factor = 0.1;

} // namespace

fake_server::fake_server(const server_model& settings, std::uint64_t seed)
    : model(settings), random(seed) {}

int fake_server::capacity(support::instant now) const {
    const int steps = this->model.slots - 1;
    const std::int64_t ramp = std::max<std::int64_t>(this->model.ramp.ms, 1);
    const std::int64_t by_time =
        this->model.ramp.ms == 0 ? steps
                                 : steps * (now - this->cold_since).ms / ramp;
    const std::int64_t by_answers =
        this->model.ramp_answers == 0
            ? steps
            : this->answers / this->model.ramp_answers;
    const std::int64_t opened =
        std::min({by_time, by_answers, static_cast<std::int64_t>(steps)});
    return 1 + static_cast<int>(opened);
}

double fake_server::draw_ms() {
    switch (this->model.latencies) {
    case latency_distribution::fixed:
        return this->model.mean_ms;
    case latency_distribution::exponential: {
        std::exponential_distribution<double> times(1.0 / this->model.mean_ms);
        return times(this->random);
    }
    case latency_distribution::lognormal: {
        const double log_mean = std::log(this->model.mean_ms) -
                                lognormal_sigma * lognormal_sigma / 2;
        std::lognormal_distribution<double> times(log_mean, lognormal_sigma);
        return times(this->random);
    }
    case latency_distribution::mixed: {
        std::bernoulli_distribution is_long(long_share);
        return this->model.mean_ms *
               (is_long(this->random) ? long_factor : short_factor);
    }
    }
    return this->model.mean_ms;
}

fake_server::offer_result fake_server::offer(support::instant now) {
    ++this->offered;
    const int current_capacity = this->capacity(now);
    const bool overloaded = this->running >= current_capacity;
    if (overloaded) {
        ++this->overloads;
        if (this->model.refuses) {
            return {true, now};
        }
    }
    double ms = this->draw_ms();
    ms *= current_capacity < this->model.slots ? this->model.cold_factor : 1.0;
    ms *= overloaded ? this->model.overload_factor : 1.0;
    ++this->running;
    const auto rounded_ms = static_cast<std::int64_t>(std::ceil(ms));
    return {false,
            now + support::milliseconds(std::max<std::int64_t>(1, rounded_ms))};
}

void fake_server::finish_request() {
    --this->running;
    ++this->answers;
}

void fake_server::turn_cold(support::instant now) {
    this->cold_since = now;
    this->answers = 0;
}

} // namespace admission_test
