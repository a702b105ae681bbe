#include "agent.hpp"

#include <algorithm>
#include <array>

namespace guavastair::relay {

namespace {

/// A new entry may take so long to reach a balancer's list.
constexpr support::duration listing_lag = support::seconds(2);

/// Most flows that a new balancer is told of: those of a busy server.
constexpr std::size_t max_told = 1024;

} // namespace

void agent::on_message(support::endpoint from, const peer::message& body) {
    std::visit([&](const auto& each) { this->on_body(from, each); }, body);
}

void agent::on_body(support::endpoint from, const peer::ping& body) {
    const support::instant now = this->shell.now();
    this->last_ping = now;
    const auto known = this->balancers.find(from);
    const bool is_new =
        known == this->balancers.end() || known->second.run != body.run;
    this->balancers[from] = {now, body.run};
    if (is_new) {
        logging::line line("balancer_found");
        line.add("balancer", from);
        this->shell.log(logging::level::info, "balancer_found", line);
        this->tell_flows(from);
    }
    this->view.on_peer_view(from, body.view);
    this->ledger.set_fleet_size(body.agents);
    this->note_listing(body.listed);
    for (const support::endpoint other : body.balancers) {
        if (this->balancers.count(other) == 0) {
            // It has not pinged: it does not know this agent.
            this->link.send(
                other, peer::pong{0, this->view.summary(), this->report(), {}});
        }
    }
    peer::pong answer;
    answer.sequence = body.sequence;
    answer.view = this->view.summary();
    answer.report = this->report();
    if (body.introduces) {
        std::vector<support::endpoint> others;
        for (const auto& [other, seen] : this->balancers) {
            if (other != from) {
                others.push_back(other);
            }
        }
        answer.balancers = peer::rotating_subset(others, this->introductions++);
    }
    this->link.send(from, answer);
}

void agent::note_listing(peer::listing listed) {
    const support::instant now = this->shell.now();
    if (listed == peer::listing::present) {
        this->is_listed = true;
    }
    if (listed != peer::listing::absent || this->stopping ||
        now - this->published_at <= listing_lag) {
        return;
    }
    this->is_listed = false;
    this->published_at = now;
    this->registrar.on_missing();
    logging::line line("entry_missing");
    line.add("agent", this->shell.settings.peers);
    this->shell.log(logging::level::warn, "entry_missing", line);
}

void agent::on_body(support::endpoint from, const peer::pong& body) {
    this->view.on_peer_view(from, body.view);
}

void agent::on_body(support::endpoint /*from*/,
                    const peer::flow_owned& /*body*/) {}

void agent::on_body(support::endpoint /*from*/,
                    const peer::held_flows& /*body*/) {}

/// Tells a balancer that does not know it yet where flows live, so that it need
/// not search for each of them.
void agent::tell_flows(support::endpoint balancer) {
    if (!this->shell.enabled.has(ablation::mechanism::flow_advertisements)) {
        return;
    }
    std::vector<peer::listed_flow> flows =
        this->owner.open_flows(this->shell.now(), {});
    const auto& presumed_open_flows = this->ledger.presumed_open_flows();
    flows.insert(flows.end(), presumed_open_flows.begin(),
                 presumed_open_flows.end());
    flows.resize(std::min(flows.size(), max_told));
    for (std::size_t i = 0; i < flows.size();
         i += peer::max_flows_per_message) {
        const std::size_t end =
            std::min(flows.size(), i + peer::max_flows_per_message);
        peer::held_flows body;
        body.agent = this->shell.settings.peers;
        body.flows.assign(flows.begin() + static_cast<std::ptrdiff_t>(i),
                          flows.begin() + static_cast<std::ptrdiff_t>(end));
        this->link.send(balancer, body);
    }
}

void agent::on_body(support::endpoint /*from*/,
                    const peer::flow_absent& /*body*/) {}

peer::agent_report agent::report() {
    peer::agent_report result;
    result.agent = this->shell.settings.peers;
    result.service = this->shell.settings.service;
    result.data_centre = this->shell.settings.data_centre;
    result.condition = this->monitor.condition();
    const ownership::gate_inputs inputs = this->gate_inputs();
    const ownership::gate_state state = ownership::judge_opening(inputs);
    // How full the server is changes sooner than reports come: balancers
    // weigh its load instead.
    result.takes_openings = state.answer != ownership::gate_answer::refuse ||
                            state.reason == ownership::gate_reason::full;
    result.starting = ownership::is_starting(state.reason);
    result.opening_budget = inputs.openings_left;
    result.load = inputs.load;
    result.run = this->run_id;
    result.restarting = this->restarting;
    return result;
}

/// Writes the lasting part of the report into the store.
void agent::publish() {
    if (this->monitor.has_left() && this->stopping) {
        this->registrar.set_wanted(std::nullopt);
        return;
    }
    peer::pong body;
    body.report.agent = this->shell.settings.peers;
    body.report.service = this->shell.settings.service;
    body.report.data_centre = this->shell.settings.data_centre;
    body.report.run = this->run_id;
    std::array<std::byte, peer::max_message_size> buffer;
    const std::size_t size = peer::encode(body, buffer);
    std::string value(reinterpret_cast<const char*>(buffer.data()), size);
    if (value == this->published) {
        return;
    }
    this->published = value;
    this->published_at = this->shell.now();
    this->registrar.set_wanted(std::move(value));
}

void agent::introduce() {
    for (const support::endpoint seed : this->shell.settings.seeds) {
        const support::endpoint to{seed.address,
                                   this->shell.settings.peers.port};
        this->link.send(
            to, peer::pong{0, this->view.summary(), this->report(), {}});
    }
}

} // namespace guavastair::relay
