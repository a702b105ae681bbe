#include <guavastair/ownership.hpp>

#include <algorithm>

namespace guavastair::ownership {

/// Weight of a new answer in the mean. The mean follows a server that turns
/// cold or warm within about ten answers.
static constexpr double answer_weight = 0.1;

work_time predicted_wait(const peer::load_report& load, work_time work) {
    const double slots = std::max<std::uint32_t>(load.slots, 1);
    // Number of requests that must end before a slot is free.
    const double ahead = std::max(load.in_progress - slots + 1.0, 0.0);
    return {ahead * work.ms / slots};
}

load_verdict judge_load(const load_limits& limits,
                        const peer::load_report& load,
                        std::optional<work_time> work,
                        const opening_terms& terms) {
    const double slots = std::max<std::uint32_t>(load.slots, 1);
    if (load.in_progress < slots) {
        return load_verdict::accept;
    }
    if (!terms.time_left.has_value()) {
        return load.in_progress < slots * limits.full_without_objective
                   ? load_verdict::prefer_other
                   : load_verdict::full;
    }
    if (terms.time_left->ms <= 0) {
        return load_verdict::full;
    }
    const auto time_left = static_cast<double>(terms.time_left->ms);
    const work_time expected =
        work.value_or(work_time{time_left * limits.assumed_work_share});
    const double share = terms.opening_urgency == urgency::highest
                             ? limits.wait_share
                             : limits.wait_share_of_lower;
    return predicted_wait(load, expected).ms < time_left * share
               ? load_verdict::prefer_other
               : load_verdict::full;
}

void work_estimate::on_answer(support::duration response_time,
                              std::uint32_t in_progress, std::uint32_t slots) {
    const double slot_count = std::max<std::uint32_t>(slots, 1);
    const double rounds = std::max(in_progress / slot_count, 1.0);
    const double sample = static_cast<double>(response_time.ms) / rounds;
    if (!this->mean_time.has_value()) {
        this->mean_time = work_time{sample};
        return;
    }
    this->mean_time->ms += answer_weight * (sample - this->mean_time->ms);
}

void work_estimate::discard_samples() {
    this->mean_time.reset();
}

std::optional<work_time> work_estimate::mean() const {
    return this->mean_time;
}

} // namespace guavastair::ownership
