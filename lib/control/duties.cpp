#include "duties.hpp"

namespace guavastair::control {

duties choose_duties(const membership::node_record& self,
                     std::span<const membership::member_view> members,
                     duty_counts counts) {
    duties result;
    if (!self.may_watch_store || self.state == membership::member_state::left) {
        return result;
    }
    // The members with the lowest ids are relays. The members with the highest
    // ids watch the store, so that one member rarely does both.
    std::size_t higher = 0;
    std::size_t lower = 0;
    for (const membership::member_view& member : members) {
        const bool is_candidate =
            member.record.data_centre == self.data_centre &&
            member.record.may_watch_store && membership::is_present(member);
        if (is_candidate) {
            higher += member.record.id > self.id ? 1 : 0;
            lower += member.record.id < self.id ? 1 : 0;
        }
    }
    result.watches = higher < counts.watchers;
    if (lower < counts.beacons) {
        result.beacon_slot = lower;
    }
    return result;
}

} // namespace guavastair::control
