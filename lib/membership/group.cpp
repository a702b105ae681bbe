#include "group_impl.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace guavastair::membership {

namespace {

constexpr support::duration join_interval = support::seconds(1);
constexpr support::duration seed_probe_interval = support::seconds(10);
constexpr support::duration failed_member_probe_interval = support::seconds(5);
constexpr support::duration tombstone_check_interval = support::seconds(60);
/// A gap between ticks longer than this means that the process was paused.
constexpr support::duration pause_limit = support::seconds(1);
/// Upper bound of seeds pinged by one attempt to join.
constexpr std::size_t max_seeds_at_once = 8;
/// After announcing its applied revision, a member waits for
/// announcement_spacing times the fleet size beyond max_immediate_announcers,
/// at least min_announcement_interval, before it announces the next one. A
/// large fleet thus makes about one announcement per announcement_spacing.
constexpr std::int64_t max_immediate_announcers = 20;
constexpr support::duration announcement_spacing = support::milliseconds(400);
constexpr support::duration min_announcement_interval = support::seconds(1);

} // namespace

group::impl::impl(options settings, node_record self, std::uint64_t seed,
                  support::instant now)
    : settings(std::move(settings)), table(std::move(self)),
      applied(this->table.self().applied), now(now), random(seed),
      last_tick(now), last_refill(now), next_probe(now), next_gossip(now),
      next_anti_entropy(now), next_join(now),
      next_seed_probe(now + seed_probe_interval), next_failed_member_probe(now),
      next_tombstone_check(now + tombstone_check_interval),
      next_applied_announcement(now), next_conflict_report(now),
      last_difference(now) {
    this->next_sequence = static_cast<std::uint32_t>(this->random());
    this->local_updates.add_record(this->table.self().id);
    this->relay_updates.add_record(this->table.self().id);
}

std::vector<action> group::impl::tick(support::instant at) {
    this->now = at;
    if (at - this->last_tick > pause_limit) {
        this->recover_from_pause();
    }
    this->last_tick = at;
    this->refill_budget();
    this->join();
    this->check_requested_probes();
    this->check_probes();
    this->check_suspicions();
    if (this->table.self().state != member_state::left) {
        this->probe_members();
        this->probe_data_centres();
        this->run_anti_entropy();
    }
    this->evaluate_data_centres();
    this->announce_applied_revision();
    this->gossip();
    this->probe_failed_member();
    this->probe_seed();
    this->remove_expired_tombstones();
    return this->collect_actions();
}

/// Discards the probes and extends the deadlines that ran during a pause of
/// this process: their expiry does not mean that other members failed.
void group::impl::recover_from_pause() {
    this->probes.own.clear();
    this->probes.requested.clear();
    this->recent_probes.clear();
    this->active_suspicions.postpone(this->now - this->last_tick);
    for (auto& [name, link] : this->remote_links) {
        link.last_received = this->now;
        link.unanswered_pings = 0;
    }
}

std::vector<action> group::impl::collect_actions() {
    this->update_reachability();
    for (const support::member_id id : this->changed_ids) {
        const member_entry* entry = this->table.find(id);
        if (entry != nullptr) {
            this->actions.emplace_back(member_changed{this->view_of(*entry)});
        }
    }
    this->changed_ids.clear();
    return std::exchange(this->actions, {});
}

message group::impl::make_message(message_kind kind) const {
    message body;
    body.kind = kind;
    body.sender = this->table.self().id;
    body.revision = this->complete_revision;
    return body;
}

void group::impl::send(support::endpoint to, message body) {
    this->actions.emplace_back(send_message{to, std::move(body)});
}

void group::impl::mark_changed(support::member_id id) {
    this->changed_ids.insert(id);
}

/// Raises the incarnation of this process's own record and sends it out.
void group::impl::announce() {
    node_record record = this->table.self();
    ++record.incarnation;
    record.applied = this->applied;
    this->table.set_self(std::move(record));
    this->local_updates.add_record(this->table.self().id);
    this->relay_updates.add_record(this->table.self().id);
    this->announce_to_relays();
}

/// Sends the own record directly to the local relays, so that the other data
/// centres need not wait until gossip reaches a relay.
void group::impl::announce_to_relays() {
    message body = this->make_message(message_kind::gossip);
    body.records.push_back(this->table.self());
    for (const support::member_id id :
         this->relays(this->table.self().data_centre)) {
        const member_entry* entry = this->table.find(id);
        if (entry != nullptr) {
            this->send(entry->record.control, body);
        }
    }
}

