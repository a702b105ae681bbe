#include <guavastair/registry.hpp>

#include <algorithm>

namespace guavastair::registry {

backoff::backoff(support::duration shortest, support::duration longest,
                 std::uint64_t seed)
    : first(shortest), last(longest), current(shortest),
      random(static_cast<std::minstd_rand::result_type>(seed)) {}

support::duration backoff::next() {
    std::uniform_int_distribution<std::int64_t> choose(this->current.ms / 2,
                                                       this->current.ms);
    const support::duration pause{choose(this->random)};
    this->current = std::min(this->current * 2, this->last);
    return pause;
}

void backoff::succeed() {
    this->current = this->first;
}

} // namespace guavastair::registry
