#include <guavastair/support.hpp>

#include <cassert>
#include <chrono>

namespace guavastair::support {

instant steady_clock::now() const {
    const auto since_start = std::chrono::steady_clock::now();
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(
        since_start.time_since_epoch());
    return {count.count()};
}

instant manual_clock::now() const {
    return this->current;
}

void manual_clock::advance(duration span) {
    assert(span.ms >= 0 && "the clock must not go backwards");
    this->current = this->current + span;
}

} // namespace guavastair::support
