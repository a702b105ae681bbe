/// The rate limit of a balancer's search messages.

#ifndef GUAVASTAIR_LIB_STEERING_SEARCH_BUDGET_HPP
#define GUAVASTAIR_LIB_STEERING_SEARCH_BUDGET_HPP

#include <guavastair/support.hpp>

#include <algorithm>
#include <cstddef>

namespace guavastair::steering {

/// A token bucket with one token for each search message.
class search_budget {
public:
    search_budget(double messages_per_second, double burst)
        : messages_per_second(messages_per_second), burst(burst),
          available(burst) {}

    /// Refills the bucket and returns whether another search may start.
    bool allows(support::instant now) {
        constexpr double ms_per_second = 1000.0;
        const double elapsed_ms =
            static_cast<double>((now - this->last_refill).ms);
        this->last_refill = now;
        this->available =
            std::min(this->burst,
                     this->available + elapsed_ms * this->messages_per_second /
                                           ms_per_second);
        return this->available > 0.0;
    }

    /// Takes tokens for `messages`. The balance may become negative, so that a
    /// search in progress can complete.
    void spend(std::size_t messages) {
        this->available -= static_cast<double>(messages);
    }

private:
    double messages_per_second;
    double burst;
    double available;
    support::instant last_refill;
};

} // namespace guavastair::steering

#endif
