#include <guavastair/ownership.hpp>

#include <algorithm>
#include <cmath>

namespace guavastair::ownership {

/// The span in which openings are counted: a second, and the time by which
/// two packets may come closer to each other on the way to the server.
static constexpr support::duration window = support::milliseconds(1050);

std::uint32_t opening_budget::limit(double rate, double factor, double slack) {
    if (rate <= 0.0) {
        return UINT32_MAX;
    }
    const double allowed = std::floor(rate * factor + slack) - 1.0;
    return static_cast<std::uint32_t>(std::max(allowed, 1.0));
}

void opening_budget::forget_old(support::instant now) {
    while (!this->recent.empty() && now - this->recent.front() > window) {
        this->recent.pop_front();
    }
}

std::uint32_t opening_budget::remaining(support::instant now,
                                        std::uint32_t allowed) {
    this->forget_old(now);
    const auto used = static_cast<std::uint32_t>(this->recent.size());
    return used >= allowed ? 0 : allowed - used;
}

void opening_budget::spend(support::instant now) {
    this->forget_old(now);
    this->recent.push_back(now);
}

} // namespace guavastair::ownership
