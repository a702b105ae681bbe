#include "group_impl.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace guavastair::membership {

namespace {

/// Upper bound of Lifeguard's local health score, which starts at 0. Timeouts
/// are multiplied by the score plus one.
constexpr int max_local_health = 3;
/// Independent accusers beyond the first that reduce a suspicion to its
/// minimum.
constexpr std::size_t max_confirmations = 2;
/// Suspects pinged again in each gossip interval.
constexpr std::size_t max_suspect_pings_per_interval = 4;
/// Timeout of a probe of another data centre.
constexpr support::duration remote_timeout = support::seconds(1);
/// Requested probes in flight beyond this number get an early nack.
constexpr std::size_t max_requested_probes = 256;

} // namespace

/// Lengthens a timeout while the local health score shows that this process or
/// its links are slow.
support::duration group::impl::scale_timeout(support::duration timeout) const {
    if (!this->settings.lifeguard) {
        return timeout;
    }
    return timeout * (1 + this->local_health);
}

void group::impl::adjust_health(int by) {
    this->local_health =
        std::clamp(this->local_health + by, 0, max_local_health);
}

void group::impl::probe_members() {
    if (this->now < this->next_probe) {
        return;
    }
    this->next_probe =
        std::max(this->next_probe + this->settings.probe_interval, this->now);
    const node_record& self = this->table.self();
    const auto& live = this->table.live_in(self.data_centre);
    const std::size_t others = live.size() - 1;
    const std::size_t count =
        std::min(this->settings.probes_per_interval, others);
    for (std::size_t i = 0; i < count; ++i) {
        const auto id = this->probe_rotation.next(live, self.id, this->random);
        if (id.has_value()) {
            ++this->counts.probes;
            this->ping(*this->table.find(*id), false);
        }
    }
}

void group::impl::ping(const member_entry& target, bool is_remote) {
    message body = this->make_message(message_kind::ping);
    body.sequence = this->next_sequence++;
    body.target = target.record.id;
    if (target.liveness != liveness::alive) {
        body.verdicts.push_back(this->current_verdict(target));
    }
    if (!is_remote) {
        this->local_updates.fill(body, this->table, max_body_size,
                                 this->max_sends());
    }
    this->probes.own[body.sequence] = {target.record.id, this->now, is_remote};
    this->send(target.record.control, std::move(body));
}

void group::impl::check_probes() {
    const support::duration timeout =
        this->scale_timeout(this->settings.ack_timeout);
    std::vector<probe> failed;
    for (auto item = this->probes.own.begin();
         item != this->probes.own.end();) {
        probe& pending = item->second;
        const support::duration age = this->now - pending.sent;
        const support::duration limit =
            pending.is_remote ? remote_timeout : timeout * 2;
        if (age >= limit) {
            failed.push_back(pending);
            item = this->probes.own.erase(item);
            continue;
        }
        const bool needs_indirect = !pending.is_remote && age >= timeout &&
                                    !pending.has_requested_indirect;
        if (needs_indirect) {
            this->request_indirect_probes(item->first, pending);
        }
        ++item;
    }
    for (const probe& item : failed) {
        if (!item.is_remote) {
            this->handle_failed_probe(item);
        }
    }
}

void group::impl::request_indirect_probes(std::uint32_t sequence,
                                          probe& pending) {
    pending.has_requested_indirect = true;
    std::vector<support::member_id> candidates;
    for (const auto& name : this->table.data_centres()) {
        const auto& live = this->table.live_in(name);
        const bool is_same_data_centre = name == this->table.self().data_centre;
        // In a small fleet members of other data centres are candidates too.
        if (is_same_data_centre || live.size() <= this->settings.relays) {
            candidates.insert(candidates.end(), live.begin(), live.end());
        }
    }
    std::vector<support::member_id> helpers;
    std::sample(candidates.begin(), candidates.end(),
                std::back_inserter(helpers),
                static_cast<std::ptrdiff_t>(this->settings.indirect_probes + 2),
                this->random);
    std::erase(helpers, this->table.self().id);
    std::erase(helpers, pending.target);
    helpers.resize(std::min(helpers.size(), this->settings.indirect_probes));
    message body = this->make_message(message_kind::ping_request);
    body.sequence = sequence;
    body.target = pending.target;
    for (const support::member_id id : helpers) {
        const member_entry* helper = this->table.find(id);
        if (helper != nullptr && helper->liveness == liveness::alive) {
            this->send(helper->record.control, body);
            ++pending.helpers;
        }
    }
}

