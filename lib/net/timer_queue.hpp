#ifndef GUAVASTAIR_LIB_NET_TIMER_QUEUE_HPP
#define GUAVASTAIR_LIB_NET_TIMER_QUEUE_HPP

#include <guavastair/net.hpp>

#include <map>
#include <optional>
#include <unordered_map>

namespace guavastair::net {

/// Timers ordered by due time. Reads no clock; callers pass the time.
class timer_queue {
public:
    using callback = event_loop::callback;

    /// Adds a timer due at `due`. It repeats every `period`, unless that is 0.
    void add(timer_id id, support::instant due, support::duration period,
             callback call);

    /// Cancels `id`. An unknown id is ignored.
    void cancel(timer_id id);

    /// Calls every timer due at `now`. Timers added during the calls wait for
    /// the next run, so a timer that re-arms itself cannot block the loop.
    void run_due(support::instant now);

    /// The due time of the next timer; nullopt if there is none.
    std::optional<support::instant> next_due() const;

private:
    struct key {
        support::instant due;
        timer_id id;

        auto operator<=>(const key&) const = default;
    };

    struct entry {
        support::duration period;
        callback call;
    };

    void run_one(support::instant now, key first);

    std::map<key, entry> by_due;
    std::unordered_map<std::uint64_t, support::instant> due_of;
};

} // namespace guavastair::net

#endif
