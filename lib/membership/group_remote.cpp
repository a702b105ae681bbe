#include "group_impl.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavastair::membership {

namespace {

constexpr support::duration remote_share = support::milliseconds(125);
constexpr support::duration remote_interval_min = support::milliseconds(500);
constexpr support::duration remote_interval_max = support::milliseconds(1250);
/// One in this many probes of a data centre goes to a member that is no relay,
/// in case all its relays died at once.
constexpr std::uint64_t other_member_share = 4;
/// Pings without an answer before a data centre counts as out of reach.
constexpr std::size_t min_unanswered = 3;
/// Pings without an answer before a data centre no longer counts as heard. One
/// fewer, so that a relay that loses all data centres at once knows before it
/// judges the first of them.
constexpr std::size_t doubtful_unanswered = min_unanswered - 1;

} // namespace

/// How often a relay probes each other data centre.
support::duration group::impl::remote_interval() const {
    const auto others = static_cast<std::int64_t>(this->remote.size());
    return std::clamp(remote_share * others, remote_interval_min,
                      remote_interval_max);
}

void group::impl::probe_data_centres() {
    if (!this->is_relay()) {
        this->remote.clear();
        return;
    }
    const auto names = this->table.data_centres();
    std::erase_if(this->remote, [&](const auto& item) {
        return !std::binary_search(names.begin(), names.end(), item.first);
    });
    for (const support::data_centre_name& name : names) {
        if (name == this->table.self().data_centre) {
            continue;
        }
        const auto added = this->remote.try_emplace(name);
        remote_contact& there = added.first->second;
        if (added.second) {
            there.last_heard = this->now;
            there.last_ping = this->now - this->remote_interval();
        }
        if (this->now - there.last_ping >= this->remote_interval()) {
            this->probe_data_centre(name, there);
        }
    }
}

void group::impl::probe_data_centre(const support::data_centre_name& name,
                                    remote_contact& there) {
    const auto relays_there = this->relays(name);
    support::member_id id =
        relays_there[there.next_relay % relays_there.size()];
    ++there.next_relay;
    const auto& live = this->table.live_in(name);
    if (this->random() % other_member_share == 0) {
        const auto found = live.lower_bound({this->random()});
        id = found == live.end() ? *live.begin() : *found;
    }
    there.last_ping = this->now;
    ++there.unanswered;
    this->ping(*this->table.find(id), true);
}

/// Members of this data centre that answer, and of others that are heard.
std::size_t group::impl::members_in_contact() const {
    const std::size_t probed = this->contact.probed();
    const std::size_t local =
        this->table.live_in(this->table.self().data_centre).size() - 1;
    std::size_t count = 1;
    if (probed == 0) {
        count += local;
    } else {
        count += local * this->contact.answered() / probed;
    }
    for (const auto& [name, there] : this->remote) {
        if (there.unanswered < doubtful_unanswered) {
            count += this->table.live_in(name).size();
        }
    }
    return count;
}

/// As a relay, decides which data centres are out of reach and says so in the
/// own record. A relay that lost most members keeps its last word.
void group::impl::judge_data_centres() {
    if (!this->is_relay()) {
        if (!this->table.self().unreachable.empty()) {
            node_record record = this->table.self();
            record.unreachable.clear();
            this->table.set_self(std::move(record));
            this->announce();
        }
        return;
    }
    std::vector<support::data_centre_name> silent;
    for (const auto& [name, there] : this->remote) {
        const support::duration silence = this->now - there.last_heard;
        if (silence > this->settings.unreachable_after &&
            there.unanswered >= min_unanswered) {
            silent.push_back(name);
        }
    }
    if (silent == this->table.self().unreachable) {
        return;
    }
    const bool loses_one = !std::includes(
        this->table.self().unreachable.begin(),
        this->table.self().unreachable.end(), silent.begin(), silent.end());
    if (loses_one && this->is_isolated()) {
        return;
    }
    node_record record = this->table.self();
    record.unreachable = std::move(silent);
    this->table.set_self(std::move(record));
    this->announce();
    this->next_repair = this->now;
}

/// A data centre is out of reach if most relays of this one say so.
void group::impl::update_reach() {
    const support::data_centre_name& here = this->table.self().data_centre;
    const auto own_relays = this->relays(here);
    std::map<support::data_centre_name, std::size_t> votes;
    for (const support::member_id id : own_relays) {
        const node_record& record = id == this->table.self().id
                                        ? this->table.self()
                                        : this->table.find(id)->record;
        for (const support::data_centre_name& name : record.unreachable) {
            ++votes[name];
        }
    }
    std::set<support::data_centre_name> lost;
    for (const auto& [name, count] : votes) {
        if (count * 2 > own_relays.size() && name != here) {
            lost.insert(name);
        }
    }
    if (lost == this->out_of_reach) {
        return;
    }
    std::vector<support::data_centre_name> differing;
    std::set_symmetric_difference(
        lost.begin(), lost.end(), this->out_of_reach.begin(),
        this->out_of_reach.end(), std::back_inserter(differing));
    this->out_of_reach = std::move(lost);
    for (const support::data_centre_name& name : differing) {
        this->actions.emplace_back(
            data_centre_changed{name, !this->out_of_reach.contains(name)});
        for (const support::member_id id : this->table.live_in(name)) {
            this->changed(id);
        }
    }
}

} // namespace guavastair::membership
