#include "search.hpp"

#include <guavastair/flow.hpp>
#include <guavastair/recent_map.hpp>

#include <absl/container/flat_hash_set.h>

#include <optional>

namespace guavastair::flow {

using cache::map_key;
using cache::pack;
using cache::recent_map;

/// A flow whose opening packet this agent has delivered to its TCP stack.
struct half_open_flow {
    /// Sequence number of the SYN-ACK. Empty until the TCP stack has sent it.
    std::optional<std::uint32_t> initial_sequence;
};

/// A flow whose owner has not been found.
struct unlocated_flow {
    /// Time of the first unsuccessful search.
    support::instant searched_since;
};

/// Value of an entry for a member that has left; the key holds its id.
struct departed_member {};

struct flow_table::impl {
    impl(const agent_identity& identity, const flow_table_settings& settings,
         support::instant now);

    bool has_departed(const placement::candidate& destination) const;
    frame_header without_departed_members(const frame_header& header) const;
    bool is_redirect_usable(const frame_header& header,
                            const placement::candidate& target,
                            const placement::service_table* own_view) const;
    agent_action on_foreign_packet(const frame_header& header) const;
    std::optional<agent_action>
    deliver_if_owned(map_key key, const packet& packet, support::instant now);
    agent_action on_opening(const frame_header& header, const packet& packet,
                            support::instant now, admission_policy& admission);
    admission_decision check_admission(support::instant now,
                                       admission_policy& admission);
    agent_action open_flow(map_key key, support::instant now);
    agent_action pass_on_opening(map_key key, frame_header next,
                                 support::instant now, decision_basis basis);
    agent_action search_for_owner(const frame_header& header,
                                  const packet& packet, support::instant now,
                                  const placement::service_table* own_view);
    bool extend_search(frame_header& header, const packet& packet,
                       const placement::service_table* own_view);
    agent_action on_owner_not_found(const packet& packet, support::instant now);

