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

    steering::dispatch on(const flow::packet& packet) {
        return this->dispatcher.on_packet(this->now, packet, bytes);
    }

    std::vector<steering::released_packet> absent(std::uint32_t agent,
                                                  bool certain = true) {
        peer::absent answer;
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

TEST_CASE("an opening goes to one agent, with the others as candidates") {
    balancer b;
    const auto first = b.on(opening);
    CHECK(first.kind == dispatch_kind::send);
    CHECK(first.carry == peer::carry_kind::open);
    REQUIRE(first.to.size() == 1);
    CHECK(first.candidates.size() == 2);
    const auto copy = b.on(opening);
    CHECK(copy.basis == dispatch_basis::repeated_opening);
    CHECK(copy.to == first.to);
}

TEST_CASE("without a route an opening is reset only if that is certain") {
    balancer b;
    flow::packet unknown = opening;
    unknown.key.service.port = 9;
    CHECK(b.on(unknown).kind == dispatch_kind::reset);
    b.now = {10'000};
    CHECK(b.on(unknown).kind == dispatch_kind::drop);
    b.routes.confirm({5}, b.now);
    CHECK(b.on(unknown).kind == dispatch_kind::reset);
}

// Found on lampa-cista, trouble-1: 39 openings came to balancers that had no
// configuration for their first 40 ms; the copies of those that were dropped
// came after the objective of 120 ms.
TEST_CASE("while nothing is known openings wait for it, and are not reset") {
    balancer b(0);
    const auto early = b.on(opening);
    CHECK(early.kind == dispatch_kind::hold);
    CHECK(early.basis == dispatch_basis::starting);
    CHECK(b.dispatcher.has_pending_packets());
    b.now = {40};
    CHECK(b.dispatcher.tick(b.now).empty());
    b.members.on_report(b.now, report_of(1));
    b.now = {50};
    const auto released = b.dispatcher.tick(b.now);
    REQUIRE(released.size() == 1);
    CHECK(released[0].key == opening.key);
    CHECK(released[0].step.kind == dispatch_kind::send);
    CHECK(released[0].step.to == std::vector{agent_at(1)});
    CHECK(released[0].packet == std::vector<std::byte>(4));
    CHECK_FALSE(b.dispatcher.has_pending_packets());
}

TEST_CASE("an opening waits for knowledge no longer than it is of use") {
    balancer b(0);
    CHECK(b.on(opening).kind == dispatch_kind::hold);
    b.now = {110};
    CHECK(b.dispatcher.tick(b.now).empty());
    b.now = {111};
    const auto released = b.dispatcher.tick(b.now);
    REQUIRE(released.size() == 1);
    CHECK(released[0].step.kind == dispatch_kind::drop);
    CHECK_FALSE(b.dispatcher.has_pending_packets());
}

TEST_CASE("packets that wait for knowledge are bounded and keep their order") {
    balancer b(0);
    const std::size_t most = balancer::make_settings().max_early_packets;
    for (std::size_t i = 0; i < most; ++i) {
        const auto port = static_cast<std::uint16_t>(i + 1);
        CHECK(b.on(packet_of(port, flow::tcp_flags::syn_bit)).kind ==
              dispatch_kind::hold);
    }
    CHECK(b.on(packet_of(9999, flow::tcp_flags::syn_bit)).kind ==
          dispatch_kind::drop);
    b.members.on_report(b.now, report_of(1));
    const auto released = b.dispatcher.tick(b.now);
    REQUIRE(released.size() == most);
    for (std::size_t i = 0; i < most; ++i) {
        CHECK(released[i].key.caller.port == i + 1);
    }
}

TEST_CASE("a data packet that comes before any agent is known waits too") {
    balancer b(0);
    CHECK(b.on(data).kind == dispatch_kind::hold);
    b.members.on_report(b.now, report_of(1));
    const auto released = b.dispatcher.tick(b.now);
    REQUIRE(released.size() == 1);
    CHECK(released[0].step.basis == dispatch_basis::searching);
    CHECK(b.dispatcher.has_pending_packets());
}

// Found on npwl-lb, scale-1: after all processes were killed 26 downloads were
// reset while their agents were just starting.
TEST_CASE("while the agents of a service start its openings wait") {
    balancer b(0);
    auto starting = report_of(1);
    starting.takes_openings = false;
    starting.starting = true;
    b.members.on_report({0}, starting);
    CHECK(b.on(opening).kind == dispatch_kind::hold);
    CHECK(b.on(opening).basis == dispatch_basis::starting);
    starting.starting = false;
    b.members.on_report({0}, starting);
    CHECK(b.on(opening).kind == dispatch_kind::reset);
}

TEST_CASE("an opening that no agent can take is reset at once") {
    balancer b(0);
    auto full = report_of(1);
    full.takes_openings = false;
    b.members.on_report({0}, full);
    CHECK(b.on(opening).kind == dispatch_kind::reset);
    CHECK(b.on(opening).basis == dispatch_basis::no_candidate);
}

TEST_CASE("a located flow goes straight to its agent") {
    balancer b;
    b.dispatcher.on_owned(b.now, data.key, agent_at(2));
    const auto sent = b.on(data);
    CHECK(sent.basis == dispatch_basis::located);
    CHECK(sent.to == std::vector{agent_at(2)});
}

TEST_CASE("an unknown flow is searched, and what came meanwhile goes on") {
    balancer b;
    const auto searched = b.on(data);
    CHECK(searched.basis == dispatch_basis::searching);
    CHECK(searched.carry == peer::carry_kind::locate);
    CHECK(searched.to.size() == 3);
    CHECK(b.on(data).kind == dispatch_kind::hold);
    const auto released = b.dispatcher.on_owned(b.now, data.key, agent_at(3));
    REQUIRE(released.size() == 1);
    CHECK(released[0].step.to == std::vector{agent_at(3)});
    CHECK_FALSE(b.dispatcher.has_pending_packets());
}

TEST_CASE("a search goes on when all answered, or after its time") {
    balancer b(10);
    const auto first = b.on(data);
    CHECK(first.to.size() == 3);
    SUBCASE("all answered") {
        std::vector<steering::released_packet> next;
        for (const support::endpoint agent : first.to) {
            CHECK(next.empty());
            next = b.absent(agent.address.value - 0x0a000000U);
        }
        REQUIRE(next.size() == 1);
        CHECK(next[0].step.to.size() == 7);
    }
    SUBCASE("one is dark") {
        b.now = {60};
        const auto next = b.dispatcher.tick(b.now);
        REQUIRE(next.size() == 1);
        CHECK(next[0].step.to.size() == 7);
    }
}

TEST_CASE("a flow that every agent rules out is reset") {
    balancer b;
    b.on(data);
    CHECK(b.absent(1).empty());
    CHECK(b.absent(2).empty());
    const auto verdict = b.absent(3);
    REQUIRE(verdict.size() == 1);
    CHECK(verdict[0].step.kind == dispatch_kind::reset);
    CHECK(verdict[0].step.basis == dispatch_basis::nowhere);
}

TEST_CASE("a flow is not reset while any agent may have it") {
    balancer b;
    b.on(data);
    SUBCASE("one agent is not certain") {
        b.absent(1);
        b.absent(2, false);
        CHECK(b.absent(3).empty());
    }
    SUBCASE("one agent is silent") {
        b.absent(1);
        CHECK(b.absent(2).empty());
        b.now = {400};
        CHECK(b.dispatcher.tick(b.now).empty());
        CHECK_FALSE(b.dispatcher.has_pending_packets());
    }
    SUBCASE("the list of agents may not be whole") {
        b.dispatcher.set_members_complete(false);
        b.absent(1);
        b.absent(2);
        CHECK(b.absent(3).empty());
        b.now = {500};
        b.dispatcher.set_members_complete(true);
        const auto verdict = b.dispatcher.tick(b.now);
        REQUIRE(verdict.size() == 1);
        CHECK(verdict[0].step.kind == dispatch_kind::reset);
    }
    SUBCASE("an agent became known meanwhile") {
        b.absent(1);
        b.absent(2);
        b.members.on_report(b.now, report_of(4));
        const auto next = b.absent(3);
        REQUIRE(next.size() == 1);
        CHECK(next[0].step.to == std::vector{agent_at(4)});
    }
}

TEST_CASE("an agent that was given up counts as ruled out") {
    balancer b;
    const auto limit = steering::member_settings{}.lost_after;
    b.now = support::instant{0} + limit + support::milliseconds(1);
    b.members.on_report(b.now, report_of(1));
    b.members.on_report(b.now, report_of(2));
    b.on(data);
    b.absent(1);
    b.absent(2);
    b.now = b.now + support::milliseconds(100);
    const auto verdict = b.dispatcher.tick(b.now);
    REQUIRE(verdict.size() == 1);
    CHECK(verdict[0].step.kind == dispatch_kind::reset);
}

TEST_CASE("a packet that its agent gives back is searched elsewhere") {
    balancer b;
    b.dispatcher.on_owned(b.now, data.key, agent_at(2));
    peer::absent answer;
    answer.key = data.key;
    answer.agent = agent_at(2);
    answer.packet = bytes;
    const auto next = b.dispatcher.on_absent(b.now, answer);
    REQUIRE(next.size() == 1);
    CHECK(next[0].step.basis == dispatch_basis::searching);
    for (const support::endpoint agent : next[0].step.to) {
        CHECK(agent != agent_at(2));
    }
    CHECK(b.on(data).kind == dispatch_kind::hold);
}

TEST_CASE("the flows of a lost agent are named once") {
    balancer b;
    b.dispatcher.on_owned(b.now, data.key, agent_at(2));
    b.on(data);
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

TEST_CASE("a flow that its agent told of is not searched") {
    balancer b;
    CHECK(b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(3))
              .empty());
    const auto sent = b.on(data);
    CHECK(sent.basis == dispatch_basis::located);
    CHECK(sent.to == std::vector{agent_at(3)});
    // What is known already is as good as what is told.
    b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(2));
    CHECK(b.on(data).to == std::vector{agent_at(3)});
}

TEST_CASE("what waits for a search goes on when an agent tells of the flow") {
    balancer b;
    b.on(data);
    CHECK(b.on(data).kind == dispatch_kind::hold);
    const auto released =
        b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(2));
    REQUIRE(released.size() == 1);
    CHECK(released[0].step.to == std::vector{agent_at(2)});
    CHECK_FALSE(b.dispatcher.has_pending_packets());
}

