#include <guavastair/ownership.hpp>

#include <algorithm>
#include <cmath>

namespace guavastair::ownership {

/// Sliding window in which openings are counted. It is 50 ms longer than a
/// second because two packets may arrive at the server closer together than
/// they were sent.
static constexpr support::duration window = support::milliseconds(1050);

std::uint32_t opening_budget::limit(double rate, double factor, double slack) {
    if (rate <= 0.0) {
        return UINT32_MAX;
    }
    const double allowed = std::floor(rate * factor + slack) - 1.0;
    return static_cast<std::uint32_t>(std::max(allowed, 1.0));
}

void opening_budget::evict_expired(support::instant now) {
    while (!this->recent_openings.empty() &&
           now - this->recent_openings.front() > window) {
        this->recent_openings.pop_front();
    }
}

std::uint32_t opening_budget::remaining(support::instant now,
                                        std::uint32_t allowed) {
    this->evict_expired(now);
    const auto used = static_cast<std::uint32_t>(this->recent_openings.size());
    return used >= allowed ? 0 : allowed - used;
}

void opening_budget::spend(support::instant now) {
    this->evict_expired(now);
    this->recent_openings.push_back(now);
}

} // namespace guavastair::ownership