std::vector<action> group::impl::set_state(support::instant at,
                                           member_state state) {
    this->now = at;
    if (this->table.self().state == state) {
        return {};
    }
    node_record record = this->table.self();
    record.state = state;
    this->table.set_self(std::move(record));
    this->announce();
    this->next_gossip = at;
    this->gossip();
    return this->collect_actions();
}

std::vector<action> group::impl::set_weight(support::instant at,
                                            std::uint32_t weight) {
    this->now = at;
    if (this->table.self().weight == weight) {
        return {};
    }
    node_record record = this->table.self();
    record.weight = weight;
    this->table.set_self(std::move(record));
    this->announce();
    return this->collect_actions();
}

/// Announces the applied revision if it changed. Large fleets limit the rate,
/// since every member announces each change of configuration.
void group::impl::announce_applied_revision() {
    if (this->applied == this->table.self().applied ||
        this->now < this->next_applied_announcement) {
        return;
    }
    this->announce();
    const auto size = static_cast<std::int64_t>(this->table.live_count());
    const support::duration delay =
        announcement_spacing * (size - max_immediate_announcers);
    this->next_applied_announcement =
        this->now + std::max(min_announcement_interval, delay);
}

/// Pings some of the seeds while no other live member is known.
void group::impl::join() {
    if (this->table.live_count() > 1 || this->now < this->next_join ||
        this->table.self().state == member_state::left) {
        return;
    }
    this->next_join = this->now + join_interval;
    std::vector<support::endpoint> seeds = this->settings.seeds;
    std::shuffle(seeds.begin(), seeds.end(), this->random);
    seeds.resize(std::min(seeds.size(), max_seeds_at_once));
    for (const support::endpoint seed : seeds) {
        if (seed != this->table.self().control) {
            message body = this->make_message(message_kind::ping);
            body.sequence = this->next_sequence++;
            body.records.push_back(this->table.self());
            this->send(seed, std::move(body));
        }
    }
}

/// Periodically pings a random seed at which no live member is known. This
/// merges two fleets that lost contact with each other.
void group::impl::probe_seed() {
    if (this->now < this->next_seed_probe || this->settings.seeds.empty()) {
        return;
    }
    this->next_seed_probe = this->now + seed_probe_interval;
    const std::size_t index = this->random() % this->settings.seeds.size();
    const support::endpoint seed = this->settings.seeds[index];
    if (seed == this->table.self().control ||
        this->table.find_live(seed) != nullptr) {
        return;
    }
    message body = this->make_message(message_kind::ping);
    body.sequence = this->next_sequence++;
    body.records.push_back(this->table.self());
    this->send(seed, std::move(body));
}

/// Periodically pings a random failed member. This ends a partition in which
/// both sides declared each other failed.
void group::impl::probe_failed_member() {
    if (this->now < this->next_failed_member_probe) {
        return;
    }
    this->next_failed_member_probe = this->now + failed_member_probe_interval;
    std::vector<support::member_id> failed;
    for (const auto& [id, entry] : this->table.all()) {
        if (entry.liveness == liveness::failed &&
            entry.record.state != member_state::left &&
            this->table.find_live(entry.record.control) == nullptr) {
            failed.push_back(id);
        }
    }
    if (failed.empty()) {
        return;
    }
    // The table is unordered; sorting makes the selection depend on the random
    // seed alone.
    std::sort(failed.begin(), failed.end());
    const member_entry& selected =
        *this->table.find(failed[this->random() % failed.size()]);
    message body = this->make_message(message_kind::ping);
    body.sequence = this->next_sequence++;
    body.target = selected.record.id;
    body.verdicts.push_back(this->current_verdict(selected));
    this->send(selected.record.control, std::move(body));
}

void group::impl::remove_expired_tombstones() {
    if (this->now < this->next_tombstone_check) {
        return;
    }
    this->next_tombstone_check = this->now + tombstone_check_interval;
    std::vector<support::member_id> expired;
    for (const auto& [id, entry] : this->table.all()) {
        if (!entry.is_live() &&
            this->now - entry.changed_at > this->settings.tombstone_lifetime) {
            expired.push_back(id);
        }
    }
    std::sort(expired.begin(), expired.end());
    for (const support::member_id id : expired) {
        this->actions.emplace_back(
            member_changed{this->view_of(*this->table.find(id)), true});
        this->table.forget(id);
        this->active_suspicions.drop(id);
    }
}

