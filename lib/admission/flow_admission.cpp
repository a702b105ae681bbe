#include <guavastair/admission.hpp>

#include <algorithm>
#include <array>

namespace guavastair::admission {

namespace {

constexpr std::array<absl::string_view, 3> verdict_names{"take", "prefer_other",
                                                         "refuse"};

// A step is this fraction of the threshold, at least 1. A proportional step
// lets the threshold follow small and large numbers of flows alike.
constexpr int threshold_step_divisor = 16;

// The maximum number of flows scales with the share of slots that are open.
int flow_capacity(const flow_load& load) {
    const std::int64_t scaled_flows =
        static_cast<std::int64_t>(load.max_flows) * load.request_limit;
    return static_cast<int>(scaled_flows / std::max(load.slots, 1));
}

} // namespace

absl::string_view to_string(flow_verdict verdict) {
    return verdict_names[static_cast<std::size_t>(verdict)];
}

flow_admission::flow_admission(settings options) : options(options) {}

flow_verdict flow_admission::decide(const flow_load& load,
                                    bool has_next_candidate) {
    const bool is_full = load.draining || load.flows >= flow_capacity(load);
    if (!has_next_candidate) {
        return is_full ? flow_verdict::refuse : flow_verdict::accept;
    }
    if (is_full) {
        return flow_verdict::prefer_other;
    }
    const bool has_free_slot = load.requests < load.request_limit;
    const bool is_below_threshold = load.flows < this->current_threshold;
    // Counts no decision that was made because the server is full or because
    // no other candidate is left: the threshold had no influence on those.
    ++this->decisions;
    this->decisions_below_threshold += is_below_threshold ? 1 : 0;
    this->adjust_threshold(load.max_flows);
    return has_free_slot && is_below_threshold ? flow_verdict::accept
                                               : flow_verdict::prefer_other;
}

void flow_admission::adjust_threshold(int max_flows) {
    if (this->decisions < this->options.window_decisions) {
        return;
    }
    const int step =
        std::max(this->current_threshold / threshold_step_divisor, 1);
    const double share_below_threshold =
        static_cast<double>(this->decisions_below_threshold) / this->decisions;
    if (share_below_threshold < this->options.min_target_share) {
        this->current_threshold += step;
    } else if (share_below_threshold > this->options.max_target_share) {
        this->current_threshold -= step;
    }
    this->current_threshold =
        std::clamp(this->current_threshold, 1, std::max(max_flows, 1));
    this->decisions = 0;
    this->decisions_below_threshold = 0;
}

int flow_admission::threshold() const {
    return this->current_threshold;
}

} // namespace guavastair::admission
