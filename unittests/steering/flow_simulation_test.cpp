/// Simulates balancers, agents and servers on a network that delays, drops,
/// duplicates and reorders messages, and compares the outcome with a model that
/// knows the actual owner of each flow.

#include "fixtures.hpp"

#include <guavastair/ownership.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace flow = guavastair::flow;
namespace ownership = guavastair::ownership;
namespace peer = guavastair::peer;
namespace routing = guavastair::routing;
namespace steering = guavastair::steering;
namespace support = guavastair::support;

using namespace guavastair::steering_test;

namespace {

constexpr std::uint32_t agent_count = 6;
constexpr std::size_t balancer_count = 3;
constexpr int run_ms = 12'000;

/// A packet and the number of messages between processes sent for it so far.
struct packet_in_flight {
    flow::packet head;
    int hops = 0;
};

/// The sequence number with which the server of `agent` accepts flows.
std::uint32_t initial_sequence(std::uint32_t agent) {
    return agent << 24;
}

struct server {
    std::string service;
    std::set<std::uint16_t> flows;
    /// Flows accepted by the server but not yet confirmed by the caller.
    std::set<std::uint16_t> half_open;
    int start_count = 0;
};

struct agent {
    std::unique_ptr<ownership::owner_table> table;
    bool is_registered = false;
    bool draining = false;
};

struct balancer {
    balancer() : dispatcher({}, this->members, this->routes) {}

    steering::member_table members{{}};
    routing::routing_state routes;
    steering::dispatcher dispatcher;
};

class simulation {
public:
    explicit simulation(std::uint32_t seed) : random(seed) {
        for (std::uint32_t i = 1; i <= agent_count; ++i) {
            this->servers[i].service = i <= 4 ? "portal" : "drawings";
            this->start_agent(i);
            this->agents[i].is_registered = true;
        }
        this->balancers.resize(balancer_count);
        for (auto& each : this->balancers) {
            each = std::make_unique<balancer>();
            each->routes.adopt(view_of(1), {0});
        }
    }

    void run() {
        for (this->now = 0; this->now < run_ms; ++this->now) {
            this->deliver_due();
            this->with_probability(4, [this] { this->open_flow(); });
            this->with_probability(20, [this] { this->send_data(); });
            if (this->now % 250 == 0) {
                this->send_reports();
            }
            if (this->now % 10 == 0) {
                this->tick();
            }
            this->inject_faults();
        }
    }

    int wrong_resets = 0;
    int foreign_openings = 0;
    int max_hops = 0;
    int opened_flows = 0;
    int delivered_packets = 0;
    int extra_hops = 0;

private:
    using event = std::function<void()>;

    int random_below(int below) {
        return std::uniform_int_distribution<int>(0, below - 1)(this->random);
    }

    /// Calls `call` with a probability of `thousandths`.
    template <typename Call> void with_probability(int thousandths, Call call) {
        if (this->random_below(1000) < thousandths) {
            call();
        }
    }

    /// Sends a message that is delayed and may be dropped or duplicated.
    void send(const event& call) {
        if (this->random_below(100) == 0) {
            return;
        }
        const int copies = this->random_below(100) == 0 ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            this->queue.emplace(this->now + 1 + this->random_below(12), call);
        }
    }

    void deliver_due() {
        while (!this->queue.empty() &&
               this->queue.begin()->first <= this->now) {
            const event call = this->queue.begin()->second;
            this->queue.erase(this->queue.begin());
            call();
        }
    }

    support::instant time() const {
        return {this->now};
    }

    void start_agent(std::uint32_t number) {
        ownership::owner_settings settings;
        settings.longest_flow = support::seconds(60);
        this->agents[number].table =
            std::make_unique<ownership::owner_table>(settings, this->time());
    }

    // ------------------------------------------------------------ callers

    void open_flow() {
        const std::uint16_t port = ++this->last_caller_port;
        this->send_to_balancer(packet_of(port, flow::tcp_flags::syn_bit));
    }

