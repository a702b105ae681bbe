#include "metrics_page.hpp"
#include "operator_documents.hpp"
#include "packet.hpp"
#include "process.hpp"
#include "server_report.hpp"
#include "store_drivers.hpp"
#include "view_keeper.hpp"

#include <guavastair/ownership.hpp>
#include <guavastair/relay.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace guavastair::relay {

namespace {

constexpr support::duration tick_interval = support::milliseconds(100);
constexpr support::duration probe_timeout = support::milliseconds(400);

/// Without a ping for so long an agent makes itself known to balancers.
constexpr support::duration lonely_after = support::milliseconds(700);

/// A balancer that has not pinged for so long is no longer listed to others.
constexpr support::duration balancer_lifetime = support::seconds(3);

/// A new entry may take so long to reach a balancer's list.
constexpr support::duration listing_lag = support::seconds(2);

/// A leaving server's last answers take so long at most.
constexpr support::duration leave_time = support::milliseconds(500);

/// An agent that was never listed, because the store refuses it, takes flows
/// after this: all balancers know it by their peers.
constexpr support::duration introduction_time = support::seconds(8);

/// For so long after its start an agent asks the store which flows its server
/// held, and how often.
constexpr support::duration recall_time = support::seconds(5);
constexpr support::duration recall_pause = support::milliseconds(200);

/// Flows that are younger are not remembered in the store.
constexpr support::duration least_remembered_age = support::milliseconds(1000);

/// Longest watch for the operators' changes: balancers watch more closely and
/// tell.
constexpr support::duration view_watch_time = support::seconds(8);

constexpr std::size_t packet_batch = 32;
constexpr int packet_kernel_buffer = 4 << 20;

ownership::owner_settings owner_settings(const platform::settings& settings) {
    ownership::owner_settings result;
    result.longest_flow = settings.longest_flow;
    result.idle_timeout = settings.longest_flow;
    return result;
}

ownership::monitor_settings
monitor_settings(const platform::settings& settings) {
    ownership::monitor_settings result;
    result.report_interval = settings.report_interval;
    return result;
}

registry::registrar_settings
registrar_settings(const platform::settings& settings) {
    registry::registrar_settings result;
    result.key = platform::agent_key(settings.peers);
    return result;
}

registry::registrar_settings
ledger_settings(const platform::settings& settings) {
    registry::registrar_settings result;
    result.key = platform::flows_key(settings.peers);
    return result;
}

/// One agent.
class agent {
public:
    explicit agent(platform::settings chosen)
        : shell(std::move(chosen)), link(shell),
          view(shell, view_watch_time, [this] { this->on_view_changed(); }),
          registrar(shell, registrar_settings(shell.settings)),
          monitor(monitor_settings(shell.settings), shell.now()),
          owner(owner_settings(shell.settings), shell.now()),
          ledger({}, shell.now()),
          ledger_writer(shell, ledger_settings(shell.settings)),
          ledger_reader(shell.loop, {.store = shell.settings.store},
                        shell.store_calls),
          answer_times(page.add_histogram(
              {"guavastair_answer_seconds",
               "Time from a request, or its flow's opening, to the first "
               "packet of the answer.",
               {}},
              {})),
          readiness(
              shell.loop,
              [this](const http::request& ask) { return this->answer(ask); }),
          control(
              shell.loop,
              [this](const http::request& ask) { return this->answer(ask); }),
          probe(shell.loop), run_id(shell.random()), started(shell.now()) {}

    absl::Status run();

private:
    absl::Status open();
    void receive_server_packets();
    void on_server_datagram(std::span<const std::byte> bytes);
    void deliver(std::span<const std::byte> bytes, const flow::packet& packet);
    void reset(const flow::flow_key& key, std::uint32_t sequence);
    void carry_out(const ownership::action& decided, const flow::packet& packet,
                   std::span<const std::byte> bytes);
    void log_action(const ownership::action& decided,
                    const flow::packet& packet,
                    const ownership::gate_state* gate);

    void on_message(support::endpoint from, const peer::message& body);
    void on_body(support::endpoint from, const peer::ping& body);
    void on_body(support::endpoint from, const peer::carry& body);
    void on_body(support::endpoint from, const peer::pong& body);
    void on_body(support::endpoint from, const peer::owned& body);
    void on_body(support::endpoint from, const peer::absent& body);

