#include "caller.hpp"
#include "fabric.hpp"
#include "measurements.hpp"
#include "role_process.hpp"
#include "server.hpp"

#include <guavastair/agent.hpp>
#include <guavastair/balancer.hpp>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <limits>
#include <thread>
#include <vector>

namespace bench {

namespace agent = guavastair::agent;
namespace balancer = guavastair::balancer;
namespace flow = guavastair::flow;
namespace net = guavastair::net;
namespace placement = guavastair::placement;
namespace standin = guavastair::standin;
namespace support = guavastair::support;

static constexpr support::endpoint loopback{{0x7f000001}, 0};
static constexpr support::endpoint service{{0x0a010001}, 80};
static constexpr support::ipv4_address caller_address{0x0a630001};
static constexpr support::member_id agent_id{1};
static constexpr std::size_t latency_connections = 4;
static constexpr std::uint64_t latency_requests = 8000;
static constexpr std::uint64_t content_size = 1000;

namespace {

class error_observer final : public agent::agent_observer {
public:
    void on_packet(const flow::packet&, const flow::agent_action&) override {}
    void on_bad_frame(support::endpoint, flow::drop_reason) override {}
    void on_flow_ended(support::endpoint caller, agent::flow_end end) override {
        if (end != agent::flow_end::finished) {
            std::cerr << support::to_string(caller) << ": "
                      << agent::to_string(end) << "\n";
        }
    }
    void on_request(support::endpoint caller,
                    const guavastair::request::decision& what) override {
        if (what.error.has_value()) {
            std::cerr << support::to_string(caller) << ": "
                      << support::to_string(*what.error) << "\n";
        }
    }
};

class null_balancer_observer final : public balancer::balancer_observer {
public:
    void on_opening(const flow::forward_action&) override {}
    void on_drop(support::endpoint, const flow::forward_action&,
                 std::uint64_t) override {}
};

void run_server(const role_process::ready_callback& ready) {
    const standin::server running(
        {.listen = loopback, .slots = 1000, .service_time = {}});
    ready(running.local());
    pause();
}

void run_agent(const role_process::ready_callback& ready,
               agent::protocol flow_protocol, support::endpoint server,
               support::endpoint return_path) {
    const support::steady_clock clock;
    net::event_loop loop(clock);
    error_observer observer;
    agent::agent_options options;
    options.id = agent_id;
    options.listen = loopback;
    options.service = {"orders"};
    options.service_address = service;
    options.flow_protocol = flow_protocol;
    options.server = server;
    options.return_path = return_path;
    options.max_connections = 100'000;
    options.flows.opening_delay = {};
    options.admission.limiter.slots = 1000;
    options.admission.limiter.cold_slots = 1000;
    options.tcp.time_wait = support::seconds(1);
    const auto opened = agent::agent::open(loop, options, observer);
    ready((*opened)->local());
    loop.run();
}

void run_balancer(const role_process::ready_callback& ready,
                  support::endpoint agent_data) {
    const support::steady_clock clock;
    net::event_loop loop(clock);
    null_balancer_observer observer;
    const auto opened =
        balancer::balancer::open(loop, {.listen = loopback}, observer);
    placement::service_members members;
    members.name = {"orders"};
    members.address = service;
    members.members.push_back(
        {.id = agent_id, .data = agent_data, .data_centre = {"one"}});
    (*opened)->set_view(placement::fleet_view().with_service(members));
    ready((*opened)->local());
    loop.run();
}

/// Runs server, agent and balancer in child processes, and fabric and callers
/// in this one.
class deployment {
public:
    explicit deployment(agent::protocol flow_protocol)
        : server(run_server), agent_role([&](const auto& ready) {
              run_agent(ready, flow_protocol, this->server.address(),
                        this->fabric->returns());
          }),
          balancer_role([&](const auto& ready) {
              run_balancer(ready, this->agent_role.address());
          }) {
        this->fabric->set_balancers({{this->balancer_role.address(), {}}});
    }

    void start_callers(standin::caller_options options) {
        options.fabric = this->fabric->callers();
        options.address = caller_address;
        options.service = service;
        options.first_port = this->next_port;
        this->next_port += 10'000;
        this->done = false;
        this->callers.reset();
        auto opened = standin::caller::open(this->loop, options,
                                            [this] { this->done = true; });
        this->callers = *std::move(opened);
    }

