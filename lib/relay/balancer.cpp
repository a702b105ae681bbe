#include "metrics_page.hpp"
#include "operator_documents.hpp"
#include "packet.hpp"
#include "process.hpp"
#include "server_report.hpp"
#include "store_drivers.hpp"
#include "view_keeper.hpp"

#include <guavastair/relay.hpp>
#include <guavastair/steering.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace guavastair::relay {

namespace {

constexpr support::duration ping_tick = support::milliseconds(50);
constexpr support::duration search_tick = support::milliseconds(10);
constexpr support::duration slow_tick = support::seconds(1);

/// How long a balancer serves on after it has said that it is not ready: the
/// routers ask twice a second and turn away after two misses.
constexpr support::duration turn_away_time = support::milliseconds(1800);

/// Without an answer from any agent a balancer calls itself ready after this.
constexpr support::duration longest_start = support::seconds(2);

/// How long after its start, or after it stood still, a balancer gives up no
/// agent.
constexpr support::duration settling_time = support::milliseconds(1500);

/// How long the store's list of agents counts as whole without its word: the
/// longest watch and the client's time for it.
constexpr support::duration list_lifetime = support::seconds(9);

/// A balancer that no agent has mentioned for so long is forgotten.
constexpr support::duration balancer_lifetime = support::seconds(5);

/// Longest watch for the operators' changes. A store that forgets its history
/// may keep one from a watch until that ends; the first process to learn of it
/// tells the others.
constexpr support::duration view_watch_time = support::seconds(3);

constexpr std::size_t packet_batch = 32;
constexpr int packet_kernel_buffer = 4 << 20;

registry::follower_settings follow_agents() {
    registry::follower_settings result;
    result.prefix = platform::agent_prefix();
    return result;
}

steering::dispatcher_settings
dispatcher_settings(const platform::settings& settings) {
    steering::dispatcher_settings result;
    result.opening.own_data_centre = settings.data_centre;
    result.location_lifetime = settings.longest_flow;
    return result;
}

/// One balancer.
class balancer {
public:
    explicit balancer(platform::settings chosen)
        : shell(std::move(chosen)), link(shell),
          view(shell, view_watch_time, [] {}),
          agents(shell, follow_agents(), [this] { this->on_agents_listed(); }),
          members({}), dispatcher(dispatcher_settings(shell.settings), members,
                                  view.rules()),
          control(shell.loop, [this](const http::request& ask) {
              return this->answer(ask);
          }) {}

    absl::Status run();

private:
    absl::Status open_packets();
    void receive_packets();
    void on_caller_packet(std::span<const std::byte> bytes);
    void carry_out(const steering::dispatch& decided, const flow::flow_key& key,
                   std::span<const std::byte> bytes);
    void reset(std::span<const std::byte> bytes);
    void carry_out_all(const std::vector<steering::released>& released);
    void log_dispatch(const steering::dispatch& decided,
                      const flow::flow_key& key);

    void on_message(support::endpoint from, const peer::message& body);
    void on_body(support::endpoint from, const peer::ping& body);
    void on_body(support::endpoint from, const peer::pong& body);
    void on_body(support::endpoint from, const peer::carry& body);
    void on_body(support::endpoint from, const peer::owned& body);
    void on_body(support::endpoint from, const peer::absent& body);

    void on_agents_listed();
    void ping_members();
    peer::listing listing_of(support::endpoint agent) const;
    void tick_searches();
    void schedule_search_tick();
    void note_presence();
    void give_up_lost();
    void add_metrics();
    http::response answer(const http::request& ask);
    bool is_ready() const;
    bool knows_all_agents() const;
    void stop();

    process shell;
    peer_link link;
    view_keeper view;
    follower_driver agents;
    steering::member_table members;
    steering::dispatcher dispatcher;
    http::server control;
    metrics::registry page;
    decision_counters decisions{page, "guavastair_dispatches_total",
                                "Decisions about callers' packets."};
    std::unique_ptr<net::udp_socket> packets;
    std::map<support::endpoint, support::instant> balancers;
    std::map<support::endpoint, bool> presence;
    std::set<support::endpoint> given_up;
    std::uint32_t ping_sequence = 0;
    bool search_tick_set = false;
    bool any_answer = false;
    bool stopping = false;
    support::instant started;
    /// When the process last began or went on after standing still.
    support::instant awake_since;
};

absl::Status balancer::open_packets() {
    net::udp_options options;
    options.local = this->shell.settings.packets;
    options.batch = packet_batch;
    options.kernel_buffer_size = packet_kernel_buffer;
    auto opened = net::udp_socket::open(options);
    if (!opened.ok()) {
        return opened.status();
    }
    this->packets = std::make_unique<net::udp_socket>(*std::move(opened));
    this->shell.loop.call_each_round([this] { this->packets->flush(); });
    return this->shell.loop.watch(
        this->packets->descriptor(), {.readable = true},
        [this](net::readiness) { this->receive_packets(); });
}

void balancer::receive_packets() {
    while (true) {
        const std::span<const net::datagram> batch = this->packets->receive();
        if (batch.empty()) {
            return;
        }
        for (const net::datagram& each : batch) {
            this->on_caller_packet(each.payload);
        }
    }
}

void balancer::on_caller_packet(std::span<const std::byte> bytes) {
    const auto packet =
        platform::parse_packet(bytes, platform::packet_writer::caller);
    if (!packet.has_value()) {
        return;
    }
    const steering::dispatch decided =
        this->dispatcher.on_packet(this->shell.now(), packet->head, bytes);
    this->carry_out(decided, packet->head.key, bytes);
}

/// Resets the flow of the caller's packet `bytes`.
void balancer::reset(std::span<const std::byte> bytes) {
    const auto packet =
        platform::parse_packet(bytes, platform::packet_writer::caller);
    if (!packet.has_value()) {
        return;
    }
    const flow::packet& head = packet->head;
    const support::endpoint caller{head.key.caller.address,
                                   this->shell.settings.packets.port};
    this->packets->queue_copy(
        caller, platform::make_reset(head.key, head.acknowledgement));
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
        peer::carry body;
        body.kind = decided.carry;
        body.balancer = this->shell.settings.peers;
        body.candidates = decided.candidates;
        body.packet = bytes;
        for (const support::endpoint agent : decided.to) {
            this->link.send(agent, body);
        }
    }
    this->schedule_search_tick();
}