std::size_t group::impl::max_sends() const {
    const auto members = static_cast<double>(this->table.live_count());
    const auto digits = std::ceil(std::log10(members + 1));
    return this->settings.retransmit_factor * static_cast<std::size_t>(digits);
}

/// Another live member of the local data centre. Each member is returned once
/// per round.
std::optional<support::member_id> group::impl::random_local_member() {
    const node_record& self = this->table.self();
    return this->gossip_rotation.next(this->table.live_in(self.data_centre),
                                      self.id, this->random);
}

std::optional<support::member_id>
group::impl::random_relay(const support::data_centre_name& data_centre) {
    const auto candidates = this->relays(data_centre);
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[this->random() % candidates.size()];
}

std::vector<support::member_id>
group::impl::relays(const support::data_centre_name& data_centre) const {
    const auto& live = this->table.live_in(data_centre);
    const std::size_t count = std::min(this->settings.relays, live.size());
    auto end = live.begin();
    std::advance(end, static_cast<std::ptrdiff_t>(count));
    return {live.begin(), end};
}

bool group::impl::is_relay() const {
    const auto own = this->relays(this->table.self().data_centre);
    return std::find(own.begin(), own.end(), this->table.self().id) !=
           own.end();
}

member_view group::impl::view_of(const member_entry& entry) const {
    const bool reachable =
        !this->unreachable_data_centres.contains(entry.record.data_centre);
    return {entry.record, entry.liveness, reachable};
}

// ------------------------------------------------------ public interface

group::group(options settings, node_record self, std::uint64_t seed,
             support::instant now)
    : pimpl(std::make_unique<impl>(std::move(settings), std::move(self), seed,
                                   now)) {}

group::~group() = default;
group::group(group&&) noexcept = default;
group& group::operator=(group&&) noexcept = default;

std::vector<action> group::tick(support::instant now) {
    return this->pimpl->tick(now);
}

std::vector<action> group::receive(support::instant now, support::endpoint from,
                                   const message& received) {
    return this->pimpl->receive(now, from, received);
}

std::vector<action> group::set_state(support::instant now, member_state state) {
    return this->pimpl->set_state(now, state);
}

std::vector<action> group::set_weight(support::instant now,
                                      std::uint32_t weight) {
    return this->pimpl->set_weight(now, weight);
}

void group::set_revision(support::revision complete_revision,
                         support::revision applied) {
    this->pimpl->complete_revision = complete_revision;
    this->pimpl->applied = applied;
}

void group::add_seeds(const std::vector<support::endpoint>& seeds) {
    std::vector<support::endpoint>& existing = this->pimpl->settings.seeds;
    for (const support::endpoint seed : seeds) {
        if (std::find(existing.begin(), existing.end(), seed) ==
            existing.end()) {
            existing.push_back(seed);
        }
    }
}

const node_record& group::self() const {
    return this->pimpl->table.self();
}

std::vector<member_view> group::members() const {
    std::vector<member_view> views;
    views.reserve(this->pimpl->table.all().size());
    for (const auto& [id, entry] : this->pimpl->table.all()) {
        views.push_back(this->pimpl->view_of(entry));
    }
    std::sort(views.begin(), views.end(),
              [](const member_view& left, const member_view& right) {
                  return left.record.id < right.record.id;
              });
    return views;
}

std::optional<member_view> group::find(support::member_id id) const {
    const member_entry* entry = this->pimpl->table.find(id);
    if (entry == nullptr) {
        return std::nullopt;
    }
    return this->pimpl->view_of(*entry);
}

bool group::is_isolated() const {
    return this->pimpl->is_isolated();
}

std::vector<support::member_id>
group::relays(const support::data_centre_name& data_centre) const {
    return this->pimpl->relays(data_centre);
}

bool group::is_reachable(const support::data_centre_name& data_centre) const {
    return !this->pimpl->unreachable_data_centres.contains(data_centre);
}

counters group::count() const {
    return this->pimpl->counts;
}

} // namespace guavastair::membership