    standin::caller_summary run_to_end() {
        while (!this->done) {
            this->loop.run_once(support::milliseconds(10));
        }
        return this->callers->summary();
    }

    void run_for(support::duration span) {
        const support::instant end = this->loop.now() + span;
        while (this->loop.now() < end) {
            this->loop.run_once(support::milliseconds(10));
        }
    }

    support::steady_clock clock;
    net::event_loop loop{this->clock};
    std::unique_ptr<standin::fabric> fabric = *standin::fabric::open(
        this->loop, {.callers = loopback, .returns = loopback});
    role_process server;
    role_process agent_role;
    role_process balancer_role;
    std::unique_ptr<standin::caller> callers;
    bool done = false;
    std::uint16_t next_port = 10'000;
};

const char* name_of(agent::protocol flow_protocol) {
    return flow_protocol == agent::protocol::http ? "http" : "tcp";
}

/// Latencies in ms of requests sent directly to the server over kernel TCP.
std::vector<double> measure_direct_requests(support::endpoint server) {
    Poco::Net::HTTPClientSession session(support::to_string(server.address),
                                         server.port);
    session.setKeepAlive(true);
    std::vector<double> latencies;
    latencies.reserve(latency_requests);
    for (std::uint64_t i = 0; i < latency_requests / latency_connections; ++i) {
        const auto start = std::chrono::steady_clock::now();
        Poco::Net::HTTPRequest request(
            "GET", "/content?size=" + std::to_string(content_size),
            Poco::Net::HTTPRequest::HTTP_1_1);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response).ignore(
            std::numeric_limits<std::streamsize>::max());
        const std::chrono::duration<double, std::milli> elapsed =
            std::chrono::steady_clock::now() - start;
        latencies.push_back(elapsed.count());
    }
    return latencies;
}

void measure_direct() {
    const role_process server(run_server);
    std::vector<double> all;
    std::vector<std::vector<double>> parts(latency_connections);
    std::vector<std::thread> threads;
    threads.reserve(latency_connections);
    for (auto& part : parts) {
        threads.emplace_back([&part, &server] {
            part = measure_direct_requests(server.address());
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    for (const auto& part : parts) {
        all.insert(all.end(), part.begin(), part.end());
    }
    std::ranges::sort(all);
    std::cout << "{\"path\":\"direct\",\"requests\":" << all.size()
              << ",\"p50_ms\":" << all[all.size() / 2]
              << ",\"p99_ms\":" << all[all.size() * 99 / 100] << "}"
              << std::endl;
}

void measure_latency(agent::protocol flow_protocol) {
    deployment bench(flow_protocol);
    bench.start_callers({.connections = latency_connections,
                         .requests_per_connection = 0,
                         .max_requests = latency_requests,
                         .duration = support::seconds(60),
                         .content_size = content_size});
    const standin::caller_summary summary = bench.run_to_end();
    std::cout << "{\"path\":\"" << name_of(flow_protocol)
              << "\",\"requests\":" << summary.done
              << ",\"p50_ms\":" << summary.p50_ms
              << ",\"p99_ms\":" << summary.p99_ms
              << ",\"flows_broken\":" << summary.flows_broken
              << ",\"wrong_bytes\":" << summary.wrong_bytes << "}" << std::endl;
}

/// Processor time of the roles, and the numbers of packets and flows that they
/// processed in it.
struct role_usage {
    double agent_us;
    double balancer_us;
    double balancer_packets;
    double agent_packets;
    double flows;
};

role_usage measure_usage(deployment& bench,
                         const standin::caller_options& options) {
    const standin::fabric_counters before = bench.fabric->counters();
    const double agent_us = bench.agent_role.cpu_us();
    const double balancer_us = bench.balancer_role.cpu_us();
    bench.start_callers(options);
    const standin::caller_summary summary = bench.run_to_end();
    const standin::fabric_counters& after = bench.fabric->counters();
    const auto in =
        static_cast<double>(after.from_callers - before.from_callers);
    const auto out =
        static_cast<double>(after.from_agents - before.from_agents);
    return {bench.agent_role.cpu_us() - agent_us,
            bench.balancer_role.cpu_us() - balancer_us, in, in + out,
            static_cast<double>(summary.flows_opened)};
}

void measure_cpu(agent::protocol flow_protocol) {
    deployment bench(flow_protocol);
    const role_usage persistent =
        measure_usage(bench, {.connections = 20,
                              .requests_per_connection = 0,
                              .max_requests = 20,
                              .duration = support::seconds(60),
                              .content_size = 3'000'000});
    const role_usage short_lived =
        measure_usage(bench, {.connections = 20,
                              .requests_per_connection = 1,
                              .max_requests = 4000,
                              .duration = support::seconds(60),
                              .content_size = 100});
    const double agent_packet = persistent.agent_us / persistent.agent_packets;
    const double balancer_packet =
        persistent.balancer_us / persistent.balancer_packets;
    std::cout << "{\"path\":\"" << name_of(flow_protocol)
              << "\",\"agent_us_per_packet\":" << agent_packet
              << ",\"balancer_us_per_packet\":" << balancer_packet
              << ",\"packets\":" << persistent.agent_packets
              << ",\"agent_us_per_flow\":"
              << short_lived.agent_us / short_lived.flows
              << ",\"balancer_us_per_flow\":"
              << short_lived.balancer_us / short_lived.flows
              << ",\"packets_per_flow\":"
              << short_lived.agent_packets / short_lived.flows
              << ",\"flows\":" << short_lived.flows << "}" << std::endl;
}

/// Runs `connections` feeds with 2,000 lines per second in total.
void measure_memory_of(agent::protocol flow_protocol, std::size_t connections) {
    deployment bench(flow_protocol);
    bench.run_for(support::seconds(1));
    const double idle_kb = bench.agent_role.anonymous_kb();
    constexpr std::size_t lines_per_second = 2000;
    constexpr std::int64_t feed_seconds = 10;
    const auto interval_ms =
        static_cast<std::int64_t>(connections * 1000 / lines_per_second);
    bench.start_callers({.mode = standin::caller_mode::feed,
                         .connections = connections,
                         .opened_per_second = 1000,
                         .requests_per_connection = 1,
                         .max_requests = connections,
                         .duration = support::seconds(60),
                         .feed_lines = static_cast<std::uint64_t>(
                             feed_seconds * 1000 / interval_ms),
                         .feed_interval = support::milliseconds(interval_ms)});
    // Opening takes 2 s; the feeds last 10 s.
    bench.run_for(support::seconds(4));
    const std::size_t open = bench.callers->open_flows();
    const double full_kb = bench.agent_role.anonymous_kb();
    const double cpu_before = bench.agent_role.cpu_us();
    constexpr double measured_seconds = 4;
    bench.run_for(support::seconds(4));
    const double cpu_us = bench.agent_role.cpu_us() - cpu_before;
    const standin::caller_summary summary = bench.run_to_end();
    std::cout << "{\"path\":\"" << name_of(flow_protocol)
              << "\",\"idle_kb\":" << idle_kb
              << ",\"with_connections_kb\":" << full_kb
              << ",\"connections\":" << open << ",\"kb_each\":"
              << (full_kb - idle_kb) / static_cast<double>(open)
              << ",\"core_share_at_2000_lines_a_second\":"
              << cpu_us / 1e6 / measured_seconds
              << ",\"feeds_done\":" << summary.done
              << ",\"refused\":" << summary.refused
              << ",\"unknown\":" << summary.unknown
              << ",\"flows_broken\":" << summary.flows_broken << "}"
              << std::endl;
}

} // namespace

void measure_cost() {
    measure_direct();
    for (const auto flow_protocol :
         {agent::protocol::tcp, agent::protocol::http}) {
        measure_latency(flow_protocol);
        measure_cpu(flow_protocol);
    }
}

void measure_memory(absl::string_view protocol, std::size_t connections) {
    const bool is_http = protocol == "http";
    measure_memory_of(is_http ? agent::protocol::http : agent::protocol::tcp,
                      connections);
}

} // namespace bench
