#include "balancer.hpp"
#include "packet.hpp"

namespace guavastair::relay {

namespace {

constexpr support::duration search_tick = support::milliseconds(10);

} // namespace

absl::Status balancer::open_packets() {
    return this->packets.open(packet_options(this->shell.settings.packets),
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
    const steering::dispatch decided =
        this->dispatcher.on_packet(this->shell.now(), packet->header, bytes);
    this->carry_out(decided, packet->header.key, bytes);
}

/// Resets the flow of the caller's packet `bytes`.
void balancer::reset(std::span<const std::byte> bytes) {
    const auto packet =
        platform::parse_packet(bytes, platform::packet_origin::caller);
    if (!packet.has_value()) {
        return;
    }
    this->reset(packet->header.key, packet->header.acknowledgement);
}

void balancer::reset(const flow::flow_key& key, std::uint32_t sequence) {
    this->packets.socket().queue_copy(this->shell.caller_address(key),
                                      platform::make_reset(key, sequence));
}

void balancer::log_dispatch(const steering::dispatch& decided,
                            const flow::flow_key& key) {
    if (decided.basis == steering::dispatch_basis::located ||
        decided.basis == steering::dispatch_basis::held) {
        return;
    }
    logging::line line("dispatch");
    line.add("caller", key.caller)
        .add("service", key.service)
        .add("outcome", steering::to_string(decided.kind))
        .add("basis", steering::to_string(decided.basis))
        .add("version", this->view.rules().view().config.version)
        .add("view_age_ms",
             (this->shell.now() - this->view.rules().confirmed_at()).ms);
    for (const support::endpoint agent : decided.to) {
        line.add("to", agent);
    }
    this->shell.log(logging::level::info, "dispatch", line);
}

void balancer::carry_out(const steering::dispatch& decided,
                         const flow::flow_key& key,
                         std::span<const std::byte> bytes) {
    this->decisions.count(steering::to_string(decided.kind),
                          steering::to_string(decided.basis));
    this->log_dispatch(decided, key);
    if (decided.kind == steering::dispatch_kind::reset) {
        this->reset(bytes);
    }
    if (decided.kind == steering::dispatch_kind::send) {
        peer::carried_packet body;
        body.kind = decided.carry;
        body.balancer = this->shell.settings.peers;
        body.candidates = decided.candidates;
        body.packet = bytes;
        for (const support::endpoint agent : decided.to) {
            this->link.send(agent, body);
            // A search asks agents that have nothing to do with the flow.
            if (body.kind != peer::carry_kind::locate) {
                this->members.on_packet_sent(this->shell.now(), agent);
            }
        }
    }
    this->schedule_search_tick();
}

void balancer::carry_out_all(
    const std::vector<steering::released_packet>& released) {
    for (const steering::released_packet& each : released) {
        this->carry_out(each.step, each.key, each.packet);
    }
}

void balancer::schedule_search_tick() {
    if (this->search_tick_set || !this->dispatcher.has_pending_packets()) {
        return;
    }
    this->search_tick_set = true;
    this->shell.loop.call_after(search_tick, [this] {
        this->search_tick_set = false;
        this->tick_searches();
    });
}

void balancer::tick_searches() {
    this->dispatcher.set_members_complete(this->knows_all_agents());
    this->carry_out_all(this->dispatcher.tick(this->shell.now()));
    this->schedule_search_tick();
}

void balancer::on_message(support::endpoint from, const peer::message& body) {
    std::visit([&](const auto& each) { this->on_body(from, each); }, body);
}

void balancer::on_body(support::endpoint from, const peer::ping& body) {
    // Another balancer took this address for an agent's.
    this->view.on_peer_view(from, body.view);
}

void balancer::on_body(support::endpoint from,
                       const peer::carried_packet& /*body*/) {
    logging::line line("unexpected_carry");
    line.add("from", from);
    this->shell.log(logging::level::warn, "unexpected_carry", line);
}

void balancer::on_body(support::endpoint from, const peer::pong& body) {
    const support::instant now = this->shell.now();
    this->any_answer = true;
    this->members.on_report(now, body.report);
    this->view.on_peer_view(from, body.view);
    for (const support::endpoint other : body.balancers) {
        if (other != this->shell.settings.peers) {
            this->balancers[other] = now;
        }
    }
}

void balancer::on_body(support::endpoint /*from*/,
                       const peer::flow_owned& body) {
    this->carry_out_all(
        this->dispatcher.on_owned(this->shell.now(), body.key, body.agent));
}

void balancer::on_body(support::endpoint from, const peer::held_flows& body) {
    logging::line line("flows_told");
    line.add("agent", body.agent)
        .add("from", from)
        .add("count", body.flows.size());
    this->shell.log(logging::level::info, "flows_told", line);
    for (const peer::listed_flow& each : body.flows) {
        this->carry_out_all(this->dispatcher.on_flow_advertised(
            this->shell.now(), each, body.agent));
    }
}

void balancer::on_body(support::endpoint /*from*/,
                       const peer::flow_absent& body) {
    this->carry_out_all(this->dispatcher.on_absent(this->shell.now(), body));
}

} // namespace guavastair::relay