void balancer::carry_out_all(const std::vector<steering::released>& released) {
    for (const steering::released& each : released) {
        this->carry_out(each.step, each.key, each.packet);
    }
}

void balancer::schedule_search_tick() {
    if (this->search_tick_set || !this->dispatcher.searching()) {
        return;
    }
    this->search_tick_set = true;
    this->shell.loop.call_after(search_tick, [this] {
        this->search_tick_set = false;
        this->tick_searches();
    });
}

/// Whether the store's list of agents is known to be whole. An agent takes no
/// flow before it is in that list.
bool balancer::knows_all_agents() const {
    const support::instant listed = this->agents.last_success();
    return listed >= this->awake_since &&
           this->shell.now() - listed <= list_lifetime;
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

void balancer::on_body(support::endpoint from, const peer::carry& /*body*/) {
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

void balancer::on_body(support::endpoint /*from*/, const peer::owned& body) {
    this->carry_out_all(
        this->dispatcher.on_owned(this->shell.now(), body.key, body.agent));
}

void balancer::on_body(support::endpoint /*from*/, const peer::absent& body) {
    this->carry_out_all(this->dispatcher.on_absent(this->shell.now(), body));
}

void balancer::on_agents_listed() {
    std::vector<peer::agent_report> listed;
    for (const auto& [key, each] : this->agents.state().entries()) {
        alignas(8) std::array<std::byte, peer::max_message_size> aligned;
        if (each.value.size() > aligned.size()) {
            continue;
        }
        std::memcpy(aligned.data(), each.value.data(), each.value.size());
        const auto body =
            peer::decode(std::span(aligned).first(each.value.size()));
        const auto* pong =
            body.ok() ? std::get_if<peer::pong>(&*body) : nullptr;
        if (pong == nullptr || platform::agent_key(pong->report.agent) != key) {
            logging::line line("entry_refused");
            line.add("key", key).add("revision", each.modified.value);
            this->shell.log(logging::level::warn, "entry_refused", line);
            continue;
        }
        listed.push_back(pong->report);
    }
    this->members.set_listed(this->shell.now(), listed);
    this->ping_members();
}

peer::listing balancer::listing_of(support::endpoint agent) const {
    const steering::member* each = this->members.find(agent);
    if (each == nullptr || !this->knows_all_agents()) {
        return peer::listing::unknown;
    }
    return each->listed ? peer::listing::present : peer::listing::absent;
}

void balancer::ping_members() {
    const support::instant now = this->shell.now();
    const auto due = this->members.due_for_ping(now);
    if (due.empty()) {
        return;
    }
    peer::ping body;
    body.sequence = ++this->ping_sequence;
    body.view = this->view.summary();
    for (const auto& [other, heard] : this->balancers) {
        if (body.balancers.size() < peer::max_listed) {
            body.balancers.push_back(other);
        }
    }
    for (const support::endpoint agent : due) {
        body.listed = this->listing_of(agent);
        this->link.send(agent, body);
    }
    this->note_presence();
    this->give_up_lost();
}

/// Resets the flows of agents that are lost: their callers would wait in vain.
void balancer::give_up_lost() {
    const support::instant now = this->shell.now();
    if (now - this->awake_since < settling_time) {
        return;
    }
    for (const steering::member* each : this->members.all()) {
        const support::endpoint agent = each->report.agent;
        if (!this->members.is_lost(now, *each)) {
            this->given_up.erase(agent);
            continue;
        }
        if (!this->given_up.insert(agent).second) {
            continue;
        }
        const auto lost = this->dispatcher.take_lost(agent);
        logging::line line("agent_given_up");
        line.add("agent", agent)
            .add("silent_ms", (now - each->last_answer).ms)
            .add("flows", lost.size());
        this->shell.log(logging::level::warn, "agent_given_up", line);
        for (const steering::lost_flow& flow : lost) {
            const support::endpoint caller{flow.key.caller.address,
                                           this->shell.settings.packets.port};
            this->packets->queue_copy(
                caller, platform::make_reset(flow.key, flow.acknowledgement));
        }
    }
}

void balancer::note_presence() {
    const support::instant now = this->shell.now();
    for (const steering::member* each : this->members.all()) {
        const bool present = this->members.is_present(now, *each);
        bool& before = this->presence[each->report.agent];
        if (before == present) {
            continue;
        }
        before = present;
        const absl::string_view event = present ? "agent_found" : "agent_lost";
        logging::line line(event);
        line.add("agent", each->report.agent)
            .add("of", each->report.service)
            .add("data_centre", each->report.data_centre)
            .add("condition", peer::to_string(each->report.condition))
            .add("silent_ms", (now - each->last_answer).ms)
            .add("listed", each->listed);
        this->shell.log(logging::level::info, event, line);
    }
}

bool balancer::is_ready() const {
    const bool knows_agents =
        this->any_answer || this->shell.now() - this->started > longest_start;
    return !this->stopping && this->view.rules().has_configuration() &&
           knows_agents &&
           steering::reaches_every_service(this->shell.now(), this->members,
                                           this->view.rules());
}

void balancer::add_metrics() {
    add_common_metrics(this->page, this->shell, this->view);
    this->page.add_gauge(
        {"guavastair_agents_known", "Agents known.", {}},
        [this] { return static_cast<double>(this->members.size()); });
    this->page.add_gauge(
        {"guavastair_agents_present", "Agents that answer.", {}}, [this] {
            const support::instant now = this->shell.now();
            const auto all = this->members.all();
            return static_cast<double>(
                std::count_if(all.begin(), all.end(), [&](const auto* each) {
                    return this->members.is_present(now, *each);
                }));
        });
    this->page.add_gauge({"guavastair_flow_locations",
                          "Flows whose agent this balancer remembers.",
                          {}},
                         [this] {
                             return static_cast<double>(
                                 this->dispatcher.location_count());
                         });
    this->page.add_counter({"guavastair_messages_malformed_total",
                            "Messages of peers that could not be read.",
                            {}},
                           [this] { return this->link.malformed(); });
}

http::response balancer::answer(const http::request& ask) {
    if (ask.target == metrics_path) {
        return metrics_answer(this->page);
    }
    const auto call = platform::read_control_call(ask);
    if (!call.ok()) {
        return platform::refusal(call.status());
    }
    if (std::holds_alternative<platform::readiness_call>(*call)) {
        return platform::readiness(this->is_ready());
    }
    return platform::refusal(support::make_error(
        support::error_kind::refused_no_server, "no server runs here"));
}

void balancer::stop() {
    if (this->stopping) {
        this->shell.loop.stop();
        return;
    }
    this->stopping = true;
    logging::line line("stopping");
    line.add("within_ms", turn_away_time.ms);
    this->shell.log(logging::level::info, "stopping", line);
    this->shell.loop.call_after(turn_away_time,
                                [this] { this->shell.loop.stop(); });
}

absl::Status balancer::run() {
    this->add_metrics();
    this->started = this->shell.now();
    this->awake_since = this->started;
    absl::Status opened = [this]() -> absl::Status {
        absl::Status status =
            this->shell.handle_signals([this] { this->stop(); });
        if (status.ok()) {
            status = this->link.open(
                [this](support::endpoint from, const peer::message& body) {
                    this->on_message(from, body);
                });
        }
        if (status.ok()) {
            status = this->open_packets();
        }
        if (status.ok()) {
            status = this->control.listen(this->shell.settings.readiness);
        }
        return status;
    }();
    if (!opened.ok()) {
        return opened;
    }
    absl::Status following = this->view.start();
    if (!following.ok()) {
        return following;
    }
    this->agents.start();
    this->shell.watch_for_gaps([this](support::duration) {
        this->awake_since = this->shell.now();
        this->members.on_resumed(this->awake_since);
        this->view.on_resumed();
    });
    this->shell.loop.call_every(ping_tick, [this] { this->ping_members(); });
    this->shell.loop.call_every(slow_tick, [this] {
        const support::instant now = this->shell.now();
        this->members.tick(now);
        this->dispatcher.tick(now);
        std::erase_if(this->balancers, [now](const auto& entry) {
            return now - entry.second > balancer_lifetime;
        });
    });
    logging::line line("started");
    line.add("role", "balancer")
        .add("data_centre", this->shell.settings.data_centre);
    this->shell.log(logging::level::info, "started", line);
    this->shell.loop.run();
    line = logging::line("stopped");
    this->shell.log(logging::level::info, "stopped", line);
    return absl::OkStatus();
}

} // namespace

absl::Status run_balancer() {
    auto settings = platform::load_settings();
    if (!settings.ok()) {
        return settings.status();
    }
    balancer instance(*std::move(settings));
    return instance.run();
}

} // namespace guavastair::relay