    void add_metrics();
    http::response answer(const http::request& ask);
    http::response on_call(const platform::status_call& call);
    http::response on_call(const platform::leave_call& call);
    http::response on_call(const platform::readiness_call& call);

    std::uint32_t cold_limit() const;
    /// Whether every balancer knows this agent, or has had time to: one that
    /// does not would take a flow opened here for lost.
    bool is_known() const;
    ownership::gate_state gate(support::endpoint service_address);
    ownership::gate_inputs gate_inputs();
    ownership::urgency urgency_of(const routing::route& wanted) const;
    peer::load_report load() const;
    peer::agent_report report();
    void publish();
    void note_listing(peer::listing listed);
    void tick();
    void start_probe();
    void on_probe(http::connect_probe::answer found);
    void drop_flows();
    void reset_flows(const std::vector<peer::listed_flow>& flows,
                     absl::string_view cause);
    void recall_flows();
    void remember_flows();
    void introduce();
    void on_view_changed();
    void note_condition(absl::string_view cause);
    void stop();
    void leave();

    process shell;
    peer_link link;
    view_keeper view;
    registrar_driver registrar;
    ownership::server_monitor monitor;
    ownership::owner_table owner;
    ownership::flow_ledger ledger;
    registrar_driver ledger_writer;
    platform::store_client ledger_reader;
    ownership::opening_budget budget;
    metrics::registry page;
    decision_counters decisions{page, "guavastair_flow_decisions_total",
                                "Decisions about packets of flows."};
    decision_counters gates{page, "guavastair_openings_total",
                            "Openings by what the gate said, and why."};
    metrics::histogram& answer_times;
    http::server readiness;
    http::server control;
    http::connect_probe probe;
    std::unique_ptr<net::udp_socket> outbound;
    std::uint64_t run_id;
    std::map<support::endpoint, support::instant> balancers;
    support::instant last_ping;
    support::instant started;
    peer::server_condition noted = peer::server_condition::unknown;
    bool was_withdrawn = false;
    /// Whether a balancer has seen this agent's entry in the store.
    bool is_listed = false;
    bool restarting = false;
    bool stopping = false;
    support::instant stopping_since;
    std::string published;
    support::instant published_at;
};

// ---------------------------------------------------------------- gates

std::uint32_t agent::cold_limit() const {
    const platform::settings& settings = this->shell.settings;
    const routing::service_terms* terms =
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
    inputs.is_known = this->is_known();
    inputs.has_route = true;
    inputs.leads_here = true;
    inputs.is_withdrawn = rules.is_withdrawn(this->shell.settings.data_centre);
    inputs.condition = this->monitor.condition();
    if (this->monitor.is_cold(now)) {
        inputs.openings_left = this->budget.left(now, this->cold_limit());
    }
    inputs.load = this->load();
    return inputs;
}

ownership::gate_state agent::gate(support::endpoint service_address) {
    const routing::routing_state& rules = this->view.rules();
    const routing::route* target = rules.find_route(service_address);
    ownership::gate_inputs inputs = this->gate_inputs();
    inputs.has_route = target != nullptr;
    inputs.leads_here =
        rules.leads_to(service_address, this->shell.settings.service);
    if (target != nullptr) {
        inputs.how_urgent = this->urgency_of(*target);
        inputs.request_timeout = target->timeout;
    }
    return ownership::judge_opening(inputs);
}

peer::load_report agent::load() const {
    peer::load_report result = this->owner.load();
    result.slots = this->monitor.slots();
    return result;
}

/// Requests that may not be repeated come first; of the others those whose
/// route no other route to this service outranks.
ownership::urgency agent::urgency_of(const routing::route& wanted) const {
    if (wanted.kind == routing::request_kind::non_idempotent) {
        return ownership::urgency::highest;
    }
    const routing::routing_state& rules = this->view.rules();
    for (const routing::route& each : rules.view().config.routes) {
        const bool outranks =
            each.priority < wanted.priority &&
            rules.leads_to(each.address, this->shell.settings.service);
        if (outranks) {
            return ownership::urgency::lower;
        }
    }
    return ownership::urgency::highest;
}

bool agent::is_known() const {
    return this->is_listed || this->registrar.is_settled() ||
           this->shell.now() - this->started > introduction_time;
}

// -------------------------------------------------------------- packets

void agent::reset(const flow::flow_key& key, std::uint32_t sequence) {
    const support::endpoint caller{key.caller.address,
                                   this->shell.settings.packets.port};
    this->outbound->queue_copy(caller, platform::make_reset(key, sequence));
}

void agent::deliver(std::span<const std::byte> bytes,
                    const flow::packet& packet) {
    if (packet.flags.syn() || packet.payload_size > 0) {
        this->monitor.on_delivered(this->shell.now());
    }
    this->outbound->queue_copy(this->shell.settings.server, bytes);
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
    const bool lost = decided.why == ownership::basis::lost_with_server;
    if (decided.tell_owned) {
        this->link.send(decided.balancer, peer::owned{packet.key, self});
    }
    switch (decided.kind) {
    case action_kind::deliver:
        this->deliver(bytes, packet);
        break;
    case action_kind::pass_on: {
        peer::carry body;
        body.kind = peer::carry_kind::open;
        body.balancer = decided.balancer;
        body.candidates = decided.candidates;
        body.packet = bytes;
        this->link.send(decided.next, body);
        break;
    }
    case action_kind::answer_absent: {
        peer::absent body;
        body.key = packet.key;
        body.agent = self;
        body.certain = decided.certain;
        if (decided.give_back) {
            body.packet = bytes;
        }
        this->link.send(decided.balancer, body);
        break;
    }
    case action_kind::reset:
        this->reset(packet.key, packet.acknowledgement);
        if (lost) {
            peer::absent body;
            body.key = packet.key;
            body.agent = self;
            body.lost = true;
            this->link.send(decided.balancer, body);
        }
        break;
    case action_kind::drop:
        break;
    }
}

void agent::on_body(support::endpoint from, const peer::carry& body) {
    const auto packet =
        platform::parse_packet(body.packet, platform::packet_writer::caller);
    if (!packet.has_value()) {
        return;
    }
    const support::instant now = this->shell.now();
    if (body.kind == peer::carry_kind::open) {
        const ownership::gate_state gate = this->gate(packet->head.key.service);
        const bool was_passed = from != body.balancer;
        const ownership::action decided =
            this->owner.on_opening(now, packet->head, gate, body.balancer,
                                   body.candidates, was_passed);
        if (decided.why == ownership::basis::opened) {
            this->budget.spend(now);
        }
        this->log_action(decided, packet->head, &gate);
        this->carry_out(decided, packet->head, body.packet);
        return;
    }
    const bool locating = body.kind == peer::carry_kind::locate;
    ownership::action decided =
        this->owner.on_packet(now, packet->head, body.balancer, locating);
    decided.balancer = body.balancer;
    this->log_action(decided, packet->head, nullptr);
    this->carry_out(decided, packet->head, body.packet);
}

void agent::receive_server_packets() {
    while (true) {
        const std::span<const net::datagram> batch = this->outbound->receive();
        if (batch.empty()) {
            return;
        }
        for (const net::datagram& each : batch) {
            this->on_server_datagram(each.payload);
        }
    }
}

void agent::on_server_datagram(std::span<const std::byte> bytes) {
    const auto packet =
        platform::parse_packet(bytes, platform::packet_writer::server);
    if (!packet.has_value()) {
        return;
    }
    const support::instant now = this->shell.now();
    this->monitor.on_server_packet(now);
    if (!packet->returned) {
        const auto waited = this->owner.on_server_packet(now, packet->head);
        if (waited.has_value()) {
            constexpr double ms_per_second = 1000.0;
            this->answer_times.record(static_cast<double>(waited->ms) /
                                      ms_per_second);
        }
        this->ledger.on_server_packet(packet->head.key);
        const support::endpoint caller{packet->head.key.caller.address,
                                       this->shell.settings.packets.port};
        this->outbound->queue(caller, {}, bytes);
        return;
    }
    std::array<std::byte, platform::max_packet_size> restored;
    std::copy(bytes.begin(), bytes.end(), restored.begin());
    const std::span<std::byte> whole = std::span(restored).first(bytes.size());
    platform::restore_packet(whole);
    const ownership::action decided =
        this->owner.on_returned(now, packet->head);
    this->reset_flows(this->ledger.on_returned(now, packet->head.key),
                      "returned_by_server");
    this->log_action(decided, packet->head, nullptr);
    this->carry_out(decided, packet->head, whole);
}

// ------------------------------------------------------------- messages

void agent::on_message(support::endpoint from, const peer::message& body) {
    std::visit([&](const auto& each) { this->on_body(from, each); }, body);
}

void agent::on_body(support::endpoint from, const peer::ping& body) {
    const support::instant now = this->shell.now();
    this->last_ping = now;
    const bool is_new = this->balancers.count(from) == 0;
    this->balancers[from] = now;
    if (is_new) {
        logging::line line("balancer_found");
        line.add("balancer", from);
        this->shell.log(logging::level::info, "balancer_found", line);
    }
    this->view.on_peer_view(from, body.view);
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
    for (const auto& [other, heard] : this->balancers) {
        if (other != from && answer.balancers.size() < peer::max_listed) {
            answer.balancers.push_back(other);
        }
    }
    this->link.send(from, answer);
}

void agent::note_listing(peer::listing listed) {
    const support::instant now = this->shell.now();
    if (listed == peer::listing::present) {
        this->is_listed = true;
    }
    if (listed != peer::listing::absent ||
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

void agent::on_body(support::endpoint /*from*/, const peer::owned& /*body*/) {}

void agent::on_body(support::endpoint /*from*/, const peer::absent& /*body*/) {}

peer::agent_report agent::report() {
    peer::agent_report result;
    result.agent = this->shell.settings.peers;
    result.service = this->shell.settings.service;
    result.data_centre = this->shell.settings.data_centre;
    result.condition = this->monitor.condition();
    const ownership::gate_inputs inputs = this->gate_inputs();
    const ownership::gate_state state = ownership::judge_opening(inputs);
    result.takes_openings = state.answer != ownership::gate_answer::refuse;
    result.starting = ownership::is_starting(state.reason);
    result.opening_budget = inputs.openings_left;
    result.load = inputs.load;
    result.run = this->run_id;
    result.restarting = this->restarting;
    return result;
}

/// Writes the lasting part of the report into the store.
void agent::publish() {
    if (this->monitor.condition() == peer::server_condition::gone &&
        this->monitor.last_report().has_value() && this->stopping) {
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

// --------------------------------------------------------------- server

void agent::note_condition(absl::string_view cause) {
    const peer::server_condition present = this->monitor.condition();
    if (present == this->noted) {
        return;
    }
    logging::line line("server_condition");
    line.add("before", peer::to_string(this->noted))
        .add("after", peer::to_string(present))
        .add("cause", cause);
    const auto& last = this->monitor.last_report();
    if (last.has_value()) {
        line.add("server", last->id)
            .add("born", last->born)
            .add("sequence", last->sequence)
            .add("warm_up_left_ms", last->warm_up_left.ms);
    }
    this->shell.log(logging::level::info, "server_condition", line);
    const bool lost = present == peer::server_condition::gone;
    this->noted = present;
    if (lost) {
        this->shell.loop.call_after(leave_time, [this] {
            if (this->monitor.condition() == peer::server_condition::gone) {
                this->drop_flows();
            }
        });
    }
}

void agent::reset_flows(const std::vector<peer::listed_flow>& flows,
                        absl::string_view cause) {
    if (flows.empty()) {
        return;
    }
    logging::line line("flows_lost");
    line.add("count", flows.size()).add("cause", cause);
    this->shell.log(logging::level::warn, "flows_lost", line);
    for (const peer::listed_flow& each : flows) {
        this->reset(each.key, each.acknowledged);
    }
}

void agent::drop_flows() {
    this->reset_flows(this->owner.on_server_lost(this->shell.now()),
                      "server_lost");
}

/// Reads which flows the server held before this process started.
void agent::recall_flows() {
    const std::string key = platform::flows_key(this->shell.settings.peers);
    this->ledger_reader.list(
        key, "", [this, key](const absl::StatusOr<registry::page>& got) {
            if (!got.ok()) {
                if (this->shell.now() - this->started < recall_time) {
                    this->shell.loop.call_after(
                        recall_pause, [this] { this->recall_flows(); });
                }
                return;
            }
            for (const registry::entry& each : got->entries) {
                auto list = peer::decode_flow_list(each.value);
                if (each.key != key || !list.ok()) {
                    continue;
                }
                logging::line line("flows_recalled");
                line.add("count", list->flows.size())
                    .add("server", list->server_id)
                    .add("born", list->server_born)
                    .add("revision", each.modified.value);
                this->shell.log(logging::level::info, "flows_recalled", line);
                this->ledger.on_recalled(this->shell.now(), *std::move(list));
            }
        });
}

void agent::remember_flows() {
    const support::instant now = this->shell.now();
    const auto list = this->ledger.next_write(
        now, this->owner.open_flows(now, least_remembered_age),
        this->monitor.last_report());
    if (list.has_value()) {
        this->ledger_writer.set_wanted(peer::encode_flow_list(*list));
    }
}

http::response agent::on_call(const platform::status_call& call) {
    if (call.service != this->shell.settings.service ||
        call.server != this->shell.settings.server) {
        logging::line line("report_refused");
        line.add("server", call.report.id)
            .add("of", call.service)
            .add("at", call.server)
            .add("why", "another server's");
        this->shell.log(logging::level::warn, "report_refused", line);
        return platform::refusal(
            support::make_error(support::error_kind::revision_conflict,
                                "the report is of another server"));
    }
    const support::instant now = this->shell.now();
    const ownership::report_effect effect =
        this->monitor.on_report(now, call.report);
    this->reset_flows(this->ledger.on_report(now, call.report),
                      "server_restarted");
    if (effect == ownership::report_effect::restarted) {
        this->drop_flows();
        this->owner.set_complete();
    }
    this->note_condition("report");
    this->publish();
    return platform::confirmation();
}

http::response agent::on_call(const platform::leave_call& call) {
    const auto& last = this->monitor.last_report();
    if (last.has_value() && last->id == call.id) {
        this->monitor.on_left(this->shell.now());
        this->note_condition("left");
    }
    return platform::confirmation();
}

http::response agent::on_call(const platform::readiness_call& /*call*/) {
    return platform::readiness(!this->stopping);
}

void agent::add_metrics() {
    add_common_metrics(this->page, this->shell, this->view);
    this->page.add_gauge(
        {"guavastair_requests_in_progress",
         "Requests of callers without an answer yet.",
         {}},
        [this] { return static_cast<double>(this->owner.load().in_progress); });
    this->page.add_gauge(
        {"guavastair_flows", "Flows of the server.", {}},
        [this] { return static_cast<double>(this->owner.load().flows); });
    this->page.add_gauge(
        {"guavastair_openings_left",
         "Openings that the server, while cold, bears in this second; -1 if "
         "there is no limit.",
         {}},
        [this] {
            const std::uint32_t left = this->gate_inputs().openings_left;
            return left == UINT32_MAX ? -1.0 : static_cast<double>(left);
        });
    this->page.add_gauge(
        {"guavastair_balancers_heard",
         "Balancers that have pinged lately.",
         {}},
        [this] { return static_cast<double>(this->balancers.size()); });
    this->page.add_counter({"guavastair_messages_malformed_total",
                            "Messages of peers that could not be read.",
                            {}},
                           [this] { return this->link.malformed(); });
}

http::response agent::answer(const http::request& ask) {
    if (ask.target == metrics_path) {
        return metrics_answer(this->page);
    }
    const auto call = platform::read_control_call(ask);
    if (!call.ok()) {
        logging::line line("call_refused");
        line.add("target", ask.target).add("why", call.status().message());
        this->shell.log(logging::level::warn, "call_refused", line);
        return platform::refusal(call.status());
    }
    return std::visit([this](const auto& each) { return this->on_call(each); },
                      *call);
}

void agent::start_probe() {
    if (this->probe.busy() || !this->monitor.start_probe(this->shell.now())) {
        return;
    }
    this->probe.start(
        this->shell.settings.server, probe_timeout,
        [this](http::connect_probe::answer found) { this->on_probe(found); });
}

void agent::on_probe(http::connect_probe::answer found) {
    const support::instant now = this->shell.now();
    const bool before_first = !this->monitor.last_report().has_value();
    switch (found) {
    case http::connect_probe::answer::accepted:
        this->monitor.on_probe_accepted(now);
        break;
    case http::connect_probe::answer::refused:
        this->monitor.on_probe_refused(now);
        if (before_first) {
            // The server is not up yet: nothing opened there before.
            this->owner.set_complete();
            this->reset_flows(this->ledger.on_server_absent(now),
                              "server_not_up");
        }
        break;
    case http::connect_probe::answer::silent:
        this->monitor.on_probe_silent(now);
        break;
    }
    this->note_condition("probe");
}

void agent::on_view_changed() {
    const bool withdrawn =
        this->view.rules().is_withdrawn(this->shell.settings.data_centre);
    if (this->was_withdrawn && !withdrawn) {
        this->monitor.expect_cold(this->shell.now());
    }
    this->was_withdrawn = withdrawn;
    logging::line line("cold_limit");
    line.add("of", this->shell.settings.service)
        .add("openings_per_second", this->cold_limit());
    this->shell.log(logging::level::info, "cold_limit", line);
}

void agent::tick() {
    const support::instant now = this->shell.now();
    this->owner.tick(now);
    this->start_probe();
    this->remember_flows();
    std::erase_if(this->balancers, [now](const auto& entry) {
        return now - entry.second > balancer_lifetime;
    });
    if (now - this->last_ping > lonely_after) {
        this->last_ping = now;
        this->introduce();
    }
}

/// Ends once the entry is gone from the store, or the time to stop is over.
void agent::leave() {
    const support::duration limit =
        this->shell.settings.stop_grace - leave_time * 2;
    const bool late = this->shell.now() - this->stopping_since > limit;
    if (this->registrar.is_settled() || late) {
        this->shell.loop.stop();
        return;
    }
    this->shell.loop.call_after(tick_interval, [this] { this->leave(); });
}

void agent::stop() {
    if (this->stopping) {
        this->shell.loop.stop();
        return;
    }
    this->stopping = true;
    this->stopping_since = this->shell.now();
    const bool server_left =
        this->monitor.condition() == peer::server_condition::gone;
    logging::line line("stopping");
    line.add("server_left", server_left);
    this->shell.log(logging::level::info, "stopping", line);
    if (server_left) {
        this->drop_flows();
        this->publish();
        this->ledger_writer.set_wanted(std::nullopt);
        this->shell.loop.call_after(leave_time, [this] { this->leave(); });
        return;
    }
    this->restarting = true;
    for (const auto& [balancer, heard] : this->balancers) {
        this->link.send(
            balancer, peer::pong{0, this->view.summary(), this->report(), {}});
    }
    this->shell.loop.call_after(support::milliseconds(1),
                                [this] { this->shell.loop.stop(); });
}

absl::Status agent::open() {
    absl::Status status = this->shell.handle_signals([this] { this->stop(); });
    if (status.ok()) {
        status = this->link.open(
            [this](support::endpoint from, const peer::message& body) {
                this->on_message(from, body);
            });
    }
    if (!status.ok()) {
        return status;
    }
    net::udp_options options;
    options.local = this->shell.settings.outbound;
    options.batch = packet_batch;
    options.kernel_buffer_size = packet_kernel_buffer;
    auto opened = net::udp_socket::open(options);
    if (!opened.ok()) {
        return opened.status();
    }
    this->outbound = std::make_unique<net::udp_socket>(*std::move(opened));
    this->shell.loop.call_each_round([this] { this->outbound->flush(); });
    status = this->shell.loop.watch(
        this->outbound->descriptor(), {.readable = true},
        [this](net::readiness) { this->receive_server_packets(); });
    if (status.ok()) {
        status = this->control.listen(this->shell.settings.control);
    }
    if (status.ok()) {
        status = this->readiness.listen(this->shell.settings.readiness);
    }
    if (status.ok()) {
        status = this->view.start();
    }
    return status;
}

absl::Status agent::run() {
    absl::Status opened = this->open();
    if (!opened.ok()) {
        return opened;
    }
    this->add_metrics();
    this->publish();
    this->recall_flows();
    this->start_probe();
    this->introduce();
    this->shell.watch_for_gaps([this](support::duration) {
        this->monitor.on_resumed(this->shell.now());
        this->view.on_resumed();
    });
    this->shell.loop.call_every(tick_interval, [this] { this->tick(); });
    logging::line line("started");
    line.add("role", "agent")
        .add("of", this->shell.settings.service)
        .add("data_centre", this->shell.settings.data_centre)
        .add("run", support::to_string(support::member_id{this->run_id}));
    this->shell.log(logging::level::info, "started", line);
    this->shell.loop.run();
    line = logging::line("stopped");
    this->shell.log(logging::level::info, "stopped", line);
    return absl::OkStatus();
}

} // namespace

absl::Status run_agent() {
    auto settings = platform::load_settings();
    if (!settings.ok()) {
        return settings.status();
    }
    agent instance(*std::move(settings));
    return instance.run();
}

} // namespace guavastair::relay