    void send_data() {
        if (this->owners.empty()) {
            return;
        }
        auto owner = this->owners.begin();
        std::advance(owner,
                     this->random_below(static_cast<int>(this->owners.size())));
        this->send_to_balancer(packet_of(owner->first, flow::tcp_flags::ack_bit,
                                         initial_sequence(owner->second) + 1,
                                         10));
    }

    void send_to_balancer(const flow::packet& head) {
        const auto index =
            static_cast<std::size_t>(this->random_below(balancer_count));
        this->send([this, index, head] {
            const std::array<std::byte, 1> bytes{};
            balancer& at = *this->balancers[index];
            this->execute(index, head.key,
                          at.dispatcher.on_packet(this->time(), head, bytes),
                          {head, 0});
        });
    }

    void on_reset(const flow::flow_key& key) {
        const std::uint16_t port = key.caller.port;
        const auto owner = this->owners.find(port);
        if (owner == this->owners.end()) {
            return;
        }
        if (this->servers[owner->second].flows.count(port) != 0) {
            ++this->wrong_resets;
        }
        this->owners.erase(owner);
    }

    // ---------------------------------------------------------- balancers

    void execute(std::size_t from, const flow::flow_key& key,
                 const steering::dispatch& step,
                 const packet_in_flight& in_flight) {
        if (step.kind == steering::dispatch_kind::reset) {
            this->on_reset(key);
        }
        if (step.kind != steering::dispatch_kind::send) {
            return;
        }
        for (const support::endpoint to : step.to) {
            const auto number = to.address.value - 0x0a000000U;
            const auto kind = step.carry;
            const auto candidates = step.candidates;
            this->send([this, from, number, kind, candidates, in_flight] {
                this->deliver_to_agent(from, number, kind, candidates, false,
                                       {in_flight.head, in_flight.hops + 1});
            });
        }
    }

    /// A stand-in for the packet of a search: the data packet that the flow's
    /// caller sends. The simulation does not parse packet bytes.
    packet_in_flight packet_for(const flow::flow_key& key) const {
        const auto owner = this->owners.find(key.caller.port);
        const std::uint32_t number =
            owner == this->owners.end() ? 0 : owner->second;
        return {packet_of(key.caller.port, flow::tcp_flags::ack_bit,
                          initial_sequence(number) + 1, 10),
                0};
    }

    void release(std::size_t at,
                 const std::vector<steering::released_packet>& steps,
                 int hops) {
        for (const steering::released_packet& each : steps) {
            packet_in_flight in_flight = this->packet_for(each.key);
            in_flight.hops = hops;
            this->execute(at, each.key, each.step, in_flight);
        }
    }

    // ------------------------------------------------------------- agents

    ownership::gate_state gate(std::uint32_t number) const {
        ownership::gate_inputs inputs;
        inputs.has_configuration = true;
        inputs.is_view_confirmed = true;
        inputs.is_discoverable = this->agents.at(number).is_registered;
        inputs.has_route = true;
        inputs.route_matches_service =
            this->servers.at(number).service == this->current_service;
        inputs.condition = this->agents.at(number).draining
                               ? peer::server_condition::draining
                               : peer::server_condition::ready;
        inputs.load.slots = 1000;
        return ownership::judge_opening(inputs);
    }

    void deliver_to_agent(std::size_t from, std::uint32_t number,
                          peer::carry_kind kind,
                          const std::vector<support::endpoint>& candidates,
                          bool was_passed_on,
                          const packet_in_flight& in_flight) {
        this->max_hops = std::max(this->max_hops, in_flight.hops);
        ownership::owner_table& table = *this->agents[number].table;
        const support::endpoint balancer_at{{0x0b000000U}, 7000};
        const ownership::action decision =
            kind == peer::carry_kind::open
                ? table.on_opening(
                      this->time(), in_flight.head, this->gate(number),
                      {balancer_at, candidates, {}, false, was_passed_on})
                : table.on_packet(this->time(), in_flight.head, balancer_at,
                                  kind == peer::carry_kind::locate);
        this->apply_action(from, number, decision, in_flight);
    }

