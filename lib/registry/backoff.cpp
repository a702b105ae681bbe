#include <guavastair/registry.hpp>

#include <algorithm>

namespace guavastair::registry {

backoff::backoff(support::duration shortest, support::duration longest,
                 std::uint64_t seed)
    : initial_delay(shortest), longest_delay(longest), current_delay(shortest),
      random(static_cast<std::minstd_rand::result_type>(seed)) {}

support::duration backoff::next() {
    std::uniform_int_distribution<std::int64_t> distribution(
        this->current_delay.ms / 2, this->current_delay.ms);
    const support::duration delay{distribution(this->random)};
    this->current_delay =
        std::min(this->current_delay * 2, this->longest_delay);
    return delay;
}

void backoff::on_success() {
    this->current_delay = this->initial_delay;
}

} // namespace guavastair::registry
