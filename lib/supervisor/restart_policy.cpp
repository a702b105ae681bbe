#include <guavastair/supervisor.hpp>

#include <algorithm>

namespace guavastair::supervisor {

restart_policy::restart_policy(restart_limits restart_bounds)
    : limits(restart_bounds) {}

std::optional<support::duration>
restart_policy::on_failure(support::instant now) {
    const support::instant oldest = now - this->limits.window;
    std::erase_if(this->failures, [oldest](support::instant failure) {
        return failure < oldest;
    });
    this->failures.push_back(now);
    const auto recent = static_cast<int>(this->failures.size());
    if (recent > this->limits.max_restarts) {
        return std::nullopt;
    }
    support::duration backoff = this->limits.first_backoff;
    for (int i = 1; i < recent; ++i) {
        backoff = std::min(backoff * 2, this->limits.longest_backoff);
    }
    return std::min(backoff, this->limits.longest_backoff);
}

} // namespace guavastair::supervisor
