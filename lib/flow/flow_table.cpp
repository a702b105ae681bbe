#include "search.hpp"

#include <guavastair/flow.hpp>
#include <guavastair/recent_map.hpp>

#include <absl/container/flat_hash_set.h>

#include <optional>

namespace guavastair::flow {

using cache::map_key;
using cache::pack;
using cache::recent_map;

/// A flow whose opening packet was delivered here.
struct half_open_flow {
    /// Of the SYN-ACK, once the TCP stack has sent it.
    std::optional<std::uint32_t> initial_sequence;
};

/// A flow whose owner was looked for in vain.
struct lost_flow {
    support::instant since;
};

/// A member that has left; there is nothing more to know.
struct left_member {};

struct flow_table::impl {
    impl(const agent_identity& identity, const flow_table_settings& settings,
         support::instant now);

    bool has_left(const placement::candidate& who) const;
    frame_header without_left(const frame_header& header) const;
    bool may_redirect(const frame_header& header,
                      const placement::candidate& target,
                      const placement::service_table* own_view) const;
    agent_action on_foreign(const frame_header& header) const;
    std::optional<agent_action> if_here(map_key key, const packet& packet,
                                        support::instant now);
    agent_action on_opening(const frame_header& header, const packet& packet,
                            support::instant now, admission_policy& admission);
    admission_decision ask(support::instant now, admission_policy& admission);
    agent_action open(map_key key, support::instant now);
    agent_action pass_opening(map_key key, frame_header next,
                              support::instant now, decision_basis basis);
    agent_action search(const frame_header& header, const packet& packet,
                        support::instant now,
                        const placement::service_table* own_view);
    bool search_own_view(frame_header& header, const packet& packet,
                         const placement::service_table* own_view);
    agent_action not_found(const packet& packet, support::instant now);

