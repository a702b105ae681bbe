#include "measurements.hpp"
#include "packet_builder.hpp"

#include <guavastair/balancer.hpp>

#include <poll.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

namespace bench {

namespace balancer = guavastair::balancer;
namespace flow = guavastair::flow;
namespace net = guavastair::net;
namespace placement = guavastair::placement;
namespace support = guavastair::support;

static constexpr support::endpoint loopback{{0x7f000001}, 0};
static constexpr support::endpoint service{{0x0a010001}, 80};
static constexpr int rounds = 7;
static constexpr std::chrono::milliseconds round_time{1000};
static constexpr std::size_t flow_count = 4096;
static constexpr std::uint32_t member_count = 16;

namespace {

/// The result of one round.
struct sample {
    double packets_per_second = 0;
    double cpu_us_per_packet = 0;
};

net::udp_socket open_socket(support::endpoint local = loopback) {
    auto opened = net::udp_socket::open({.local = local});
    if (!opened.ok()) {
        std::cerr << opened.status() << "\n";
        std::exit(1);
    }
    return *std::move(opened);
}

/// Sends packets of many flows as fast as possible, from its own thread.
class packet_generator {
public:
    packet_generator(support::endpoint to, std::uint16_t payload)
        : thread([this, to, payload] { this->run(to, payload); }) {}
    ~packet_generator() {
        this->stopping = true;
        this->thread.join();
    }
    packet_generator(const packet_generator&) = delete;
    packet_generator& operator=(const packet_generator&) = delete;

private:
    void run(support::endpoint to, std::uint16_t payload) {
        net::udp_socket socket = open_socket();
        std::vector<builder::bytes> packets;
        packets.reserve(flow_count);
        for (std::size_t i = 0; i < flow_count; ++i) {
            const support::endpoint caller{
                {0x0a630001}, static_cast<std::uint16_t>(1024 + i)};
            packets.push_back(
                builder::make_packet({.key = {caller, service},
                                      .flags = {flow::tcp_flags::ack_bit},
                                      .payload_size = payload}));
        }
        for (std::size_t i = 0; !this->stopping; ++i) {
            socket.queue(to, {}, packets[i % flow_count]);
        }
    }

    std::atomic<bool> stopping = false;
    std::thread thread;
};

/// Receives and discards all datagrams, in its own thread.
class packet_sink {
public:
    packet_sink() : thread([this] { this->run(); }) {}
    ~packet_sink() {
        this->stopping = true;
        this->thread.join();
    }
    packet_sink(const packet_sink&) = delete;
    packet_sink& operator=(const packet_sink&) = delete;

    support::endpoint address() const {
        return {loopback.address, this->socket.local().port};
    }

private:
    void run() {
        while (!this->stopping) {
            pollfd poll_request{this->socket.descriptor(), POLLIN, 0};
            poll(&poll_request, 1, 10);
            this->socket.receive();
        }
    }

    net::udp_socket socket = open_socket({});
    std::atomic<bool> stopping = false;
    std::thread thread;
};

double thread_cpu_us() {
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    const auto us = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) * 1e6 +
               static_cast<double>(time.tv_usec);
    };
    return us(usage.ru_utime) + us(usage.ru_stime);
}

/// Runs `step` repeatedly for one round and computes the rates. `count` returns
/// the number of packets sent so far.
template <typename Step, typename Count>
sample run_round(Step step, Count count) {
    using clock = std::chrono::steady_clock;
    const auto start = clock::now();
    const double cpu = thread_cpu_us();
    const std::uint64_t before = count();
    while (clock::now() - start < round_time) {
        step();
    }
    const std::chrono::duration<double> seconds = clock::now() - start;
    const auto packets = static_cast<double>(count() - before);
    return {packets / seconds.count(), (thread_cpu_us() - cpu) / packets};
}

sample run_relay(const packet_sink& sink, std::uint16_t payload) {
    net::udp_socket relay = open_socket();
    const packet_generator load(relay.local(), payload);
    return run_round(
        [&] {
            pollfd poll_request{relay.descriptor(), POLLIN, 0};
            poll(&poll_request, 1, 10);
            for (const net::datagram& item : relay.receive()) {
                relay.queue(sink.address(), {}, item.payload);
            }
            relay.flush();
        },
        [&] { return relay.counters().sent; });
}

class null_observer final : public balancer::balancer_observer {
public:
    void on_opening(const flow::forward_action&) override {}
    void on_drop(support::endpoint, const flow::forward_action&,
                 std::uint64_t) override {}
};

sample run_balancer(const packet_sink& sink, std::uint16_t payload) {
    const support::steady_clock clock;
    net::event_loop loop(clock);
    null_observer observer;
    const auto opened =
        balancer::balancer::open(loop, {.listen = loopback}, observer);
    placement::service_members members;
    members.name = {"orders"};
    members.address = service;
    // One socket, bound to any address, stands for all agents. Each agent has
    // its own loopback address.
    for (std::uint32_t i = 0; i < member_count; ++i) {
        support::endpoint data = sink.address();
        data.address.value = loopback.address.value + i;
        members.members.push_back(
            {.id = {i + 1}, .data = data, .data_centre = {"one"}});
    }
    (*opened)->set_view(placement::fleet_view().with_service(members));
    const packet_generator load((*opened)->local(), payload);
    return run_round([&] { loop.run_once(support::milliseconds(10)); },
                     [&] { return (*opened)->counters().socket.sent; });
}

double median(std::vector<double> values) {
    std::ranges::sort(values);
    return values[values.size() / 2];
}

void compare(std::uint16_t payload) {
    const packet_sink sink;
    std::vector<double> relay_rate;
    std::vector<double> relay_cpu;
    std::vector<double> balancer_rate;
    std::vector<double> balancer_cpu;
    for (int i = 0; i < rounds; ++i) {
        const sample relay = run_relay(sink, payload);
        const sample forwarding = run_balancer(sink, payload);
        relay_rate.push_back(relay.packets_per_second);
        relay_cpu.push_back(relay.cpu_us_per_packet);
        balancer_rate.push_back(forwarding.packets_per_second);
        balancer_cpu.push_back(forwarding.cpu_us_per_packet);
    }
    std::cout << "{\"payload\":" << payload << ",\"rounds\":" << rounds
              << ",\"relay_packets_per_second\":" << median(relay_rate)
              << ",\"balancer_packets_per_second\":" << median(balancer_rate)
              << ",\"relay_cpu_us_per_packet\":" << median(relay_cpu)
              << ",\"balancer_cpu_us_per_packet\":" << median(balancer_cpu)
              << ",\"rate_ratio\":"
              << median(balancer_rate) / median(relay_rate)
              << ",\"cpu_ratio\":" << median(relay_cpu) / median(balancer_cpu)
              << "}" << std::endl;
}

} // namespace

void measure_rate() {
    for (const std::uint16_t payload : {60, 1300}) {
        compare(payload);
    }
}

} // namespace bench
