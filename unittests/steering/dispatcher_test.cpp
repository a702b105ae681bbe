#include "fixtures.hpp"

#include <doctest/doctest.h>

#include <array>

namespace flow = guavastair::flow;
namespace peer = guavastair::peer;
namespace routing = guavastair::routing;
namespace steering = guavastair::steering;
namespace support = guavastair::support;

using namespace guavastair::steering_test;
using steering::dispatch_basis;
using steering::dispatch_kind;

namespace {

constexpr std::array<std::byte, 4> bytes{};

const flow::packet opening = packet_of(1, flow::tcp_flags::syn_bit);
const flow::packet data = packet_of(1, flow::tcp_flags::ack_bit, 900, 4);

struct balancer {
    explicit balancer(std::uint32_t agents = 3)
        : dispatcher(make_settings(), this->members, this->routes) {
        this->routes.adopt(view_of(1), {0});
        for (std::uint32_t i = 1; i <= agents; ++i) {
            this->members.on_report({0}, report_of(i));
        }
        this->dispatcher.set_members_complete(true);
    }

    static steering::dispatcher_settings make_settings() {
        steering::dispatcher_settings settings;
        settings.opening.own_data_centre = {"a"};
        return settings;
    }

    steering::dispatch receive(const flow::packet& packet) {
        return this->dispatcher.on_packet(this->now, packet, bytes);
    }

    std::vector<steering::released_packet> answer_absent(std::uint32_t agent,
                                                         bool certain = true) {
        peer::flow_absent answer;
        answer.key = data.key;
        answer.agent = agent_at(agent);
        answer.certain = certain;
        return this->dispatcher.on_absent(this->now, answer);
    }

    steering::member_table members{{}};
    routing::routing_state routes;
    steering::dispatcher dispatcher;
    support::instant now{10};
};

} // namespace

TEST_CASE("an opening is sent to one agent, with the others as candidates") {
    balancer b;
    const auto first = b.receive(opening);
    CHECK(first.kind == dispatch_kind::send);
    CHECK(first.carry == peer::carry_kind::open);
    REQUIRE(first.to.size() == 1);
    CHECK(first.candidates.size() == 2);
    const auto copy = b.receive(opening);
    CHECK(copy.basis == dispatch_basis::repeated_opening);
    CHECK(copy.to == first.to);
}