    agent_identity identity;
    flow_table_settings settings;
    /// Before this instant opening packets are passed on where possible.
    support::instant opens_from;
    bool draining = false;
    std::size_t extended_searches = 0;
    absl::flat_hash_set<map_key> established;
    recent_map<half_open_flow> half_open;
    recent_map<placement::candidate> redirects;
    recent_map<lost_flow> lost;
    /// By member id.
    recent_map<left_member> left;
    /// The last instant that this object was told.
    support::instant latest;
};

flow_table::impl::impl(const agent_identity& identity,
                       const flow_table_settings& settings,
                       support::instant now)
    : identity(identity), settings(settings),
      opens_from(now + settings.opening_delay),
      half_open(settings.max_half_open, settings.half_open_timeout),
      redirects(settings.max_redirects, settings.redirect_timeout),
      lost(settings.max_lost_flows, settings.reset_after * 2),
      left(settings.max_left_members, settings.left_member_timeout),
      latest(now) {}

static agent_action deliver(decision_basis basis) {
    return {.kind = action_kind::deliver, .basis = basis};
}

static agent_action drop(decision_basis basis, drop_reason reason) {
    return {.kind = action_kind::drop, .basis = basis, .reason = reason};
}

static agent_action reset(decision_basis basis) {
    return {.kind = action_kind::reset, .basis = basis};
}

/// Sends the packet to the candidate that `header` has come to.
static agent_action pass_on(decision_basis basis, const frame_header& header) {
    return {.kind = action_kind::pass_on,
            .basis = basis,
            .next = header.candidates[header.hop],
            .header = header};
}

bool flow_table::impl::has_left(const placement::candidate& who) const {
    return this->left.find(who.id.value) != nullptr;
}

/// `header` without the candidates to come that are known to have left.
frame_header flow_table::impl::without_left(const frame_header& header) const {
    frame_header result = header;
    if (this->left.size() > 0) {
        skip_if(result, [this](const placement::candidate& who) {
            return this->has_left(who);
        });
    }
    return result;
}

/// Whether a redirect still helps: its target is in a present view, the
/// balancer's or this agent's, and the packet has not been there.
bool flow_table::impl::may_redirect(
    const frame_header& header, const placement::candidate& target,
    const placement::service_table* own_view) const {
    if (has_visited(header, target) || this->has_left(target)) {
        return false;
    }
    return is_listed(header, target) ||
           (own_view != nullptr && own_view->contains(target));
}

/// A packet for another service: never delivered. If the frame was meant for a
/// former agent at this address, the flow's owner may be further on.
agent_action flow_table::impl::on_foreign(const frame_header& header) const {
    const bool is_meant_for_us =
        header.candidates[header.hop].id == this->identity.id;
    frame_header next = this->without_left(header);
    if (is_meant_for_us || !has_next(next)) {
        return drop(decision_basis::not_served, drop_reason::foreign_service);
    }
    step_aside(next);
    return pass_on(decision_basis::wrong_member, next);
}

/// The decision if the packet belongs to a flow that lives here.
std::optional<agent_action> flow_table::impl::if_here(map_key key,
                                                      const packet& packet,
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
    // The caller may have answered another agent's SYN-ACK. Then the flow
    // lives there, and this one expires.
    const bool answers_ours =
        packet.flags.ack() && flow->initial_sequence.has_value() &&
        packet.acknowledgement == *flow->initial_sequence + 1;
    if (!answers_ours) {
        return std::nullopt;
    }
    if (packet.flags.rst()) {
        return deliver(decision_basis::owned);
    }
    this->half_open.erase(key);
    this->established.insert(key);
    this->lost.erase(key);
    this->redirects.erase(key);
    return deliver(decision_basis::completed);
}

admission_decision flow_table::impl::ask(support::instant now,
                                         admission_policy& admission) {
    const std::size_t flows = this->established.size() + this->half_open.size();
    if (this->draining || flows >= this->settings.max_flows ||
        this->half_open.full()) {
        return admission_decision::refuse;
    }
    const admission_decision answer = admission.decide_admission(now);
    if (answer == admission_decision::take && now < this->opens_from) {
        return admission_decision::prefer_other;
    }
    return answer;
}

agent_action flow_table::impl::open(map_key key, support::instant now) {
    // A redirect stays: this may be a copy of a packet that opened the flow
    // at its target.
    this->half_open.put(key, {}, now);
    return deliver(decision_basis::opened);
}

/// Passes an opening packet on to the candidate after the present one, which
/// `next` has been made ready for.
agent_action flow_table::impl::pass_opening(map_key key, frame_header next,
                                            support::instant now,
                                            decision_basis basis) {
    this->redirects.put(key, next.candidates[next.hop], now);
    return pass_on(basis, next);
}

/// Whether another candidate may be asked after this one. Only so many are:
/// a flow has to open near the front of the order, where it is looked for.
static bool may_ask_next(const frame_header& header, std::size_t limit) {
    return has_next(header) && header.hop + std::size_t{1} < limit;
}

agent_action flow_table::impl::on_opening(const frame_header& header,
                                          const packet& packet,
                                          support::instant now,
                                          admission_policy& admission) {
    const map_key key = pack(packet.key.caller);
    frame_header next = header;
    // A copy of the packet follows the first where it can.
    const placement::candidate* redirect = this->redirects.find(key);
    if (redirect != nullptr && is_listed(next, *redirect)) {
        put_next(next, *redirect);
    }
    const bool is_meant_for_us =
        header.candidates[header.hop].id == this->identity.id;
    if ((this->draining || !is_meant_for_us) && has_next(next)) {
        step_aside(next);
        return this->pass_opening(key, next, now,
                                  is_meant_for_us
                                      ? decision_basis::refused
                                      : decision_basis::wrong_member);
    }
    const admission_decision answer = this->ask(now, admission);
    const bool must_take = !may_ask_next(next, placement::opening_choices);
    if (answer == admission_decision::take ||
        (answer == admission_decision::prefer_other && must_take)) {
        return this->open(key, now);
    }
    if (!may_ask_next(next, placement::opening_limit)) {
        return reset(decision_basis::refused);
    }
    advance(next);
    return this->pass_opening(key, next, now,
                              answer == admission_decision::refuse
                                  ? decision_basis::refused
                                  : decision_basis::preferred_other);
}

bool flow_table::impl::search_own_view(
    frame_header& header, const packet& packet,
    const placement::service_table* own_view) {
    if (header.extended || own_view == nullptr ||
        this->extended_searches >= this->settings.max_extended_searches) {
        return false;
    }
    ++this->extended_searches;
    return extend(header, own_view->full_order(flow_hash(packet.key)));
}

agent_action
flow_table::impl::search(const frame_header& header, const packet& packet,
                         support::instant now,
                         const placement::service_table* own_view) {
    const map_key key = pack(packet.key.caller);
    frame_header next = this->without_left(header);
    const placement::candidate* redirect = this->redirects.find(key);
    if (redirect != nullptr && this->may_redirect(next, *redirect, own_view)) {
        put_next(next, *redirect);
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
    if (this->search_own_view(next, packet, own_view)) {
        return pass_on(decision_basis::not_owner, next);
    }
    return this->not_found(packet, now);
}

agent_action flow_table::impl::not_found(const packet& packet,
                                         support::instant now) {
    const agent_action wait =
        drop(decision_basis::exhausted, drop_reason::owner_not_found);
    if (packet.flags.rst()) {
        return wait;
    }
    // Views differ for some seconds. The caller sends again, and another
    // balancer or a newer view may know the owner by then.
    const map_key key = pack(packet.key.caller);
    const lost_flow* flow = this->lost.find(key);
    if (flow == nullptr) {
        this->lost.put(key, {now}, now);
        return wait;
    }
    if (now - flow->since < this->settings.reset_after) {
        this->lost.touch(key, now);
        return wait;
    }
    this->lost.erase(key);
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
        return this->self->on_foreign(header);
    }
    const map_key key = pack(packet.key.caller);
    if (const auto action = this->self->if_here(key, packet, now)) {
        return *action;
    }
    this->self->latest = now;
    if (packet.flags.is_initial_syn()) {
        return this->self->on_opening(this->self->without_left(header), packet,
                                      now, admission);
    }
    return this->self->search(header, packet, now, own_view);
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
    this->self->left.put(id.value, {}, this->self->latest);
    this->self->redirects.erase_if(
        [id](const placement::candidate& target) { return target.id == id; });
}

void flow_table::set_draining(bool draining) noexcept {
    this->self->draining = draining;
}

void flow_table::tick(support::instant now) {
    this->self->half_open.expire(now);
    this->self->redirects.expire(now);
    this->self->lost.expire(now);
    this->self->left.expire(now);
    this->self->latest = now;
    this->self->extended_searches = 0;
}

bool flow_table::owns(support::endpoint caller) const {
    const map_key key = pack(caller);
    return this->self->established.contains(key) ||
           this->self->half_open.find(key) != nullptr;
}

flow_table_counts flow_table::counts() const {
    return {this->self->established.size(), this->self->half_open.size(),
            this->self->redirects.size(), this->self->lost.size()};
}

} // namespace guavastair::flow
