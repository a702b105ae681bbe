#include "agent.hpp"

#include <algorithm>
#include <array>

namespace guavastair::relay {

namespace {

/// Maximum time until a new store entry appears in a balancer's list.
constexpr support::duration listing_lag = support::seconds(2);

/// Maximum number of flows advertised to a new balancer. Covers the flows of a
/// busy server.
constexpr std::size_t max_advertised_flows = 1024;

} // namespace

void agent::on_message(support::endpoint from, const peer::message& body) {
    std::visit([&](const auto& each) { this->on_body(from, each); }, body);
}

void agent::on_body(support::endpoint from, const peer::ping& body) {
    const support::instant now = this->context.now();
    this->last_ping = now;
    const auto previous_contact = this->balancers.find(from);
    const bool is_new = previous_contact == this->balancers.end() ||
                        previous_contact->second.run != body.run;
    this->balancers[from] = {now, body.run};
    if (is_new) {
        logging::line line("balancer_found");
        line.add("balancer", from);
        this->context.log(logging::level::info, "balancer_found", line);
        this->advertise_flows(from);
    }
    this->view_sync.on_peer_view(from, body.view);
    this->ledger.set_fleet_size(body.agents);
    this->on_listing(body.listed);
    for (const support::endpoint other : body.balancers) {
        if (this->balancers.count(other) == 0) {
            // This balancer has not pinged, so it has not discovered this
            // agent yet.
            this->link.send(
                other,
                peer::pong{0, this->view_sync.summary(), this->report(), {}});
        }
    }
    peer::pong reply;
    reply.sequence = body.sequence;
    reply.view = this->view_sync.summary();
    reply.report = this->report();
    if (body.introduces) {
        std::vector<support::endpoint> others;
        for (const auto& [other, contact] : this->balancers) {
            if (other != from) {
                others.push_back(other);
            }
        }
        reply.balancers =
            peer::rotating_subset(others, this->introduction_count++);
    }
    this->link.send(from, reply);
}

void agent::on_listing(peer::listing listing) {
    const support::instant now = this->context.now();
    if (listing == peer::listing::present) {
        this->is_listed = true;
    }
    if (listing != peer::listing::absent || this->is_stopping ||
        now - this->published_at <= listing_lag) {
        return;
    }
    this->is_listed = false;
    this->published_at = now;
    this->registrar.on_missing();
    logging::line line("entry_missing");
    line.add("agent", this->context.settings.peers);
    this->context.log(logging::level::warn, "entry_missing", line);
}

void agent::on_body(support::endpoint from, const peer::pong& body) {
    this->view_sync.on_peer_view(from, body.view);
}

void agent::on_body(support::endpoint /*from*/,
                    const peer::flow_owned& /*body*/) {}

void agent::on_body(support::endpoint /*from*/,
                    const peer::held_flows& /*body*/) {}

/// Sends this agent's flows to a balancer that has just discovered it, so that
/// the balancer need not search for each of them.
void agent::advertise_flows(support::endpoint balancer) {
    if (!this->context.enabled.has(ablation::mechanism::flow_advertisements)) {
        return;
    }
    std::vector<peer::listed_flow> flows =
        this->flow_table.open_flows(this->context.now(), {});
    const auto& presumed_open_flows = this->ledger.presumed_open_flows();
    flows.insert(flows.end(), presumed_open_flows.begin(),
                 presumed_open_flows.end());
    flows.resize(std::min(flows.size(), max_advertised_flows));
    for (std::size_t i = 0; i < flows.size();
         i += peer::max_flows_per_message) {
        const std::size_t end =
            std::min(flows.size(), i + peer::max_flows_per_message);
        peer::held_flows body;
        body.agent = this->context.settings.peers;
        body.flows.assign(flows.begin() + static_cast<std::ptrdiff_t>(i),
                          flows.begin() + static_cast<std::ptrdiff_t>(end));
        this->link.send(balancer, body);
    }
}

void agent::on_body(support::endpoint /*from*/,
                    const peer::flow_absent& /*body*/) {}

peer::agent_report agent::report() {
    peer::agent_report result;
    result.agent = this->context.settings.peers;
    result.service = this->context.settings.service;
    result.data_centre = this->context.settings.data_centre;
    result.condition = this->monitor.condition();
    const ownership::gate_inputs inputs = this->gate_inputs();
    const ownership::gate_state gate = ownership::judge_opening(inputs);
    // A full server still counts as accepting openings. Its load changes faster
    // than reports are sent, so balancers compare the reported load instead.
    result.takes_openings = gate.answer != ownership::gate_answer::refuse ||
                            gate.reason == ownership::gate_reason::full;
    result.starting = ownership::is_starting(gate.reason);
    result.opening_budget = inputs.openings_left;
    result.load = inputs.load;
    result.run = this->run_id;
    result.restarting = this->is_restarting;
    return result;
}

/// Writes the fields of the report that do not change during a run into the
/// store. Removes the entry if the agent stops after its server has left.
void agent::publish() {
    if (this->monitor.has_left() && this->is_stopping) {
        this->registrar.set_wanted(std::nullopt);
        return;
    }
    peer::pong body;
    body.report.agent = this->context.settings.peers;
    body.report.service = this->context.settings.service;
    body.report.data_centre = this->context.settings.data_centre;
    body.report.run = this->run_id;
    std::array<std::byte, peer::max_message_size> buffer;
    const std::size_t size = peer::encode(body, buffer);
    std::string value(reinterpret_cast<const char*>(buffer.data()), size);
    if (value == this->published_value) {
        return;
    }
    this->published_value = value;
    this->published_at = this->context.now();
    this->registrar.set_wanted(std::move(value));
}

void agent::announce_to_seeds() {
    for (const support::endpoint seed : this->context.settings.seeds) {
        const support::endpoint to{seed.address,
                                   this->context.settings.peers.port};
        this->link.send(
            to, peer::pong{0, this->view_sync.summary(), this->report(), {}});
    }
}

} // namespace guavastair::relay
