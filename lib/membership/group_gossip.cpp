#include "group_impl.hpp"

#include <algorithm>
#include <utility>

namespace guavastair::membership {

/// Number of rounds in which each relay sends an update about the local data
/// centre to a relay of each other one.
static constexpr std::size_t relay_max_sends = 2;

bool group::impl::is_local(const node_record& record) const {
    return record.data_centre == this->table.self().data_centre;
}

void group::impl::queue_record(support::member_id id) {
    this->local_updates.add_record(id);
    if (this->is_local(this->table.find(id)->record)) {
        this->relay_updates.add_record(id);
    }
}

void group::impl::queue_verdict(const verdict& observed) {
    this->local_updates.add_verdict(observed);
    const member_entry* entry = this->table.find(observed.member);
    const bool is_for_relays = observed.liveness == liveness::failed;
    if (is_for_relays && this->is_local(entry->record)) {
        this->relay_updates.add_verdict(observed);
    }
}

void group::impl::refill_budget() {
    const auto rate =
        static_cast<std::int64_t>(this->settings.gossip_bytes_per_second);
    constexpr std::int64_t ms_per_second = 1000;
    const support::duration passed = this->now - this->last_refill;
    this->last_refill = this->now;
    this->budget_bytes =
        std::min(this->budget_bytes + rate * passed.ms / ms_per_second, rate);
}

/// Deducts the size of `body` from the budget. False, without a deduction, if
/// the budget is used up.
bool group::impl::charge_budget(const message& body) {
    if (this->budget_bytes <= 0) {
        return false;
    }
    this->budget_bytes -= static_cast<std::int64_t>(size_bound(body));
    return true;
}

void group::impl::gossip() {
    if (this->now < this->next_gossip) {
        return;
    }
    this->next_gossip = this->now + this->settings.gossip_interval;
    this->ping_suspects();
    for (std::size_t i = 0; i < this->settings.gossip_fanout; ++i) {
        if (this->local_updates.empty() || this->budget_bytes <= 0) {
            break;
        }
        const auto id = this->random_local_member();
        if (!id.has_value()) {
            break;
        }
        message body = this->make_message(message_kind::gossip);
        this->local_updates.fill(body, this->table, max_body_size,
                                 this->max_sends());
        this->charge_budget(body);
        this->send(this->table.find(*id)->record.control, std::move(body));
    }
    this->gossip_to_relays();
}

void group::impl::gossip_to_relays() {
    if (this->relay_updates.empty() || !this->is_relay()) {
        return;
    }
    if (this->budget_bytes <= 0) {
        return;
    }
    message body = this->make_message(message_kind::gossip);
    this->relay_updates.fill(body, this->table, max_body_size, relay_max_sends);
    for (const support::data_centre_name& name : this->table.data_centres()) {
        const auto id = this->random_relay(name);
        if (name == this->table.self().data_centre || !id.has_value()) {
            continue;
        }
        this->charge_budget(body);
        this->send(this->table.find(*id)->record.control, body);
    }
}

} // namespace guavastair::membership
