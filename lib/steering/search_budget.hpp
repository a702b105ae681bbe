/// How many messages a balancer's searches may send.

#ifndef GUAVASTAIR_LIB_STEERING_SEARCH_BUDGET_HPP
#define GUAVASTAIR_LIB_STEERING_SEARCH_BUDGET_HPP

#include <guavastair/support.hpp>

#include <algorithm>
#include <cstddef>

namespace guavastair::steering {

/// Bounds the messages of searches over time.
class search_budget {
public:
    search_budget(double per_second, double at_once)
        : rate(per_second), most(at_once), left(at_once) {}

    /// Whether another search may begin.
    bool allows(support::instant now) {
        constexpr double ms_per_second = 1000.0;
        const double passed = static_cast<double>((now - this->last).ms);
        this->last = now;
        this->left = std::min(this->most,
                              this->left + passed * this->rate / ms_per_second);
        return this->left > 0.0;
    }

    /// A search under way may owe, so that it gets to its end.
    void spend(std::size_t messages) {
        this->left -= static_cast<double>(messages);
    }

private:
    double rate;
    double most;
    double left;
    support::instant last;
};

} // namespace guavastair::steering

#endif
