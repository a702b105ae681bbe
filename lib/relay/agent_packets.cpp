#include "agent.hpp"
#include "packet.hpp"

#include <algorithm>
#include <array>

namespace guavastair::relay {

using ablation::mechanism;

namespace {

/// Share of an objective that bounds nothing.
constexpr double unbounded_wait = 1e9;

/// An agent that was never listed, because the store refuses it, takes flows
/// after this: all balancers know it by their peers.
constexpr support::duration introduction_time = support::seconds(8);

} // namespace

std::uint32_t agent::cold_limit() const {
    const platform::settings& settings = this->shell.settings;
    const routing::service_limits* terms =
        this->view.rules().find_service(settings.service);
    return ownership::opening_budget::limit(
        terms == nullptr ? 0.0 : terms->warm_up_rate, settings.cold_factor,
        settings.cold_slack);
}

/// What decides about an opening on any route to this service.
ownership::gate_inputs agent::gate_inputs() {
    const routing::routing_state& rules = this->view.rules();
    const support::instant now = this->shell.now();
    ownership::gate_inputs inputs;
    inputs.has_configuration = rules.has_configuration();
    inputs.is_view_confirmed = this->view.is_confirmed();
    inputs.is_discoverable = this->is_discoverable();
    inputs.has_route = true;
    inputs.route_matches_service = true;
    inputs.is_withdrawn = rules.is_withdrawn(this->shell.settings.data_centre);
    inputs.condition = this->monitor.condition();
    if (this->monitor.is_cold(now)) {
        inputs.openings_left = this->budget.remaining(now, this->cold_limit());
    }
    inputs.load = this->load();
    inputs.work = this->work.mean();
    if (!this->shell.enabled.has(mechanism::predicted_wait)) {
        inputs.limits.wait_share = unbounded_wait;
        inputs.limits.wait_share_of_lower = unbounded_wait;
    }
    return inputs;
}

/// Decides about an opening packet of a caller.
ownership::gate_state agent::gate(const flow::packet& opening) {
    const support::endpoint service_address = opening.key.service;
    const routing::routing_state& rules = this->view.rules();
    const routing::route* target = rules.find_route(service_address);
    ownership::gate_inputs inputs = this->gate_inputs();
    inputs.has_route = target != nullptr;
    inputs.route_matches_service =
        rules.routes_to(service_address, this->shell.settings.service);
    if (target != nullptr) {
        inputs.terms = this->terms_of(*target, opening);
        inputs.request_timeout = target->timeout;
    }
    return ownership::judge_opening(inputs);
}

peer::load_report agent::load() const {
    peer::load_report result = this->owner.load();
    result.slots = this->monitor.slots();
    return result;
}

/// What an opening on this route asks of the server. A copy of an opening
/// packet tells how long its caller has been waiting.
ownership::opening_terms agent::terms_of(const routing::route& wanted,
                                         const flow::packet& opening) const {
    ownership::opening_terms terms;
    terms.opening_urgency = this->urgency_of(wanted);
    if (wanted.latency_objective.ms > 0) {
        const support::duration age =
            this->shell.enabled.has(mechanism::copy_age)
                ? platform::opening_age(opening)
                : support::duration{};
        terms.time_left = wanted.latency_objective - age;
    }
    return terms;
}

/// Requests that may not be repeated come first; of the others those whose
/// route no other route to this service outranks.
ownership::urgency agent::urgency_of(const routing::route& wanted) const {
    if (wanted.kind == routing::request_kind::non_idempotent ||
        !this->shell.enabled.has(mechanism::urgency)) {
        return ownership::urgency::highest;
    }
    const auto best =
        this->view.rules().highest_priority(this->shell.settings.service);
    return best.has_value() && *best < wanted.priority
               ? ownership::urgency::lower
               : ownership::urgency::highest;
}

bool agent::is_discoverable() const {
    return this->is_listed || this->registrar.is_settled() ||
           this->shell.now() - this->started > introduction_time;
}

void agent::reset(const flow::flow_key& key, std::uint32_t sequence) {
    this->outbound.socket().queue_copy(this->shell.caller_address(key),
                                       platform::make_reset(key, sequence));
}

void agent::deliver(std::span<const std::byte> bytes,
                    const flow::packet& packet) {
    if (packet.flags.syn() || packet.payload_size > 0) {
        this->monitor.on_delivered(this->shell.now());
    }
    this->outbound.socket().queue_copy(this->shell.settings.server, bytes);
}

void agent::log_action(const ownership::action& decided,
                       const flow::packet& packet,
                       const ownership::gate_state* gate) {
    this->decisions.count(ownership::to_string(decided.kind),
                          ownership::to_string(decided.why));
    if (gate != nullptr) {
        this->gates.count(decided.why == ownership::basis::opened ? "taken"
                                                                  : "declined",
                          ownership::to_string(gate->reason));
    }
    // Answers to searches and questions to the server are counted only: many
    // agents give them for one packet.
    const bool is_routine = decided.why == ownership::basis::owned ||
                            decided.why == ownership::basis::asked_server ||
                            decided.why == ownership::basis::not_here;
    if (is_routine) {
        return;
    }
    logging::line line("flow");
    line.add("caller", packet.key.caller)
        .add("service", packet.key.service)
        .add("outcome", ownership::to_string(decided.kind))
        .add("basis", ownership::to_string(decided.why))
        .add("balancer", decided.balancer)
        .add("condition", peer::to_string(this->monitor.condition()))
        .add("version", this->view.rules().view().config.version);
    if (gate != nullptr) {
        line.add("gate", ownership::to_string(gate->reason))
            .add("in_progress", this->owner.load().in_progress);
    }
    if (decided.kind == ownership::action_kind::pass_on) {
        line.add("next", decided.next);
    }
    this->shell.log(logging::level::info, "flow", line);
}

void agent::carry_out(const ownership::action& decided,
                      const flow::packet& packet,
                      std::span<const std::byte> bytes) {
    using ownership::action_kind;
    const support::endpoint self = this->shell.settings.peers;
    peer::flow_absent absent;
    absent.key = packet.key;
    absent.agent = self;
    if (decided.notify_balancer) {
        this->link.send(decided.balancer, peer::flow_owned{packet.key, self});
    }
    switch (decided.kind) {
    case action_kind::deliver:
        this->deliver(bytes, packet);
        break;
    case action_kind::pass_on: {
        peer::carried_packet body;
        body.kind = peer::carry_kind::open;
        body.balancer = decided.balancer;
        body.candidates = decided.next_offer.candidates;
        body.willing = decided.next_offer.willing;
        body.is_last_offer = decided.next_offer.is_last;
        body.packet = bytes;
        this->link.send(decided.next, body);
        break;
    }
    case action_kind::answer_absent:
        absent.certain = decided.certain;
        if (decided.return_packet) {
            absent.packet = bytes;
        }
        this->link.send(decided.balancer, absent);
        break;
    case action_kind::reset:
        this->reset(packet.key, packet.acknowledgement);
        absent.lost = decided.why == ownership::basis::lost_with_server;
        if (absent.lost) {
            this->link.send(decided.balancer, absent);
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
    const support::instant now = this->shell.now();
    if (body.kind == peer::carry_kind::open) {
        const ownership::gate_state gate = this->gate(packet->header);
        const ownership::action decided = this->owner.on_opening(
            now, packet->header, gate,
            {body.balancer, body.candidates, body.willing, body.is_last_offer,
             from != body.balancer});
        if (decided.why == ownership::basis::opened) {
            this->budget.spend(now);
        }
        this->log_action(decided, packet->header, &gate);
        this->carry_out(decided, packet->header, body.packet);
        return;
    }
    const bool locating = body.kind == peer::carry_kind::locate;
    ownership::action decided =
        this->owner.on_packet(now, packet->header, body.balancer, locating);
    decided.balancer = body.balancer;
    this->log_action(decided, packet->header, nullptr);
    this->carry_out(decided, packet->header, body.packet);
}

void agent::on_server_datagram(std::span<const std::byte> bytes) {
    const auto packet =
        platform::parse_packet(bytes, platform::packet_origin::server);
    if (!packet.has_value()) {
        return;
    }
    const support::instant now = this->shell.now();
    this->monitor.on_server_packet(now);
    if (!packet->returned) {
        const auto answered = this->owner.on_server_packet(now, packet->header);
        if (answered.has_value()) {
            this->answer_times.record(
                static_cast<double>(answered->response_time.ms) /
                ms_per_second);
            this->work.on_answer(answered->response_time, answered->in_progress,
                                 this->monitor.slots());
        }
        this->ledger.on_server_packet(packet->header.key);
        this->outbound.socket().queue(
            this->shell.caller_address(packet->header.key), {}, bytes);
        return;
    }
    std::array<std::byte, platform::max_packet_size> restored;
    std::copy(bytes.begin(), bytes.end(), restored.begin());
    const std::span<std::byte> whole = std::span(restored).first(bytes.size());
    platform::restore_packet(whole);
    const ownership::action decided =
        this->owner.on_returned(now, packet->header);
    this->reset_flows(this->ledger.on_returned(now, packet->header.key),
                      "returned_by_server");
    this->log_action(decided, packet->header, nullptr);
    this->carry_out(decided, packet->header, whole);
}

} // namespace guavastair::relay