TEST_CASE("a wrong word about a flow is corrected by a search") {
    balancer b;
    b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(3));
    CHECK(b.on(data).to == std::vector{agent_at(3)});
    peer::absent answer;
    answer.key = data.key;
    answer.agent = agent_at(3);
    answer.packet = bytes;
    const auto next = b.dispatcher.on_absent(b.now, answer);
    REQUIRE(next.size() == 1);
    CHECK(next[0].step.basis == dispatch_basis::searching);
    CHECK(next[0].step.to.size() == 2);
}

// A balancer that is cut off from some agents must not reset what others carry.
TEST_CASE("of a lost agent's flows only those carried here are named") {
    balancer b;
    b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(3));
    CHECK(b.dispatcher.extract_lost_flows(agent_at(3)).empty());
    b.dispatcher.on_flow_advertised(b.now, {data.key, 500}, agent_at(3));
    b.on(data);
    CHECK(b.dispatcher.extract_lost_flows(agent_at(3)).size() == 1);
}

// Load: all processes were killed in a fleet of 43 agents, and the next packet
// of each of 2,000 flows, sent again after 200, 400 and 800 ms, is looked for
// everywhere. On the bench searches without a bound filled the links: 18 s
// later a tenth of the requests still failed.
TEST_CASE("searches for all flows at once leave room for other messages") {
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
            count(b.on(packet_of(port, flow::tcp_flags::ack_bit, 900, 4)));
        }
        for (const auto& each : b.dispatcher.tick(b.now)) {
            count(each.step);
        }
        for (std::uint32_t i = 1; i <= agents; ++i) {
            b.members.on_report(b.now, report_of(i));
        }
    }
    const double seconds = static_cast<double>(span_ms) / 1000.0;
    // Searches that have begun go on to their end.
    const double owed = settings.search_message_burst * agents /
                        static_cast<double>(settings.first_step_size);
    CHECK(static_cast<double>(messages) <=
          settings.search_messages_per_second * seconds + owed);
    CHECK(messages > 0);
}
