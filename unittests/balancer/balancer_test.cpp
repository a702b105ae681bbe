#include "packet_builder.hpp"

#include <guavastair/balancer.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <thread>
#include <vector>

namespace balancer = guavastair::balancer;
namespace flow = guavastair::flow;
namespace net = guavastair::net;
namespace placement = guavastair::placement;
namespace support = guavastair::support;

using flow::drop_reason;

static constexpr support::endpoint loopback{{0x7f000001}, 0};
static constexpr support::endpoint service{{0x0a010001}, 80};
static constexpr support::endpoint caller{{0x0a630001}, 5000};

namespace {

class recording_observer final : public balancer::balancer_observer {
public:
    void on_opening(const flow::forward_action& action) override {
        ++this->openings;
        this->last_next = action.next;
    }
    void on_drop(support::endpoint, const flow::forward_action& action,
                 std::uint64_t unobserved) override {
        this->drops.push_back(action.reason);
        this->unobserved_drops += unobserved;
    }

    int openings = 0;
    support::endpoint last_next;
    std::vector<drop_reason> drops;
    std::uint64_t unobserved_drops = 0;
};

net::udp_socket open_socket() {
    auto opened = net::udp_socket::open({.local = loopback});
    REQUIRE(opened.ok());
    return *std::move(opened);
}

/// A balancer with one agent, which is simulated by a socket.
struct balancer_fixture {
    balancer_fixture() {
        auto opened = balancer::balancer::open(this->loop, {.listen = loopback},
                                               this->observer);
        REQUIRE(opened.ok());
        this->running = *std::move(opened);
        this->running->set_view(this->make_view(service));
    }

    std::shared_ptr<const placement::fleet_view>
    make_view(support::endpoint address) const {
        placement::service_members members;
        members.name = {"orders"};
        members.address = address;
        members.members.push_back(
            {.id = {7}, .data = this->agent.local(), .data_centre = {"one"}});
        return placement::fleet_view().with_service(members);
    }

    void send(const std::vector<std::byte>& packet) {
        this->fabric.queue_copy(this->running->local(), packet);
        this->fabric.flush();
    }

    /// Runs until the balancer has received `count` packets.
    void run_until_received(std::uint64_t count) {
        constexpr int rounds = 1000;
        for (int i = 0; i < rounds; ++i) {
            this->loop.run_once(support::milliseconds(5));
            if (this->running->counters().received >= count) {
                return;
            }
        }
        FAIL("the balancer did not receive the expected number of packets");
    }

    support::manual_clock clock;
    net::event_loop loop{this->clock};
    recording_observer observer;
    net::udp_socket fabric = open_socket();
    net::udp_socket agent = open_socket();
    std::unique_ptr<balancer::balancer> running;
};

flow::packet headers(std::uint8_t flags, std::uint16_t payload = 0) {
    return {.key = {caller, service},
            .flags = {flags},
            .sequence = 1,
            .payload_size = payload};
}

} // namespace

TEST_CASE("a packet is forwarded to the agent unchanged in a frame") {
    balancer_fixture b;
    const auto opening =
        builder::make_packet(headers(flow::tcp_flags::syn_bit));
    const auto data =
        builder::make_packet(headers(flow::tcp_flags::ack_bit, 1300));
    b.send(opening);
    b.send(data);
    b.run_until_received(2);
    std::vector<std::vector<std::byte>> arrived;
    for (const net::datagram& item : b.agent.receive()) {
        const auto frame = flow::parse_frame(item.payload);
        REQUIRE(frame.ok());
        CHECK(frame.value.header.hop == 0);
        CHECK(frame.value.header.candidates[0].id == support::member_id{7});
        arrived.emplace_back(frame.value.packet.begin(),
                             frame.value.packet.end());
    }
    CHECK(arrived == std::vector{opening, data});
    CHECK(b.running->counters().forwarded == 2);
    CHECK(b.running->counters().opening == 1);
    CHECK(b.observer.openings == 1);
    CHECK(b.observer.last_next == b.agent.local());
}

TEST_CASE("a packet for an unknown service is dropped") {
    balancer_fixture b;
    b.running->set_view(b.make_view({service.address, 81}));
    b.send(builder::make_packet(headers(flow::tcp_flags::syn_bit)));
    b.run_until_received(1);
    CHECK(b.agent.receive().empty());
    CHECK(b.running->counters().forwarded == 0);
    CHECK(b.running->counters().dropped_for(drop_reason::unknown_service) == 1);
    CHECK(b.observer.drops == std::vector{drop_reason::unknown_service});
}

TEST_CASE("every drop is counted, and at most ten a second are reported") {
    balancer_fixture b;
    const std::vector<std::byte> garbage(7);
    constexpr std::uint64_t count = 40;
    for (std::uint64_t i = 0; i < count; ++i) {
        b.send(garbage);
    }
    b.run_until_received(count);
    CHECK(b.running->counters().dropped_for(drop_reason::truncated) == count);
    CHECK(b.observer.drops.size() == 10);
    b.clock.advance(support::seconds(1));
    b.loop.run_once({});
    b.send(garbage);
    b.run_until_received(count + 1);
    CHECK(b.observer.drops.size() == 11);
    CHECK(b.observer.unobserved_drops == count - 10);
}

TEST_CASE("another thread may replace the view while packets are forwarded") {
    balancer_fixture b;
    const auto with = b.make_view(service);
    const auto without = std::make_shared<const placement::fleet_view>();
    std::thread other([&] {
        for (int i = 0; i < 2000; ++i) {
            b.running->set_view(i % 2 == 0 ? without : with);
        }
    });
    const auto data = builder::make_packet(headers(flow::tcp_flags::ack_bit));
    constexpr std::uint64_t count = 500;
    for (std::uint64_t i = 1; i <= count; ++i) {
        b.send(data);
        b.run_until_received(i);
    }
    other.join();
    const balancer::balancer_counters counters = b.running->counters();
    CHECK(counters.forwarded +
              counters.dropped_for(drop_reason::unknown_service) ==
          count);
}

TEST_CASE("opening a balancer on an address in use fails with address_in_use") {
    balancer_fixture b;
    const auto again = balancer::balancer::open(
        b.loop, {.listen = b.running->local()}, b.observer);
    REQUIRE_FALSE(again.ok());
    CHECK(support::kind_of(again.status()) ==
          support::error_kind::address_in_use);
}