    agent_identity identity;
    flow_table_settings settings;
    /// Before this instant, opening packets are passed on if possible.
    support::instant opening_delay_end;
    bool is_draining = false;
    std::size_t extended_searches = 0;
    absl::flat_hash_set<map_key> established;
    recent_map<half_open_flow> half_open;
    recent_map<placement::candidate> redirects;
    recent_map<unlocated_flow> unlocated;
    /// By member id.
    recent_map<departed_member> departed;
    /// Time of the last tick, or of the last packet of a flow of this service
    /// that was not owned; used as the current time by on_member_left().
    support::instant latest_time;
};

flow_table::impl::impl(const agent_identity& identity,
                       const flow_table_settings& settings,
                       support::instant now)
    : identity(identity), settings(settings),
      opening_delay_end(now + settings.opening_delay),
      half_open(settings.max_half_open, settings.half_open_timeout),
      redirects(settings.max_redirects, settings.redirect_timeout),
      unlocated(settings.max_unlocated_flows, settings.reset_after * 2),
      departed(settings.max_departed_members, settings.departed_member_timeout),
      latest_time(now) {}

static agent_action deliver(decision_basis basis) {
    return {.kind = action_kind::deliver, .basis = basis};
}

static agent_action drop(decision_basis basis, drop_reason reason) {
    return {.kind = action_kind::drop, .basis = basis, .reason = reason};
}

static agent_action reset(decision_basis basis) {
    return {.kind = action_kind::reset, .basis = basis};
}

/// Passes the packet on to the current candidate of `header`.
static agent_action pass_on(decision_basis basis, const frame_header& header) {
    return {.kind = action_kind::pass_on,
            .basis = basis,
            .next = header.candidates[header.hop],
            .header = header};
}

bool flow_table::impl::has_departed(
    const placement::candidate& destination) const {
    return this->departed.find(destination.id.value) != nullptr;
}

/// `header` without those of its remaining candidates that have left the fleet.
frame_header
flow_table::impl::without_departed_members(const frame_header& header) const {
    frame_header result = header;
    if (this->departed.size() > 0) {
        remove_remaining_if(result,
                            [this](const placement::candidate& destination) {
                                return this->has_departed(destination);
                            });
    }
    return result;
}

/// Whether the packet may follow a redirect to `target`. The target must be
/// listed in the frame or in this agent's view, must not have left, and must
/// not have been visited by the packet.
bool flow_table::impl::is_redirect_usable(
    const frame_header& header, const placement::candidate& target,
    const placement::service_table* own_view) const {
    if (has_visited(header, target) || this->has_departed(target)) {
        return false;
    }
    return is_remaining(header, target) ||
           (own_view != nullptr && own_view->contains(target));
}

/// Decides about a packet for another service, which is never delivered. If the
/// frame is addressed to a former agent at this address, a remaining candidate
/// may own the flow.
agent_action
flow_table::impl::on_foreign_packet(const frame_header& header) const {
    const bool is_for_this_agent =
        header.candidates[header.hop].id == this->identity.id;
    frame_header next = this->without_departed_members(header);
    if (is_for_this_agent || !has_next(next)) {
        return drop(decision_basis::not_served, drop_reason::foreign_service);
    }
    remove_current(next);
    return pass_on(decision_basis::wrong_member, next);
}

/// The decision to deliver the packet if it belongs to a flow that this agent
/// owns. Also completes the handshake of a half-open flow.
std::optional<agent_action>
flow_table::impl::deliver_if_owned(map_key key, const packet& packet,
                                   support::instant now) {
    if (this->established.contains(key)) {
        return deliver(decision_basis::owned);
    }
    const half_open_flow* flow = this->half_open.find(key);
    if (flow == nullptr) {
        return std::nullopt;
    }
    if (packet.flags.is_initial_syn()) {
        this->half_open.touch(key, now);
        return deliver(decision_basis::owned);
    }
    // The caller may have acknowledged another agent's SYN-ACK. Then that
    // agent owns the flow, and the half-open entry here expires.
    const bool acks_local_syn_ack =
        packet.flags.ack() && flow->initial_sequence.has_value() &&
        packet.acknowledgement == *flow->initial_sequence + 1;
    if (!acks_local_syn_ack) {
        return std::nullopt;
    }
    if (packet.flags.rst()) {
        return deliver(decision_basis::owned);
    }
    this->half_open.erase(key);
    this->established.insert(key);
    this->unlocated.erase(key);
    this->redirects.erase(key);
    return deliver(decision_basis::completed);
}

admission_decision
flow_table::impl::check_admission(support::instant now,
                                  admission_policy& admission) {
    const std::size_t flows = this->established.size() + this->half_open.size();
    if (this->is_draining || flows >= this->settings.max_flows ||
        this->half_open.full()) {
        return admission_decision::refuse;
    }
    const admission_decision decision = admission.decide_admission(now);
    if (decision == admission_decision::accept &&
        now < this->opening_delay_end) {
        return admission_decision::prefer_other;
    }
    return decision;
}

agent_action flow_table::impl::open_flow(map_key key, support::instant now) {
    // An existing redirect is kept: this packet may be a duplicate of one that
    // opened the flow at the redirect's target.
    this->half_open.put(key, {}, now);
    return deliver(decision_basis::opened);
}

/// Passes an opening packet on to the current candidate of `next`, and records
/// the redirect for the packets that follow.
agent_action flow_table::impl::pass_on_opening(map_key key, frame_header next,
                                               support::instant now,
                                               decision_basis basis) {
    this->redirects.put(key, next.candidates[next.hop], now);
    return pass_on(basis, next);
}

/// Whether an opening packet may be passed on to the next candidate. Only the
/// first `limit` candidates may open a flow, because a search for its owner
/// starts at the front of the order.
static bool may_offer_to_next(const frame_header& header, std::size_t limit) {
    return has_next(header) && header.hop + std::size_t{1} < limit;
}

agent_action flow_table::impl::on_opening(const frame_header& header,
                                          const packet& packet,
                                          support::instant now,
                                          admission_policy& admission) {
    const map_key key = pack(packet.key.caller);
    frame_header next = header;
    // A duplicate of an opening packet follows the first one if possible.
    const placement::candidate* redirect = this->redirects.find(key);
    if (redirect != nullptr && is_remaining(next, *redirect)) {
        make_next(next, *redirect);
    }
    const bool is_for_this_agent =
        header.candidates[header.hop].id == this->identity.id;
    if ((this->is_draining || !is_for_this_agent) && has_next(next)) {
        remove_current(next);
        return this->pass_on_opening(key, next, now,
                                     is_for_this_agent
                                         ? decision_basis::refused
                                         : decision_basis::wrong_member);
    }
    const admission_decision decision = this->check_admission(now, admission);
    const bool must_accept =
        !may_offer_to_next(next, placement::opening_choices);
    if (decision == admission_decision::accept ||
        (decision == admission_decision::prefer_other && must_accept)) {
        return this->open_flow(key, now);
    }
    if (!may_offer_to_next(next, placement::opening_limit)) {
        return reset(decision_basis::refused);
    }
    advance(next);
    return this->pass_on_opening(key, next, now,
                                 decision == admission_decision::refuse
                                     ? decision_basis::refused
                                     : decision_basis::preferred_other);
}

bool flow_table::impl::extend_search(frame_header& header, const packet& packet,
                                     const placement::service_table* own_view) {
    if (header.extended || own_view == nullptr ||
        this->extended_searches >= this->settings.max_extended_searches) {
        return false;
    }
    ++this->extended_searches;
    return replace_candidates(header,
                              own_view->full_order(flow_hash(packet.key)));
}

agent_action
flow_table::impl::search_for_owner(const frame_header& header,
                                   const packet& packet, support::instant now,
                                   const placement::service_table* own_view) {
    const map_key key = pack(packet.key.caller);
    frame_header next = this->without_departed_members(header);
    const placement::candidate* redirect = this->redirects.find(key);
    if (redirect != nullptr &&
        this->is_redirect_usable(next, *redirect, own_view)) {
        make_next(next, *redirect);
        if (has_next(next)) {
            this->redirects.touch(key, now);
            advance(next);
            return pass_on(decision_basis::redirected, next);
        }
    }
    if (has_next(next)) {
        advance(next);
        return pass_on(decision_basis::not_owner, next);
    }
    if (this->extend_search(next, packet, own_view)) {
        return pass_on(decision_basis::not_owner, next);
    }
    return this->on_owner_not_found(packet, now);
}

agent_action flow_table::impl::on_owner_not_found(const packet& packet,
                                                  support::instant now) {
    const agent_action drop_for_now =
        drop(decision_basis::exhausted, drop_reason::owner_not_found);
    if (packet.flags.rst()) {
        return drop_for_now;
    }
    // Views of the fleet differ for some seconds after a change. When the
    // caller retransmits, another balancer or a newer view may list the owner.
    const map_key key = pack(packet.key.caller);
    const unlocated_flow* flow = this->unlocated.find(key);
    if (flow == nullptr) {
        this->unlocated.put(key, {now}, now);
        return drop_for_now;
    }
    if (now - flow->searched_since < this->settings.reset_after) {
        this->unlocated.touch(key, now);
        return drop_for_now;
    }
    this->unlocated.erase(key);
    return reset(decision_basis::exhausted);
}

flow_table::flow_table(const agent_identity& identity,
                       const flow_table_settings& settings,
                       support::instant now)
    : self(std::make_unique<impl>(identity, settings, now)) {}

flow_table::~flow_table() = default;

agent_action flow_table::on_packet(const frame_header& header,
                                   const packet& packet, support::instant now,
                                   admission_policy& admission,
                                   const placement::service_table* own_view) {
    if (packet.key.service != this->self->identity.service) {
        return this->self->on_foreign_packet(header);
    }
    const map_key key = pack(packet.key.caller);
    if (const auto action = this->self->deliver_if_owned(key, packet, now)) {
        return *action;
    }
    this->self->latest_time = now;
    if (packet.flags.is_initial_syn()) {
        return this->self->on_opening(
            this->self->without_departed_members(header), packet, now,
            admission);
    }
    return this->self->search_for_owner(header, packet, now, own_view);
}

void flow_table::on_syn_ack_sent(support::endpoint caller,
                                 std::uint32_t initial_sequence) {
    half_open_flow* flow = this->self->half_open.find(pack(caller));
    if (flow != nullptr) {
        flow->initial_sequence = initial_sequence;
    }
}

void flow_table::on_flow_closed(support::endpoint caller) {
    this->self->established.erase(pack(caller));
    this->self->half_open.erase(pack(caller));
}

void flow_table::on_member_left(support::member_id id) {
    this->self->departed.put(id.value, {}, this->self->latest_time);
    this->self->redirects.erase_if(
        [id](const placement::candidate& target) { return target.id == id; });
}

void flow_table::set_draining(bool is_draining) noexcept {
    this->self->is_draining = is_draining;
}

void flow_table::tick(support::instant now) {
    this->self->half_open.expire(now);
    this->self->redirects.expire(now);
    this->self->unlocated.expire(now);
    this->self->departed.expire(now);
    this->self->latest_time = now;
    this->self->extended_searches = 0;
}

bool flow_table::owns(support::endpoint caller) const {
    const map_key key = pack(caller);
    return this->self->established.contains(key) ||
           this->self->half_open.find(key) != nullptr;
}

flow_table_counts flow_table::counts() const {
    return {this->self->established.size(), this->self->half_open.size(),
            this->self->redirects.size(), this->self->unlocated.size()};
}

} // namespace guavastair::flow
