#include "group_impl.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavastair::membership {

namespace {

constexpr support::duration remote_probe_spacing = support::milliseconds(125);
constexpr support::duration remote_probe_interval_min =
    support::milliseconds(500);
constexpr support::duration remote_probe_interval_max =
    support::milliseconds(1250);
/// One in this many probes of a data centre goes to any of its members, so that
/// the data centre stays reachable if all its relays fail at once.
constexpr std::uint64_t non_relay_probe_period = 4;
/// Unanswered pings before a data centre counts as unreachable.
constexpr std::size_t min_unanswered_pings = 3;
/// Unanswered pings before the members of a data centre no longer count as
/// responsive. One fewer than min_unanswered_pings, so that a relay that loses
/// all data centres at once finds itself isolated before it declares the first
/// of them unreachable.
constexpr std::size_t min_unanswered_pings_unresponsive =
    min_unanswered_pings - 1;

} // namespace

/// The interval at which a relay probes each other data centre. It grows with
/// their number, between fixed bounds.
support::duration group::impl::remote_probe_interval() const {
    const auto others = static_cast<std::int64_t>(this->remote_links.size());
    return std::clamp(remote_probe_spacing * others, remote_probe_interval_min,
                      remote_probe_interval_max);
}

void group::impl::probe_data_centres() {
    if (!this->is_relay()) {
        this->remote_links.clear();
        return;
    }
    const auto names = this->table.data_centres();
    std::erase_if(this->remote_links, [&](const auto& item) {
        return !std::binary_search(names.begin(), names.end(), item.first);
    });
    for (const support::data_centre_name& name : names) {
        if (name == this->table.self().data_centre) {
            continue;
        }
        const auto added = this->remote_links.try_emplace(name);
        remote_link& link = added.first->second;
        if (added.second) {
            link.last_received = this->now;
            link.last_ping_sent = this->now - this->remote_probe_interval();
        }
        if (this->now - link.last_ping_sent >= this->remote_probe_interval()) {
            this->probe_data_centre(name, link);
        }
    }
}

void group::impl::probe_data_centre(const support::data_centre_name& name,
                                    remote_link& link) {
    const auto remote_relays = this->relays(name);
    support::member_id id =
        remote_relays[link.next_relay % remote_relays.size()];
    ++link.next_relay;
    const auto& live = this->table.live_in(name);
    if (this->random() % non_relay_probe_period == 0) {
        const auto found = live.lower_bound({this->random()});
        id = found == live.end() ? *live.begin() : *found;
    }
    link.last_ping_sent = this->now;
    ++link.unanswered_pings;
    this->ping(*this->table.find(id), true);
}

/// Estimates the members in contact with this process, itself included: those
/// of its data centre by the share of recent probes that were answered, and all
/// of each other data centre that answers pings.
std::size_t group::impl::count_responsive_members() const {
    const std::size_t probed = this->recent_probes.probed();
    const std::size_t local =
        this->table.live_in(this->table.self().data_centre).size() - 1;
    std::size_t count = 1;
    if (probed == 0) {
        count += local;
    } else {
        count += local * this->recent_probes.answered() / probed;
    }
    for (const auto& [name, link] : this->remote_links) {
        if (link.unanswered_pings < min_unanswered_pings_unresponsive) {
            count += this->table.live_in(name).size();
        }
    }
    return count;
}

/// On a relay, announces in its own record which data centres it cannot reach.
/// An isolated relay adds none, since its own links are the likely fault. A
/// process that is no longer a relay withdraws its list.
void group::impl::evaluate_data_centres() {
    if (!this->is_relay()) {
        if (!this->table.self().unreachable.empty()) {
            node_record record = this->table.self();
            record.unreachable.clear();
            this->table.set_self(std::move(record));
            this->announce();
        }
        return;
    }
    std::vector<support::data_centre_name> silent_data_centres;
    for (const auto& [name, link] : this->remote_links) {
        const support::duration since_last_received =
            this->now - link.last_received;
        if (since_last_received > this->settings.unreachable_timeout &&
            link.unanswered_pings >= min_unanswered_pings) {
            silent_data_centres.push_back(name);
        }
    }
    if (silent_data_centres == this->table.self().unreachable) {
        return;
    }
    const bool has_newly_unreachable =
        !std::includes(this->table.self().unreachable.begin(),
                       this->table.self().unreachable.end(),
                       silent_data_centres.begin(), silent_data_centres.end());
    if (has_newly_unreachable && this->is_isolated()) {
        return;
    }
    node_record record = this->table.self();
    record.unreachable = std::move(silent_data_centres);
    this->table.set_self(std::move(record));
    this->announce();
    this->next_anti_entropy = this->now;
}

/// Counts a data centre as unreachable if most relays of the local data centre
/// report it so, and emits an action for each change.
void group::impl::update_reachability() {
    const support::data_centre_name& local_data_centre =
        this->table.self().data_centre;
    const auto local_relays = this->relays(local_data_centre);
    std::map<support::data_centre_name, std::size_t> votes;
    for (const support::member_id id : local_relays) {
        const node_record& record = id == this->table.self().id
                                        ? this->table.self()
                                        : this->table.find(id)->record;
        for (const support::data_centre_name& name : record.unreachable) {
            ++votes[name];
        }
    }
    std::set<support::data_centre_name> unreachable_now;
    for (const auto& [name, count] : votes) {
        if (count * 2 > local_relays.size() && name != local_data_centre) {
            unreachable_now.insert(name);
        }
    }
    if (unreachable_now == this->unreachable_data_centres) {
        return;
    }
    std::vector<support::data_centre_name> differing;
    std::set_symmetric_difference(
        unreachable_now.begin(), unreachable_now.end(),
        this->unreachable_data_centres.begin(),
        this->unreachable_data_centres.end(), std::back_inserter(differing));
    this->unreachable_data_centres = std::move(unreachable_now);
    for (const support::data_centre_name& name : differing) {
        this->actions.emplace_back(data_centre_changed{
            name, !this->unreachable_data_centres.contains(name)});
        for (const support::member_id id : this->table.live_in(name)) {
            this->mark_changed(id);
        }
    }
}

} // namespace guavastair::membership
