#include "timer_queue.hpp"

#include <cassert>
#include <utility>
#include <vector>

namespace guavastair::net {

void timer_queue::add(timer_id id, support::instant due,
                      support::duration period, callback call) {
    const bool is_new = this->due_of.emplace(id.value, due).second;
    assert(is_new && "a timer id is used once");
    static_cast<void>(is_new);
    this->by_due.emplace(key{due, id}, entry{period, std::move(call)});
}

void timer_queue::cancel(timer_id id) {
    const auto found = this->due_of.find(id.value);
    if (found == this->due_of.end()) {
        return;
    }
    this->by_due.erase(key{found->second, id});
    this->due_of.erase(found);
}

void timer_queue::run_due(support::instant now) {
    std::vector<key> due;
    for (const auto& [when, timer] : this->by_due) {
        if (when.due > now) {
            break;
        }
        due.push_back(when);
    }
    for (const key& when : due) {
        this->run_one(now, when);
    }
}

void timer_queue::run_one(support::instant now, key first) {
    const auto found = this->by_due.find(first);
    const bool cancelled_meanwhile = found == this->by_due.end();
    if (cancelled_meanwhile) {
        return;
    }
    const support::duration period = found->second.period;
    const callback call = std::move(found->second.call);
    this->by_due.erase(found);
    this->due_of.erase(first.id.value);
    if (period.ms > 0) {
        this->add(first.id, now + period, period, call);
    }
    call();
}

std::optional<support::instant> timer_queue::next_due() const {
    if (this->by_due.empty()) {
        return std::nullopt;
    }
    return this->by_due.begin()->first.due;
}

} // namespace guavastair::net