TEST_CASE("without a route an opening is reset only by a fresh configuration") {
    balancer b;
    flow::packet unknown = opening;
    unknown.key.service.port = 9;
    CHECK(b.receive(unknown).kind == dispatch_kind::reset);
    b.now = {10'000};
    CHECK(b.receive(unknown).kind == dispatch_kind::drop);
    b.routes.confirm({5}, b.now);
    CHECK(b.receive(unknown).kind == dispatch_kind::reset);
}

// Guards against dropping openings at start: 39 arrived at balancers that had
// no configuration in their first 40 ms, and the retransmissions of the dropped
// ones arrived after the latency objective of 120 ms.
TEST_CASE("openings are held, not reset, before any agent is discovered") {
    balancer b(0);
    const auto early = b.receive(opening);
    CHECK(early.kind == dispatch_kind::hold);
    CHECK(early.basis == dispatch_basis::starting);
    CHECK(b.dispatcher.has_pending_packets());
    b.now = {40};
    CHECK(b.dispatcher.tick(b.now).empty());
    b.members.on_report(b.now, report_of(1));
    b.now = {50};
    const auto packets = b.dispatcher.tick(b.now);
    REQUIRE(packets.size() == 1);
    CHECK(packets[0].key == opening.key);
    CHECK(packets[0].step.kind == dispatch_kind::send);
    CHECK(packets[0].step.to == std::vector{agent_at(1)});
    CHECK(packets[0].packet == std::vector<std::byte>(4));
    CHECK_FALSE(b.dispatcher.has_pending_packets());
}

TEST_CASE("an early opening is dropped after its timeout") {
    balancer b(0);
    CHECK(b.receive(opening).kind == dispatch_kind::hold);
    b.now = {110};
    CHECK(b.dispatcher.tick(b.now).empty());
    b.now = {111};
    const auto packets = b.dispatcher.tick(b.now);
    REQUIRE(packets.size() == 1);
    CHECK(packets[0].step.kind == dispatch_kind::drop);
    CHECK_FALSE(b.dispatcher.has_pending_packets());
}

TEST_CASE("early packets are bounded and keep their order") {
    balancer b(0);
    const std::size_t capacity = balancer::make_settings().max_early_packets;
    for (std::size_t i = 0; i < capacity; ++i) {
        const auto port = static_cast<std::uint16_t>(i + 1);
        CHECK(b.receive(packet_of(port, flow::tcp_flags::syn_bit)).kind ==
              dispatch_kind::hold);
    }
    CHECK(b.receive(packet_of(9999, flow::tcp_flags::syn_bit)).kind ==
          dispatch_kind::drop);
    b.members.on_report(b.now, report_of(1));
    const auto packets = b.dispatcher.tick(b.now);
    REQUIRE(packets.size() == capacity);
    for (std::size_t i = 0; i < capacity; ++i) {
        CHECK(packets[i].key.caller.port == i + 1);
    }
}

TEST_CASE("data packets are also held before any agent is discovered") {
    balancer b(0);
    CHECK(b.receive(data).kind == dispatch_kind::hold);
    b.members.on_report(b.now, report_of(1));
    const auto packets = b.dispatcher.tick(b.now);
    REQUIRE(packets.size() == 1);
    CHECK(packets[0].step.basis == dispatch_basis::searching);
    CHECK(b.dispatcher.has_pending_packets());
}

// Guards against resets while agents start: 26 downloads were reset that way
// after all processes had been killed.
TEST_CASE("openings are held while the agents of their service start") {
    balancer b(0);
    auto starting = report_of(1);
    starting.takes_openings = false;
    starting.starting = true;
    b.members.on_report({0}, starting);
    CHECK(b.receive(opening).kind == dispatch_kind::hold);
    CHECK(b.receive(opening).basis == dispatch_basis::starting);
    starting.starting = false;
    b.members.on_report({0}, starting);
    CHECK(b.receive(opening).kind == dispatch_kind::reset);
}

TEST_CASE("an opening that no agent accepts is reset at once") {
    balancer b(0);
    auto full = report_of(1);
    full.takes_openings = false;
    b.members.on_report({0}, full);
    CHECK(b.receive(opening).kind == dispatch_kind::reset);
    CHECK(b.receive(opening).basis == dispatch_basis::no_candidate);
}

TEST_CASE("a packet of a located flow is sent to its agent directly") {
    balancer b;
    b.dispatcher.on_owned(b.now, data.key, agent_at(2));
    const auto sent = b.receive(data);
    CHECK(sent.basis == dispatch_basis::located);
    CHECK(sent.to == std::vector{agent_at(2)});
}

TEST_CASE("an unknown flow is searched, then its held packets are sent") {
    balancer b;
    const auto first_step = b.receive(data);
    CHECK(first_step.basis == dispatch_basis::searching);
    CHECK(first_step.carry == peer::carry_kind::locate);
    CHECK(first_step.to.size() == 3);
    CHECK(b.receive(data).kind == dispatch_kind::hold);
    const auto packets = b.dispatcher.on_owned(b.now, data.key, agent_at(3));
    REQUIRE(packets.size() == 1);
    CHECK(packets[0].step.to == std::vector{agent_at(3)});
    CHECK_FALSE(b.dispatcher.has_pending_packets());
}

TEST_CASE("a search continues when all have answered, or on timeout") {
    balancer b(10);
    const auto first = b.receive(data);
    CHECK(first.to.size() == 3);
    SUBCASE("all answered") {
        std::vector<steering::released_packet> next;
        for (const support::endpoint agent : first.to) {
            CHECK(next.empty());
            next = b.answer_absent(agent.address.value - 0x0a000000U);
        }
        REQUIRE(next.size() == 1);
        CHECK(next[0].step.to.size() == 7);
    }
    SUBCASE("one is silent") {
        b.now = {60};
        const auto next = b.dispatcher.tick(b.now);
        REQUIRE(next.size() == 1);
        CHECK(next[0].step.to.size() == 7);
    }
}

TEST_CASE("a flow that every agent rules out is reset") {
    balancer b;
    b.receive(data);
    CHECK(b.answer_absent(1).empty());
    CHECK(b.answer_absent(2).empty());
    const auto result = b.answer_absent(3);
    REQUIRE(result.size() == 1);
    CHECK(result[0].step.kind == dispatch_kind::reset);
    CHECK(result[0].step.basis == dispatch_basis::nowhere);
}

TEST_CASE("a flow is not reset while any agent may own it") {
    balancer b;
    b.receive(data);
    SUBCASE("one agent is not certain") {
        b.answer_absent(1);
        b.answer_absent(2, false);
        CHECK(b.answer_absent(3).empty());
    }
    SUBCASE("one agent is silent") {
        b.answer_absent(1);
        CHECK(b.answer_absent(2).empty());
        b.now = {400};
        CHECK(b.dispatcher.tick(b.now).empty());
        CHECK_FALSE(b.dispatcher.has_pending_packets());
    }
    SUBCASE("the member list may be incomplete") {
        b.dispatcher.set_members_complete(false);
        b.answer_absent(1);
        b.answer_absent(2);
        CHECK(b.answer_absent(3).empty());
        b.now = {500};
        b.dispatcher.set_members_complete(true);
        const auto result = b.dispatcher.tick(b.now);
        REQUIRE(result.size() == 1);
        CHECK(result[0].step.kind == dispatch_kind::reset);
    }
    SUBCASE("an agent is discovered during the search") {
        b.answer_absent(1);
        b.answer_absent(2);
        b.members.on_report(b.now, report_of(4));
        const auto next = b.answer_absent(3);
        REQUIRE(next.size() == 1);
        CHECK(next[0].step.to == std::vector{agent_at(4)});
    }
}

TEST_CASE("a lost agent counts as having ruled out the flow") {
    balancer b;
    const auto limit = steering::member_settings{}.lost_after;
    b.now = support::instant{0} + limit + support::milliseconds(1);
    b.members.on_report(b.now, report_of(1));
    b.members.on_report(b.now, report_of(2));
    b.receive(data);
    b.answer_absent(1);
    b.answer_absent(2);
    b.now = b.now + support::milliseconds(100);
    const auto result = b.dispatcher.tick(b.now);
    REQUIRE(result.size() == 1);
    CHECK(result[0].step.kind == dispatch_kind::reset);
}

TEST_CASE("the owner of a returned packet is searched among other agents") {
    balancer b;
    b.dispatcher.on_owned(b.now, data.key, agent_at(2));
    peer::flow_absent answer;
    answer.key = data.key;
    answer.agent = agent_at(2);
    answer.packet = bytes;
    const auto next = b.dispatcher.on_absent(b.now, answer);
    REQUIRE(next.size() == 1);
    CHECK(next[0].step.basis == dispatch_basis::searching);
    for (const support::endpoint agent : next[0].step.to) {
        CHECK(agent != agent_at(2));
    }
    CHECK(b.receive(data).kind == dispatch_kind::hold);
}

TEST_CASE("the flows of a lost agent are returned once") {
    balancer b;
    b.dispatcher.on_owned(b.now, data.key, agent_at(2));
    b.receive(data);
    const auto lost = b.dispatcher.extract_lost_flows(agent_at(2));
    REQUIRE(lost.size() == 1);
    CHECK(lost[0].key == data.key);
    CHECK(lost[0].acknowledgement == 900);
    CHECK(b.dispatcher.extract_lost_flows(agent_at(2)).empty());
}

TEST_CASE("held packets and searches are bounded") {
    auto settings = balancer::make_settings();
    settings.max_searches = 1;
    settings.max_held_per_flow = 1;
    steering::member_table members({});
    members.on_report({0}, report_of(1));
    routing::routing_state routes;
    routes.adopt(view_of(1), {0});
    steering::dispatcher dispatcher(settings, members, routes);
    CHECK(dispatcher.on_packet({0}, data, bytes).kind == dispatch_kind::send);
    CHECK(dispatcher.on_packet({0}, data, bytes).kind == dispatch_kind::hold);
    CHECK(dispatcher.on_packet({0}, data, bytes).basis ==
          dispatch_basis::overload);
    flow::packet another = data;
    another.key.caller.port = 2;
    CHECK(dispatcher.on_packet({0}, another, bytes).basis ==
          dispatch_basis::overload);
}

TEST_CASE("an advertised flow needs no search") {
    balancer b;
    CHECK(b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(3))
              .empty());
    const auto sent = b.receive(data);
    CHECK(sent.basis == dispatch_basis::located);
    CHECK(sent.to == std::vector{agent_at(3)});
    // An advertisement does not replace a cached location.
    b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(2));
    CHECK(b.receive(data).to == std::vector{agent_at(3)});
}

