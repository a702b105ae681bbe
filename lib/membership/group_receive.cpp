#include "group_impl.hpp"

#include <utility>

namespace guavastair::membership {

/// Minimum interval between reactions to identity conflicts.
static constexpr support::duration conflict_interval = support::seconds(5);

std::vector<action> group::impl::receive(support::instant at,
                                         support::endpoint from,
                                         const message& received) {
    this->now = at;
    if (received.sender == this->table.self().id) {
        return {};
    }
    for (const node_record& record : received.records) {
        this->handle_record(record, received, from);
    }
    for (const verdict& observed : received.verdicts) {
        this->handle_verdict(observed, from);
    }
    this->update_remote_link(received);
    switch (received.kind) {
    case message_kind::ping:
        this->handle_ping(received, from);
        break;
    case message_kind::ack:
        this->handle_ack(received);
        break;
    case message_kind::ping_request:
        this->handle_ping_request(received, from);
        break;
    case message_kind::nack:
        this->handle_nack(received);
        break;
    case message_kind::digest:
        this->handle_digest(received, from);
        break;
    case message_kind::versions:
        this->handle_versions(received, from);
        break;
    case message_kind::pull:
        this->handle_pull(received, from);
        break;
    case message_kind::gossip:
    case message_kind::records:
        break;
    }
    if (received.kind != message_kind::ping) {
        this->notify_accused_sender(received, from);
    }
    return this->collect_actions();
}

verdict group::impl::current_verdict(const member_entry& entry) const {
    return {entry.record.id, entry.record.incarnation, entry.liveness,
            this->table.self().id};
}

void group::impl::handle_record(const node_record& record,
                                const message& received,
                                support::endpoint from) {
    if (record.id == this->table.self().id) {
        this->handle_own_record(record);
        return;
    }
    const node_record& self = this->table.self();
    const bool is_conflicting =
        record.name == self.name || record.control == self.control;
    if (is_conflicting && record.state != member_state::left &&
        record.incarnation >= self.incarnation) {
        this->handle_identity_conflict(record);
    }
    const merge_result merged = this->table.merge(record, this->now);
    for (const support::member_id id : merged.replaced) {
        this->active_suspicions.drop(id);
        this->mark_changed(id);
    }
    const auto send_held_record = [this, from](support::member_id id) {
        if (this->local_updates.contains(id)) {
            return;
        }
        this->send_records(from, {id});
    };
    switch (merged.outcome) {
    case merge_outcome::unchanged:
        return;
    case merge_outcome::stale:
        if (!this->table.find(record.id)->is_live()) {
            send_held_record(record.id);
        }
        return;
    case merge_outcome::superseded:
        send_held_record(merged.holder);
        return;
    case merge_outcome::added:
        if (this->is_local(record)) {
            this->probe_rotation.add(record.id, this->random);
            this->gossip_rotation.add(record.id, this->random);
        }
        break;
    case merge_outcome::updated:
        break;
    }
    this->active_suspicions.drop(record.id);
    this->mark_changed(record.id);
    // Records received through anti-entropy are usually known to the other
    // members already, so they are not gossiped. A relay that has caught up
    // gossips them, since they may be new to its data centre.
    const bool is_anti_entropy = received.kind == message_kind::records;
    if (is_anti_entropy) {
        ++this->counts.records_repaired;
    }
    if (!is_anti_entropy || (this->is_synchronised && this->is_relay())) {
        this->queue_record(record.id);
    }
}

/// Handles a record of this process received from another member. Announces a
/// higher incarnation if the received one is newer.
void group::impl::handle_own_record(const node_record& record) {
    if (record.incarnation > this->table.self().incarnation) {
        this->refute(record.incarnation);
    }
}

/// Handles another process that uses this process's name or control address and
/// has no lower incarnation. This process is alive, so it reclaims them with a
/// higher one.
void group::impl::handle_identity_conflict(const node_record& other) {
    if (this->now < this->next_conflict_report) {
        return;
    }
    this->next_conflict_report = this->now + conflict_interval;
    this->actions.emplace_back(name_conflict{other});
    this->refute(other.incarnation);
}

void group::impl::refute(std::uint32_t incarnation) {
    if (this->table.self().state == member_state::left) {
        return;
    }
    node_record record = this->table.self();
    record.incarnation = incarnation;
    this->table.set_self(std::move(record));
    this->announce();
    ++this->counts.refutations;
}

void group::impl::handle_verdict(const verdict& observed,
                                 support::endpoint from) {
    if (observed.liveness == liveness::alive) {
        return;
    }
    if (observed.member == this->table.self().id) {
        if (observed.incarnation >= this->table.self().incarnation) {
            this->adjust_health(1);
            this->refute(observed.incarnation);
        }
        return;
    }
    const member_entry* entry = this->table.find(observed.member);
    if (entry == nullptr || !entry->is_live()) {
        return;
    }
    if (observed.incarnation < entry->record.incarnation) {
        return;
    }
    if (observed.liveness == liveness::suspect) {
        if (observed.incarnation > entry->record.incarnation) {
            message body = this->make_message(message_kind::pull);
            body.wanted.push_back(observed.member);
            this->send(from, std::move(body));
            return;
        }
        this->record_suspicion(observed);
        return;
    }
    if (this->table.apply(observed, this->now)) {
        this->active_suspicions.drop(observed.member);
        this->recent_probes.drop(observed.member);
        this->mark_changed(observed.member);
        this->queue_verdict(observed);
    }
}

/// Records that the sender's data centre is reachable, as any message shows.
void group::impl::update_remote_link(const message& received) {
    const member_entry* sender = this->table.find(received.sender);
    if (sender == nullptr) {
        return;
    }
    const auto link = this->remote_links.find(sender->record.data_centre);
    if (link != this->remote_links.end()) {
        link->second.last_received = this->now;
        link->second.unanswered_pings = 0;
    }
}

void group::impl::handle_ping(const message& received, support::endpoint from) {
    message body = this->make_message(message_kind::ack);
    body.sequence = received.sequence;
    body.target = this->table.self().id;
    const member_entry* sender = this->table.find(received.sender);
    const bool is_known = sender != nullptr && sender->is_live();
    const bool is_misaddressed =
        received.target.value != 0 && received.target != this->table.self().id;
    if (!is_known || is_misaddressed || !received.verdicts.empty()) {
        body.records.push_back(this->table.self());
    }
    if (sender == nullptr) {
        body.wanted.push_back(received.sender);
    } else if (sender->liveness != liveness::alive) {
        body.verdicts.push_back(this->current_verdict(*sender));
    }
    if (is_known && this->is_local(sender->record)) {
        this->local_updates.fill(body, this->table, max_body_size,
                                 this->max_sends());
    }
    this->send(from, std::move(body));
}

void group::impl::handle_ack(const message& received) {
    if (!received.wanted.empty()) {
        const member_entry* sender = this->table.find(received.sender);
        if (sender != nullptr) {
            this->send_records(sender->record.control, received.wanted);
        }
    }
    const auto requested = this->probes.requested.find(received.sequence);
    if (requested != this->probes.requested.end() &&
        requested->second.target == received.sender) {
        message body = this->make_message(message_kind::ack);
        body.sequence = requested->second.sequence;
        body.target = requested->second.target;
        body.records = received.records;
        this->send(requested->second.requester, std::move(body));
        this->probes.requested.erase(requested);
        return;
    }
    const auto found = this->probes.own.find(received.sequence);
    if (found == this->probes.own.end() ||
        found->second.target != received.target) {
        return;
    }
    if (!found->second.is_remote) {
        this->recent_probes.add_result(received.target, true, this->now);
        this->adjust_health(-1);
    }
    this->probes.own.erase(found);
}

void group::impl::handle_nack(const message& received) {
    const auto found = this->probes.own.find(received.sequence);
    if (found != this->probes.own.end()) {
        ++found->second.nacks;
    }
}

void group::impl::handle_ping_request(const message& received,
                                      support::endpoint from) {
    const member_entry* target = this->table.find(received.target);
    if (target == nullptr) {
        return;
    }
    const std::uint32_t sequence = this->next_sequence++;
    this->probes.requested[sequence] = {from, received.sequence,
                                        received.target, this->now};
    message body = this->make_message(message_kind::ping);
    body.sequence = sequence;
    body.target = received.target;
    if (target->liveness != liveness::alive) {
        body.verdicts.push_back(this->current_verdict(*target));
    }
    this->send(target->record.control, std::move(body));
}

/// Notifies a sender that is held as suspect or failed, so that it can refute.
void group::impl::notify_accused_sender(const message& received,
                                        support::endpoint from) {
    const member_entry* sender = this->table.find(received.sender);
    if (sender == nullptr || sender->liveness == liveness::alive ||
        sender->record.state == member_state::left) {
        return;
    }
    message body = this->make_message(message_kind::gossip);
    body.verdicts.push_back(this->current_verdict(*sender));
    this->send(from, std::move(body));
}

} // namespace guavastair::membership
