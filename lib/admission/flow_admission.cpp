#include <guavastair/admission.hpp>

#include <algorithm>
#include <array>

namespace guavastair::admission {

namespace {

constexpr std::array<absl::string_view, 3> verdict_names{"take", "prefer_other",
                                                         "refuse"};

// The threshold moves by this part of itself, so that it follows thousands of
// flows as well as a handful.
constexpr int steps_to_double = 16;

// A cold server bears connections in the proportion of its open slots.
int flows_borne(const flow_load& load) {
    const std::int64_t share =
        static_cast<std::int64_t>(load.max_flows) * load.request_limit;
    return static_cast<int>(share / std::max(load.slots, 1));
}

} // namespace

absl::string_view to_string(flow_verdict verdict) {
    return verdict_names[static_cast<std::size_t>(verdict)];
}

flow_admission::flow_admission(settings chosen) : limits(chosen) {}

flow_verdict flow_admission::decide(const flow_load& load, bool first_choice) {
    const bool full = load.draining || load.flows >= flows_borne(load);
    if (!first_choice) {
        return full ? flow_verdict::refuse : flow_verdict::accept;
    }
    if (full) {
        return flow_verdict::prefer_other;
    }
    const bool free_slot = load.requests < load.request_limit;
    const bool below = load.flows < this->level;
    // Only what the threshold itself decides may move it.
    ++this->asked;
    this->taken += below ? 1 : 0;
    this->move_threshold(load.max_flows);
    return free_slot && below ? flow_verdict::accept
                              : flow_verdict::prefer_other;
}

void flow_admission::move_threshold(int max_flows) {
    if (this->asked < this->limits.window) {
        return;
    }
    const int step = std::max(this->level / steps_to_double, 1);
    const double share = static_cast<double>(this->taken) / this->asked;
    if (share < this->limits.low_share) {
        this->level += step;
    } else if (share > this->limits.high_share) {
        this->level -= step;
    }
    this->level = std::clamp(this->level, 1, std::max(max_flows, 1));
    this->asked = 0;
    this->taken = 0;
}

int flow_admission::threshold() const {
    return this->level;
}

} // namespace guavastair::admission
