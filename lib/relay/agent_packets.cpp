#include "agent.hpp"
#include "packet.hpp"

#include <algorithm>
#include <array>

namespace guavastair::relay {

using ablation::mechanism;

namespace {

/// Wait share, as a multiple of the time left, that sets no limit in practice.
constexpr double unbounded_wait_share = 1e9;

/// Time after which an agent accepts flows although the store holds no entry
/// for it, for example because the store rejects the entry. By then all
/// balancers have discovered the agent through their peers.
constexpr support::duration unlisted_start_delay = support::seconds(8);

} // namespace

std::uint32_t agent::cold_opening_limit() const {
    const platform::settings& settings = this->context.settings;
    const routing::service_limits* terms =
        this->view_sync.active_routing().find_service(settings.service);
    return ownership::opening_budget::limit(
        terms == nullptr ? 0.0 : terms->warm_up_rate, settings.cold_factor,
        settings.cold_slack);
}

/// Collects the inputs that are the same for every route to this service.
ownership::gate_inputs agent::gate_inputs() {
    const routing::routing_state& active_routing =
        this->view_sync.active_routing();
    const support::instant now = this->context.now();
    ownership::gate_inputs inputs;
    inputs.has_configuration = active_routing.has_configuration();
    inputs.is_view_confirmed = this->view_sync.is_confirmed();
    inputs.is_discoverable = this->is_known_to_balancers();
    inputs.has_route = true;
    inputs.route_matches_service = true;
    inputs.is_withdrawn =
        active_routing.is_withdrawn(this->context.settings.data_centre);
    inputs.condition = this->monitor.condition();
    if (this->monitor.is_cold(now)) {
        inputs.openings_left =
            this->budget.remaining(now, this->cold_opening_limit());
    }
    inputs.load = this->load();
    inputs.work = this->request_work.mean();
    if (!this->context.enabled.has(mechanism::predicted_wait)) {
        inputs.limits.wait_share = unbounded_wait_share;
        inputs.limits.wait_share_of_lower = unbounded_wait_share;
    }
    return inputs;
}

/// Decides whether the server may accept a caller's opening packet.
ownership::gate_state
agent::evaluate_opening(const flow::packet& opening,
                        support::revision balancer_config_revision) {
    const support::endpoint service_address = opening.key.service;
    const routing::routing_state& active_routing =
        this->view_sync.active_routing();
    const routing::route* target = active_routing.find_route(service_address);
    ownership::gate_inputs inputs = this->gate_inputs();
    inputs.has_route = target != nullptr;
    inputs.route_matches_service = active_routing.routes_to(
        service_address, this->context.settings.service);
    inputs.is_outdated =
        balancer_config_revision > active_routing.view().config_revision;
    if (target != nullptr) {
        inputs.terms = this->terms_of(*target, opening);
        inputs.request_timeout = target->timeout;
    }
    return ownership::judge_opening(inputs);
}

peer::load_report agent::load() const {
    peer::load_report result = this->flow_table.load();
    result.slots = this->monitor.slots();
    return result;
}

/// Returns the urgency of an opening on this route and the time left to answer
/// it. A retransmitted opening packet shows how long its caller has waited.
ownership::opening_terms agent::terms_of(const routing::route& target,
                                         const flow::packet& opening) const {
    ownership::opening_terms terms;
    terms.opening_urgency = this->urgency_of(target);
    if (target.latency_objective.ms > 0) {
        const support::duration age =
            this->context.enabled.has(mechanism::copy_age)
                ? platform::opening_age(opening)
                : support::duration{};
        terms.time_left = target.latency_objective - age;
    }
    return terms;
}

/// Requests that must not be repeated have the highest urgency. So do requests
/// on a route if no other route to this service has a higher priority.
ownership::urgency agent::urgency_of(const routing::route& target) const {
    if (target.kind == routing::request_kind::non_idempotent ||
        !this->context.enabled.has(mechanism::urgency)) {
        return ownership::urgency::highest;
    }
    const auto best = this->view_sync.active_routing().highest_priority(
        this->context.settings.service);
    return best.has_value() && *best < target.priority
               ? ownership::urgency::lower
               : ownership::urgency::highest;
}

bool agent::is_known_to_balancers() const {
    return this->is_listed || this->registrar.is_settled() ||
           this->context.now() - this->started_at > unlisted_start_delay;
}

void agent::send_reset(const flow::flow_key& key, std::uint32_t sequence) {
    this->outbound.socket().queue_copy(this->context.caller_address(key),
                                       platform::make_reset(key, sequence));
}

void agent::deliver(std::span<const std::byte> bytes,
                    const flow::packet& packet) {
    if (packet.flags.syn() || packet.payload_size > 0) {
        this->monitor.on_delivered(this->context.now());
    }
    this->outbound.socket().queue_copy(this->context.settings.server, bytes);
}

void agent::log_action(const ownership::action& decision,
                       const flow::packet& packet,
                       const ownership::gate_state* gate) {
    this->decisions.count(ownership::to_string(decision.kind),
                          ownership::to_string(decision.why));
    if (gate != nullptr) {
        this->opening_decisions.count(
            decision.why == ownership::basis::opened ? "taken" : "declined",
            ownership::to_string(gate->reason));
    }
    // Packets of known flows, search replies and queries to the server are only
    // counted. One packet can cause such a reply or query at many agents.
    const bool is_routine = decision.why == ownership::basis::owned ||
                            decision.why == ownership::basis::asked_server ||
                            decision.why == ownership::basis::not_here;
    if (is_routine) {
        return;
    }
    logging::line line("flow");
    line.add("caller", packet.key.caller)
        .add("service", packet.key.service)
        .add("outcome", ownership::to_string(decision.kind))
        .add("basis", ownership::to_string(decision.why))
        .add("balancer", decision.balancer)
        .add("condition", peer::to_string(this->monitor.condition()))
        .add("version", this->view_sync.active_routing().view().config.version);
    if (gate != nullptr) {
        line.add("gate", ownership::to_string(gate->reason))
            .add("in_progress", this->flow_table.load().in_progress);
    }
    if (decision.kind == ownership::action_kind::pass_on) {
        line.add("next", decision.next);
    }
    this->context.log(logging::level::info, "flow", line);
}

void agent::execute(const ownership::action& decision,
                    const flow::packet& packet,
                    std::span<const std::byte> bytes) {
    using ownership::action_kind;
    const support::endpoint self = this->context.settings.peers;
    peer::flow_absent absent;
    absent.key = packet.key;
    absent.agent = self;
    if (decision.notify_balancer) {
        this->link.send(decision.balancer, peer::flow_owned{packet.key, self});
    }
    switch (decision.kind) {
    case action_kind::deliver:
        this->deliver(bytes, packet);
        break;
    case action_kind::pass_on: {
        peer::carried_packet body;
        body.kind = peer::carry_kind::open;
        body.balancer = decision.balancer;
        body.candidates = decision.next_offer.candidates;
        body.willing = decision.next_offer.willing;
        body.is_last_offer = decision.next_offer.is_last;
        body.config_revision = decision.next_offer.config_revision;
        body.packet = bytes;
        this->link.send(decision.next, body);
        break;
    }
    case action_kind::answer_absent:
        absent.certain = decision.certain;
        if (decision.return_packet) {
            absent.packet = bytes;
        }
        this->link.send(decision.balancer, absent);
        break;
    case action_kind::reset:
        this->send_reset(packet.key, packet.acknowledgement);
        absent.lost = decision.why == ownership::basis::lost_with_server;
        if (absent.lost) {
            this->link.send(decision.balancer, absent);
        }
        break;
    case action_kind::drop:
        break;
    }
}

void agent::on_body(support::endpoint from, const peer::carried_packet& body) {
    const auto packet =
        platform::parse_packet(body.packet, platform::packet_origin::caller);
    if (!packet.has_value()) {
        return;
    }
    const support::instant now = this->context.now();
    if (body.kind == peer::carry_kind::open) {
        const ownership::gate_state gate =
            this->evaluate_opening(packet->header, body.config_revision);
        if (gate.reason == ownership::gate_reason::outdated) {
            this->view_sync.fetch_newer_configuration(body.balancer,
                                                      body.config_revision);
        }
        const ownership::action decision = this->flow_table.on_opening(
            now, packet->header, gate,
            {body.balancer, body.candidates, body.willing, body.is_last_offer,
             from != body.balancer, body.config_revision});
        if (decision.why == ownership::basis::opened) {
            this->budget.spend(now);
        }
        this->log_action(decision, packet->header, &gate);
        this->execute(decision, packet->header, body.packet);
        return;
    }
    const bool is_locate = body.kind == peer::carry_kind::locate;
    ownership::action decision = this->flow_table.on_packet(
        now, packet->header, body.balancer, is_locate);
    decision.balancer = body.balancer;
    this->log_action(decision, packet->header, nullptr);
    this->execute(decision, packet->header, body.packet);
}

void agent::on_server_datagram(std::span<const std::byte> bytes) {
    const auto packet =
        platform::parse_packet(bytes, platform::packet_origin::server);
    if (!packet.has_value()) {
        return;
    }
    const support::instant now = this->context.now();
    this->monitor.on_server_packet(now);
    if (!packet->returned) {
        const auto answered =
            this->flow_table.on_server_packet(now, packet->header);
        if (answered.has_value()) {
            this->answer_times.record(
                static_cast<double>(answered->response_time.ms) /
                ms_per_second);
            this->request_work.on_answer(answered->response_time,
                                         answered->in_progress,
                                         this->monitor.slots());
        }
        this->ledger.on_server_packet(packet->header.key);
        this->outbound.socket().queue(
            this->context.caller_address(packet->header.key), {}, bytes);
        return;
    }
    std::array<std::byte, platform::max_packet_size> restored;
    std::copy(bytes.begin(), bytes.end(), restored.begin());
    const std::span<std::byte> restored_bytes =
        std::span(restored).first(bytes.size());
    platform::restore_packet(restored_bytes);
    const ownership::action decision =
        this->flow_table.on_returned(now, packet->header);
    this->reset_flows(this->ledger.on_returned(now, packet->header.key),
                      "returned_by_server");
    this->log_action(decision, packet->header, nullptr);
    this->execute(decision, packet->header, restored_bytes);
}

} // namespace guavastair::relay