void group::impl::check_requested_probes() {
    auto& requested = this->probes.requested;
    for (auto item = requested.begin(); item != requested.end();) {
        const requested_probe& pending = item->second;
        const support::duration age = this->now - pending.sent;
        // Three quarters of the timeout, so that the nack arrives before the
        // requester's probe times out.
        const bool is_timed_out = age * 4 >= this->settings.ack_timeout * 3;
        if (!is_timed_out && requested.size() <= max_requested_probes) {
            ++item;
            continue;
        }
        message body = this->make_message(message_kind::nack);
        body.sequence = pending.sequence;
        body.target = pending.target;
        this->send(pending.requester, std::move(body));
        item = requested.erase(item);
    }
}

void group::impl::handle_failed_probe(const probe& failed) {
    this->recent_probes.add_result(failed.target, false, this->now);
    ++this->counts.failed_probes;
    // If no helper sent a nack either, this process may be the slow one.
    if (failed.helpers > 0 && failed.nacks == 0) {
        this->adjust_health(1);
    }
    const member_entry* entry = this->table.find(failed.target);
    if (entry != nullptr && entry->is_live()) {
        this->suspect(*entry);
    }
}

void group::impl::suspect(const member_entry& target) {
    verdict observed = this->current_verdict(target);
    observed.liveness = liveness::suspect;
    if (target.liveness == liveness::alive) {
        ++this->counts.suspicions;
    }
    this->record_suspicion(observed);
}

/// Records a suspicion by this process or another one, and gossips it if it is
/// new or adds an accuser that counts.
void group::impl::record_suspicion(const verdict& observed) {
    const member_entry* entry = this->table.find(observed.member);
    const bool is_new = this->active_suspicions.add(
        observed, this->now, this->suspicion_limits_for(*entry));
    if (this->table.apply(observed, this->now)) {
        this->mark_changed(observed.member);
    }
    if (is_new) {
        this->queue_verdict(observed);
    }
}

suspicion_limits
group::impl::suspicion_limits_for(const member_entry& target) const {
    if (!this->settings.lifeguard) {
        return {this->settings.suspicion_max, this->settings.suspicion_max, 0};
    }
    const std::size_t members =
        this->table.live_in(target.record.data_centre).size();
    // Neither the suspect nor the first accuser can confirm.
    const std::size_t others = members > 2 ? members - 2 : 0;
    // Gossip takes a number of rounds that grows with the logarithm of the
    // number of members. The time to refute a suspicion must grow with it.
    const double rounds = std::log10(static_cast<double>(members));
    const double factor = std::max(1.0, rounds);
    const auto scale = [factor](support::duration time) {
        const double ms = static_cast<double>(time.ms) * factor;
        return support::milliseconds(static_cast<std::int64_t>(ms));
    };
    return {scale(this->settings.suspicion_min),
            scale(this->settings.suspicion_max),
            std::min(max_confirmations, others)};
}

void group::impl::check_suspicions() {
    this->recent_probes.expire(this->now);
    const auto expired = this->active_suspicions.expired(this->now);
    if (expired.empty()) {
        return;
    }
    if (this->is_isolated()) {
        this->active_suspicions.postpone(this->settings.suspicion_min);
        return;
    }
    for (const support::member_id id : expired) {
        const member_entry* entry = this->table.find(id);
        this->active_suspicions.drop(id);
        if (entry == nullptr || entry->liveness != liveness::suspect) {
            continue;
        }
        verdict observed = this->current_verdict(*entry);
        observed.liveness = liveness::failed;
        this->table.apply(observed, this->now);
        this->recent_probes.drop(id);
        this->mark_changed(id);
        this->queue_verdict(observed);
        ++this->counts.declared_failed;
    }
}

/// Pings the suspects that this process accuses, so that they can refute the
/// suspicion before its deadline.
void group::impl::ping_suspects() {
    std::size_t pinged = 0;
    for (const auto& [id, item] : this->active_suspicions.all()) {
        const member_entry* entry = this->table.find(id);
        const bool is_accused_here =
            item.accusers.contains(this->table.self().id);
        if (!is_accused_here || entry == nullptr) {
            continue;
        }
        message body = this->make_message(message_kind::ping);
        body.sequence = this->next_sequence++;
        body.target = id;
        body.verdicts.push_back(this->current_verdict(*entry));
        this->send(entry->record.control, std::move(body));
        if (++pinged == max_suspect_pings_per_interval) {
            return;
        }
    }
}

/// Whether this process is cut off from most other members. A relay also counts
/// the members of the other data centres that answer its pings.
bool group::impl::is_isolated() const {
    const std::size_t probed = this->recent_probes.probed();
    const std::size_t answered = this->recent_probes.answered();
    if (!this->is_relay()) {
        return answered * 2 < probed;
    }
    return this->count_responsive_members() * 2 < this->table.live_count();
}

} // namespace guavastair::membership
