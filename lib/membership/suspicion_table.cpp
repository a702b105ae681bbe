#include "suspicion_table.hpp"

#include <cmath>

namespace guavastair::membership {

namespace {

/// The duration of a suspicion under Lifeguard's rule: it falls with the
/// logarithm of the number of independent accusers.
support::duration suspicion_duration(const suspicion& item) {
    const suspicion_limits& limits = item.limits;
    if (limits.confirmations == 0) {
        return limits.shortest;
    }
    const auto confirmations = static_cast<double>(item.accusers.size()) - 1;
    const auto wanted = static_cast<double>(limits.confirmations);
    const double fraction = std::log(confirmations + 1) / std::log(wanted + 1);
    const auto span =
        static_cast<double>((limits.longest - limits.shortest).ms);
    const support::duration time =
        limits.longest -
        support::milliseconds(static_cast<std::int64_t>(span * fraction));
    return std::max(time, limits.shortest);
}

} // namespace

bool suspicion_table::add(const verdict& observed, support::instant now,
                          suspicion_limits limits) {
    suspicion& item = this->suspects[observed.member];
    if (item.accusers.empty() || observed.incarnation > item.incarnation) {
        item = {observed.incarnation, now, now, {observed.accuser}, limits};
        item.deadline = now + suspicion_duration(item);
        return true;
    }
    if (observed.incarnation < item.incarnation ||
        item.accusers.size() > item.limits.confirmations) {
        return false;
    }
    if (!item.accusers.insert(observed.accuser).second) {
        return false;
    }
    item.deadline =
        std::min(item.deadline, item.start + suspicion_duration(item));
    return true;
}

void suspicion_table::drop(support::member_id id) {
    this->suspects.erase(id);
}

void suspicion_table::postpone(support::duration span) {
    for (auto& [id, item] : this->suspects) {
        item.start = item.start + span;
        item.deadline = item.deadline + span;
    }
}

std::vector<support::member_id>
suspicion_table::expired(support::instant now) const {
    std::vector<support::member_id> ids;
    for (const auto& [id, item] : this->suspects) {
        if (item.deadline <= now) {
            ids.push_back(id);
        }
    }
    return ids;
}

const std::map<support::member_id, suspicion>& suspicion_table::all() const {
    return this->suspects;
}

} // namespace guavastair::membership
