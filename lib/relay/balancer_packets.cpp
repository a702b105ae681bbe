#include "balancer.hpp"
#include "packet.hpp"

namespace guavastair::relay {

namespace {

constexpr support::duration search_tick_interval = support::milliseconds(10);

} // namespace

absl::Status balancer::open_packets() {
    return this->packet_channel.open(
        packet_socket_options(this->context.settings.packets),
        [this](const net::datagram& received) {
            this->on_caller_packet(received.payload);
        });
}

void balancer::on_caller_packet(std::span<const std::byte> bytes) {
    const auto packet =
        platform::parse_packet(bytes, platform::packet_origin::caller);
    if (!packet.has_value()) {
        return;
    }
    const steering::dispatch decision =
        this->dispatcher.on_packet(this->context.now(), packet->header, bytes);
    this->execute(decision, packet->header.key, bytes);
}

/// Resets the flow that the caller's packet `bytes` belongs to.
void balancer::send_reset(std::span<const std::byte> bytes) {
    const auto packet =
        platform::parse_packet(bytes, platform::packet_origin::caller);
    if (!packet.has_value()) {
        return;
    }
    this->send_reset(packet->header.key, packet->header.acknowledgement);
}

void balancer::send_reset(const flow::flow_key& key, std::uint32_t sequence) {
    this->packet_channel.socket().queue_copy(
        this->context.caller_address(key), platform::make_reset(key, sequence));
}

void balancer::log_dispatch(const steering::dispatch& decision,
                            const flow::flow_key& key) {
    if (decision.basis == steering::dispatch_basis::located ||
        decision.basis == steering::dispatch_basis::held) {
        return;
    }
    logging::line line("dispatch");
    line.add("caller", key.caller)
        .add("service", key.service)
        .add("outcome", steering::to_string(decision.kind))
        .add("basis", steering::to_string(decision.basis))
        .add("version", this->view_sync.active_routing().view().config.version)
        .add("view_age_ms", (this->context.now() -
                             this->view_sync.active_routing().confirmed_at())
                                .ms);
    for (const support::endpoint agent : decision.to) {
        line.add("to", agent);
    }
    this->context.log(logging::level::info, "dispatch", line);
}

void balancer::execute(const steering::dispatch& decision,
                       const flow::flow_key& key,
                       std::span<const std::byte> bytes) {
    this->decisions.count(steering::to_string(decision.kind),
                          steering::to_string(decision.basis));
    this->log_dispatch(decision, key);
    if (decision.basis == steering::dispatch_basis::outdated) {
        this->view_sync.fetch_announced_configuration();
    }
    if (decision.kind == steering::dispatch_kind::reset) {
        this->send_reset(bytes);
    }
    if (decision.kind == steering::dispatch_kind::send) {
        peer::carried_packet body;
        body.kind = decision.carry;
        body.balancer = this->context.settings.peers;
        body.candidates = decision.candidates;
        body.config_revision = this->view_sync.summary().config_revision;
        body.packet = bytes;
        for (const support::endpoint agent : decision.to) {
            this->link.send(agent, body);
            // A search also reaches agents that do not own the flow. It does
            // not count as use of those agents.
            if (body.kind != peer::carry_kind::locate) {
                this->members.on_packet_sent(this->context.now(), agent);
            }
        }
    }
    this->schedule_search_tick();
}

void balancer::execute_all(
    const std::vector<steering::released_packet>& released) {
    for (const steering::released_packet& each : released) {
        this->execute(each.step, each.key, each.packet);
    }
}

void balancer::schedule_search_tick() {
    if (this->is_search_tick_scheduled ||
        !this->dispatcher.has_pending_packets()) {
        return;
    }
    this->is_search_tick_scheduled = true;
    this->context.loop.call_after(search_tick_interval, [this] {
        this->is_search_tick_scheduled = false;
        this->tick_searches();
    });
}

void balancer::tick_searches() {
    this->dispatcher.set_members_complete(this->is_agent_list_complete());
    this->execute_all(this->dispatcher.tick(this->context.now()));
    this->schedule_search_tick();
}

void balancer::on_message(support::endpoint from, const peer::message& body) {
    std::visit([&](const auto& each) { this->on_body(from, each); }, body);
}

void balancer::on_body(support::endpoint from, const peer::ping& body) {
    // Another balancer has mistaken this address for an agent's.
    this->view_sync.on_peer_view(from, body.view);
}

void balancer::on_body(support::endpoint from,
                       const peer::carried_packet& /*body*/) {
    logging::line line("unexpected_carry");
    line.add("from", from);
    this->context.log(logging::level::warn, "unexpected_carry", line);
}

void balancer::on_body(support::endpoint from, const peer::pong& body) {
    const support::instant now = this->context.now();
    this->has_agent_answered = true;
    this->members.on_report(now, body.report);
    this->view_sync.on_peer_view(from, body.view);
    for (const support::endpoint other : body.balancers) {
        if (other != this->context.settings.peers) {
            this->balancers[other] = now;
        }
    }
}

void balancer::on_body(support::endpoint /*from*/,
                       const peer::flow_owned& body) {
    this->execute_all(
        this->dispatcher.on_owned(this->context.now(), body.key, body.agent));
}

void balancer::on_body(support::endpoint from, const peer::held_flows& body) {
    logging::line line("flows_told");
    line.add("agent", body.agent)
        .add("from", from)
        .add("count", body.flows.size());
    this->context.log(logging::level::info, "flows_told", line);
    for (const peer::listed_flow& each : body.flows) {
        this->execute_all(this->dispatcher.on_flow_advertised(
            this->context.now(), each, body.agent));
    }
}

void balancer::on_body(support::endpoint /*from*/,
                       const peer::flow_absent& body) {
    this->execute_all(this->dispatcher.on_absent(this->context.now(), body));
}

} // namespace guavastair::relay