    void apply_action(std::size_t from, std::uint32_t number,
                      const ownership::action& decision,
                      const packet_in_flight& in_flight) {
        const flow::flow_key key = in_flight.head.key;
        if (decision.notify_balancer) {
            this->send([this, from, key, number] {
                this->release(from,
                              this->balancers[from]->dispatcher.on_owned(
                                  this->time(), key, agent_at(number)),
                              0);
            });
        }
        switch (decision.kind) {
        case ownership::action_kind::deliver:
            this->deliver_to_server(from, number, in_flight);
            break;
        case ownership::action_kind::pass_on: {
            const auto next = decision.next.address.value - 0x0a000000U;
            const auto rest = decision.next_offer.candidates;
            this->send([this, from, next, rest, in_flight] {
                this->deliver_to_agent(from, next, peer::carry_kind::open, rest,
                                       true,
                                       {in_flight.head, in_flight.hops + 1});
            });
            break;
        }
        case ownership::action_kind::answer_absent: {
            peer::flow_absent answer;
            answer.key = key;
            answer.agent = agent_at(number);
            answer.certain = decision.certain;
            const bool return_packet = decision.return_packet;
            const int hops = in_flight.hops;
            this->send([this, from, answer, return_packet, hops]() mutable {
                const std::array<std::byte, 1> bytes{};
                if (return_packet) {
                    answer.packet = bytes;
                }
                this->release(from,
                              this->balancers[from]->dispatcher.on_absent(
                                  this->time(), answer),
                              hops);
            });
            break;
        }
        case ownership::action_kind::reset:
            this->on_reset(key);
            break;
        case ownership::action_kind::drop:
            break;
        }
    }

    // ------------------------------------------------------------ servers

    void deliver_to_server(std::size_t from, std::uint32_t number,
                           const packet_in_flight& in_flight) {
        server& receiver = this->servers[number];
        const std::uint16_t port = in_flight.head.key.caller.port;
        ownership::owner_table& table = *this->agents[number].table;
        if (in_flight.head.flags.is_initial_syn()) {
            this->foreign_openings +=
                this->service_history.count(receiver.service) == 0 ? 1 : 0;
            receiver.half_open.insert(port);
            flow::packet syn_ack = packet_of(
                port, flow::tcp_flags::syn_bit | flow::tcp_flags::ack_bit);
            syn_ack.sequence = initial_sequence(number);
            table.on_server_packet(this->time(), syn_ack);
            if (this->owners.count(port) == 0 && this->random_below(10) != 0) {
                // The caller continues with the first server that accepts.
                this->owners[port] = number;
                this->send_to_balancer(packet_of(port, flow::tcp_flags::ack_bit,
                                                 syn_ack.sequence + 1, 10));
            }
            return;
        }
        const bool confirms =
            receiver.half_open.count(port) != 0 &&
            in_flight.head.acknowledgement == initial_sequence(number) + 1;
        if (confirms) {
            receiver.half_open.erase(port);
            receiver.flows.insert(port);
            ++this->opened_flows;
        }
        if (receiver.flows.count(port) != 0) {
            ++this->delivered_packets;
            this->extra_hops += in_flight.hops - 1;
            flow::packet answer =
                packet_of(port, flow::tcp_flags::ack_bit, 0, 10);
            table.on_server_packet(this->time(), answer);
            return;
        }
        // The server returns the packet; this message may be lost, too.
        this->send([this, from, number, in_flight] {
            const auto decision = this->agents[number].table->on_returned(
                this->time(), in_flight.head);
            this->apply_action(from, number, decision, in_flight);
        });
    }

    // --------------------------------------------------------- environment

    void send_reports() {
        for (std::uint32_t i = 1; i <= agent_count; ++i) {
            peer::agent_report report = report_of(i, i % 2 == 0 ? "a" : "b");
            report.service = {this->servers[i].service};
            report.takes_openings = !this->agents[i].draining;
            for (auto& each : this->balancers) {
                if (this->random_below(20) != 0) {
                    each->members.on_report(this->time(), report);
                }
            }
        }
        for (auto& each : this->balancers) {
            // Balancers adopt a new view up to seconds apart.
            if (this->random_below(8) == 0) {
                each->routes.adopt(this->current_view(), this->time());
            }
            each->dispatcher.set_members_complete(each->members.size() ==
                                                  agent_count);
        }
    }