TEST_CASE("an advertisement ends the search and releases held packets") {
    balancer b;
    b.receive(data);
    CHECK(b.receive(data).kind == dispatch_kind::hold);
    const auto packets =
        b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(2));
    REQUIRE(packets.size() == 1);
    CHECK(packets[0].step.to == std::vector{agent_at(2)});
    CHECK_FALSE(b.dispatcher.has_pending_packets());
}

TEST_CASE("a wrong advertisement is corrected by a search") {
    balancer b;
    b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(3));
    CHECK(b.receive(data).to == std::vector{agent_at(3)});
    peer::flow_absent answer;
    answer.key = data.key;
    answer.agent = agent_at(3);
    answer.packet = bytes;
    const auto next = b.dispatcher.on_absent(b.now, answer);
    REQUIRE(next.size() == 1);
    CHECK(next[0].step.basis == dispatch_basis::searching);
    CHECK(next[0].step.to.size() == 2);
}

// A balancer that is partitioned from an agent must not reset flows that other
// balancers forward to it.
TEST_CASE("only forwarded flows of a lost agent are returned") {
    balancer b;
    b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(3));
    CHECK(b.dispatcher.extract_lost_flows(agent_at(3)).empty());
    b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(3));
    b.receive(data);
    CHECK(b.dispatcher.extract_lost_flows(agent_at(3)).size() == 1);
}

