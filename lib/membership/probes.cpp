#include "probes.hpp"

#include <algorithm>

namespace guavastair::membership {

static constexpr support::duration probe_history_window = support::seconds(3);

void member_rotation::add(support::member_id id, std::mt19937_64& random) {
    std::uniform_int_distribution<std::size_t> position(0,
                                                        this->remaining.size());
    const auto offset = static_cast<std::ptrdiff_t>(position(random));
    this->remaining.insert(this->remaining.begin() + offset, id);
}

std::optional<support::member_id>
member_rotation::next(const std::set<support::member_id>& live,
                      support::member_id self, std::mt19937_64& random) {
    if (live.empty() || (live.size() == 1 && live.contains(self))) {
        return std::nullopt;
    }
    while (true) {
        if (this->remaining.empty()) {
            this->remaining.assign(live.begin(), live.end());
            std::shuffle(this->remaining.begin(), this->remaining.end(),
                         random);
        }
        const support::member_id id = this->remaining.back();
        this->remaining.pop_back();
        if (id != self && live.contains(id)) {
            return id;
        }
    }
}

void probe_history::add_result(support::member_id target, bool answered,
                               support::instant now) {
    this->results[target] = {answered, now};
}

void probe_history::expire(support::instant now) {
    std::erase_if(this->results, [now](const auto& item) {
        return now - item.second.at > probe_history_window;
    });
}

void probe_history::drop(support::member_id target) {
    this->results.erase(target);
}

void probe_history::clear() {
    this->results.clear();
}

std::size_t probe_history::probed() const {
    return this->results.size();
}

std::size_t probe_history::answered() const {
    const auto count =
        std::count_if(this->results.begin(), this->results.end(),
                      [](const auto& item) { return item.second.answered; });
    return static_cast<std::size_t>(count);
}

} // namespace guavastair::membership