    routing::operator_view current_view() const {
        return view_of(this->revision, this->current_service);
    }

    void tick() {
        for (std::size_t i = 0; i < balancer_count; ++i) {
            this->release(i, this->balancers[i]->dispatcher.tick(this->time()),
                          0);
        }
        if (this->now % 100 == 0) {
            for (auto& [number, each] : this->agents) {
                each.table->tick(this->time());
            }
        }
    }

    void inject_faults() {
        const auto victim =
            static_cast<std::uint32_t>(1 + this->random_below(agent_count));
        // An agent restarts while its server keeps its flows.
        this->with_probability(1, [&] { this->start_agent(victim); });
        // A server restarts; its agent detects this up to 1 s later.
        if (this->random_below(4000) == 0) {
            this->servers[victim].flows.clear();
            this->servers[victim].half_open.clear();
            const int restarts = ++this->servers[victim].start_count;
            this->queue.emplace(
                this->now + 1 + this->random_below(1000),
                [this, victim, restarts] {
                    if (this->servers[victim].start_count != restarts) {
                        return;
                    }
                    // on_server_lost() drops all flows of the agent, also those
                    // opened since the restart: skip it if there are any.
                    if (this->servers[victim].flows.empty()) {
                        for (const auto& each :
                             this->agents[victim].table->on_server_lost(
                                 this->time())) {
                            this->on_reset(each.key);
                        }
                    }
                });
        }
        if (this->random_below(3000) == 0) {
            this->agents[victim].draining = !this->agents[victim].draining;
        }
        if (this->random_below(4000) == 0) {
            this->current_service =
                this->current_service == "portal" ? "drawings" : "portal";
            this->service_history.insert(this->current_service);
            ++this->revision;
        }
        // A balancer restarts and loses its state.
        if (this->random_below(4000) == 0) {
            const auto index =
                static_cast<std::size_t>(this->random_below(balancer_count));
            this->balancers[index] = std::make_unique<balancer>();
            this->balancers[index]->routes.adopt(this->current_view(),
                                                 this->time());
        }
    }

    std::mt19937 random;
    int now = 0;
    std::multimap<int, event> queue;
    std::map<std::uint32_t, server> servers;
    std::map<std::uint32_t, agent> agents;
    std::vector<std::unique_ptr<balancer>> balancers;
    /// By caller port: the agent that the caller believes to own its flow.
    std::map<std::uint16_t, std::uint32_t> owners;
    std::set<std::string> service_history{"portal"};
    std::string current_service = "portal";
    std::int64_t revision = 1;
    std::uint16_t last_caller_port = 1024;
};

} // namespace

TEST_CASE("flows are never reset while their server holds them") {
    int opened_flows = 0;
    int delivered_packets = 0;
    int extra_hops = 0;
    int max_hops = 0;
    CHECK(rc::check("agrees with the model", [&] {
        simulation instance(*rc::gen::arbitrary<std::uint32_t>());
        instance.run();
        RC_ASSERT(instance.wrong_resets == 0);
        RC_ASSERT(instance.foreign_openings == 0);
        // An opening packet visits each agent at most once. Any other packet
        // takes one hop, is returned, and is searched for in two steps.
        RC_ASSERT(instance.max_hops <= static_cast<int>(agent_count));
        opened_flows += instance.opened_flows;
        delivered_packets += instance.delivered_packets;
        extra_hops += instance.extra_hops;
        max_hops = std::max(max_hops, instance.max_hops);
    }));
    MESSAGE("flows opened ", opened_flows, ", packets delivered ",
            delivered_packets, ", extra hops per packet ",
            static_cast<double>(extra_hops) / std::max(delivered_packets, 1),
            ", most hops ", max_hops);
    // The simulation has carried traffic.
    CHECK(opened_flows > 2000);
    CHECK(delivered_packets > 10'000);
}