// Guards against searches that saturate the links. After all processes of a
// fleet of 43 agents are killed, the next packet of each of 2,000 flows starts
// a search; callers retransmit it after 200, 400 and 800 ms. Without a rate
// limit a tenth of the requests still failed 18 s later.
TEST_CASE("concurrent searches for all flows respect the message budget") {
    constexpr std::uint32_t agents = 43;
    balancer b(agents);
    const steering::dispatcher_settings settings;
    std::size_t messages = 0;
    const auto count = [&messages](const steering::dispatch& step) {
        messages +=
            step.basis == dispatch_basis::searching ? step.to.size() : 0;
    };
    constexpr std::int64_t span_ms = 3000;
    for (std::int64_t now = 10; now < 10 + span_ms; now += 10) {
        b.now = {now};
        const bool is_repeat =
            now == 10 || now == 210 || now == 610 || now == 1410;
        for (std::uint16_t port = 1; is_repeat && port <= 2000; ++port) {
            count(b.receive(packet_of(port, flow::tcp_flags::ack_bit, 900, 4)));
        }
        for (const auto& each : b.dispatcher.tick(b.now)) {
            count(each.step);
        }
        for (std::uint32_t i = 1; i <= agents; ++i) {
            b.members.on_report(b.now, report_of(i));
        }
    }
    const double seconds = static_cast<double>(span_ms) / 1000.0;
    // Searches in progress may exceed the budget until they complete.
    const double overrun = settings.search_message_burst * agents /
                           static_cast<double>(settings.first_step_size);
    CHECK(static_cast<double>(messages) <=
          settings.search_messages_per_second * seconds + overrun);
    CHECK(messages > 0);
}

// Guards against an added route that is refused (effsa-lb-grown).
TEST_CASE("an opening without a route waits for an announced configuration") {
    balancer b;
    b.routes.announce({50}, b.now);
    flow::packet added = opening;
    added.key.service.port = 8443;
    const auto held = b.receive(added);
    CHECK(held.kind == dispatch_kind::hold);
    CHECK(held.basis == dispatch_basis::outdated);
    auto newer = view_of(1);
    newer.as_of = {50};
    newer.config_revision = {50};
    newer.config.version = 50;
    newer.config_text = "newer";
    newer.config.routes.push_back(newer.config.routes.front());
    newer.config.routes.back().address = added.key.service;
    b.routes.adopt(newer, b.now);
    const auto released = b.dispatcher.tick(b.now);
    REQUIRE(released.size() == 1);
    CHECK(released.front().step.kind == dispatch_kind::send);
    CHECK(released.front().step.basis == dispatch_basis::opening);
}

TEST_CASE("an opening without a route is reset once the configuration in force "
          "is the newest that is announced") {
    balancer b;
    b.routes.announce({50}, b.now);
    flow::packet unknown = opening;
    unknown.key.service.port = 8443;
    auto newer = view_of(1);
    newer.as_of = {50};
    newer.config_revision = {50};
    newer.config.version = 50;
    newer.config_text = "newer";
    b.routes.adopt(newer, b.now);
    CHECK(b.receive(unknown).kind == dispatch_kind::reset);
}
