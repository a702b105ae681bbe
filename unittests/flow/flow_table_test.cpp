#include <guavastair/flow.hpp>

#include <doctest/doctest.h>

#include <vector>

namespace flow = guavastair::flow;
namespace placement = guavastair::placement;
namespace support = guavastair::support;

using flow::action_kind;
using flow::admission_decision;
using flow::decision_basis;

static const support::endpoint service{{0xc0000201}, 443};
static const support::endpoint caller{{0xc6336401}, 40000};

/// Candidate number `number`; the agent under test is number 1.
static placement::candidate candidate(std::uint32_t number) {
    return {{number}, {{0x0a000000U + number}, 7000}};
}

static flow::frame_header frame_to(const std::vector<std::uint32_t>& numbers,
                                   std::uint8_t hop = 0) {
    flow::frame_header header;
    for (const std::uint32_t number : numbers) {
        header.candidates.items[header.candidates.size++] = candidate(number);
    }
    header.hop = hop;
    header.passes = hop;
    return header;
}

static flow::packet packet_of(std::uint8_t flags, std::uint32_t ack = 0) {
    return {{caller, service}, {flags}, 500, ack, 0};
}

static const flow::packet syn = packet_of(flow::tcp_flags::syn_bit);

struct fixed_admission final : flow::admission_policy {
    admission_decision answer = admission_decision::take;
    admission_decision decide_admission(support::instant) override {
        return this->answer;
    }
};

/// Agent number 1, past its opening delay, with the time of its own.
struct agent {
    explicit agent(flow::flow_table_settings settings = {})
        : table({candidate(1).id, candidate(1).data, service}, settings, {}) {}

    flow::agent_action on(const flow::frame_header& header,
                          const flow::packet& packet) {
        return this->table.on_packet(header, packet, this->now, this->admission,
                                     this->own_view);
    }
    /// Opens the flow and lets the stack answer with sequence 1000.
    void open() {
        REQUIRE(this->on(frame_to({1, 2}), syn).kind == action_kind::deliver);
        this->table.on_syn_ack_sent(caller, 1000);
    }

    support::instant now{60'000};
    fixed_admission admission;
    const placement::service_table* own_view = nullptr;
    flow::flow_table table;
};

static const flow::packet ack_of_ours =
    packet_of(flow::tcp_flags::ack_bit, 1001);
static const flow::packet ack_of_other =
    packet_of(flow::tcp_flags::ack_bit, 7777);

static void check_passed(const flow::agent_action& action, std::uint32_t to,
                         decision_basis basis) {
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.next == candidate(to));
    CHECK(action.basis == basis);
    CHECK(action.header.candidates[action.header.hop] == candidate(to));
    CHECK(action.header.passes >= action.header.hop);
}

TEST_CASE("a flow opens, completes and closes where it was taken") {
    agent a;
    CHECK(a.on(frame_to({1, 2}), syn).basis == decision_basis::opened);
    CHECK(a.on(frame_to({1, 2}), ack_of_ours).kind == action_kind::pass_on);
    a.table.on_syn_ack_sent(caller, 1000);
    CHECK(a.on(frame_to({1, 2}), syn).basis == decision_basis::owned);
    CHECK(a.on(frame_to({2, 1}, 1), ack_of_ours).basis ==
          decision_basis::completed);
    CHECK(a.on(frame_to({1, 2}), ack_of_other).basis == decision_basis::owned);
    CHECK(a.table.counts().established == 1);
    a.table.on_flow_closed(caller);
    CHECK_FALSE(a.table.owns(caller));
}

TEST_CASE("an answer to another agent's SYN-ACK completes nothing here") {
    agent a;
    a.open();
    check_passed(a.on(frame_to({1, 2}), ack_of_other), 2,
                 decision_basis::not_owner);
    const auto reset = packet_of(flow::tcp_flags::rst_bit);
    check_passed(a.on(frame_to({1, 2}), reset), 2, decision_basis::not_owner);
    CHECK(a.table.counts().established == 0);
}

TEST_CASE("a half-open flow expires silently unless it is asked for again") {
    agent a;
    a.open();
    a.now = a.now + support::seconds(20);
    CHECK(a.on(frame_to({1, 2}), syn).basis == decision_basis::owned);
    a.now = a.now + support::seconds(20);
    a.table.tick(a.now);
    CHECK(a.table.owns(caller));
    a.now = a.now + support::seconds(10);
    a.table.tick(a.now);
    CHECK_FALSE(a.table.owns(caller));
}

TEST_CASE("the first of two choices may prefer the other, the second not") {
    agent a;
    a.admission.answer = admission_decision::prefer_other;
    check_passed(a.on(frame_to({1, 2, 3}), syn), 2,
                 decision_basis::preferred_other);
    CHECK(a.on(frame_to({2, 1, 3}, 1), syn).basis == decision_basis::opened);
    agent alone;
    alone.admission.answer = admission_decision::prefer_other;
    CHECK(alone.on(frame_to({1}), syn).basis == decision_basis::opened);
}

TEST_CASE("a refused flow is offered to three, then reset") {
    agent a;
    a.admission.answer = admission_decision::refuse;
    check_passed(a.on(frame_to({1, 2, 3, 4}), syn), 2, decision_basis::refused);
    check_passed(a.on(frame_to({2, 1, 3, 4}, 1), syn), 3,
                 decision_basis::refused);
    CHECK(a.on(frame_to({2, 3, 1, 4}, 2), syn).kind == action_kind::reset);
    CHECK(a.on(frame_to({1}), syn).kind == action_kind::reset);
}

TEST_CASE("a draining agent steps aside and keeps its flows") {
    agent a;
    a.open();
    CHECK(a.on(frame_to({1}), ack_of_ours).kind == action_kind::deliver);
    a.table.set_draining(true);
    CHECK(a.on(frame_to({1}), ack_of_ours).kind == action_kind::deliver);
    flow::packet other = syn;
    other.key.caller.port = 1;
    const auto action = a.on(frame_to({1, 2, 3}), other);
    check_passed(action, 2, decision_basis::refused);
    CHECK(action.header.hop == 0);
    CHECK(action.header.candidates.size == 2);
    CHECK(a.on(frame_to({1}), other).kind == action_kind::reset);
}

TEST_CASE("a new agent passes openings on until views list it") {
    agent a;
    a.now = {4999};
    CHECK(a.on(frame_to({1, 2}), syn).basis == decision_basis::preferred_other);
    a.now = {5000};
    CHECK(a.on(frame_to({1, 2}), syn).basis == decision_basis::opened);
}

TEST_CASE("a packet of another service is never delivered") {
    agent a;
    flow::packet foreign = syn;
    foreign.key.service.port = 80;
    const auto ours = a.on(frame_to({1, 2}), foreign);
    CHECK(ours.kind == action_kind::drop);
    CHECK(ours.reason == flow::drop_reason::foreign_service);
    auto reused = frame_to({9, 2});
    reused.candidates.items[0].data = candidate(1).data;
    check_passed(a.on(reused, foreign), 2, decision_basis::wrong_member);
    reused.candidates.size = 1;
    CHECK(a.on(reused, foreign).kind == action_kind::drop);
}

TEST_CASE("a frame for a former agent opens nothing if another can be asked") {
    agent a;
    auto former = frame_to({9, 2});
    former.candidates.items[0].data = candidate(1).data;
    check_passed(a.on(former, syn), 2, decision_basis::wrong_member);
    former.candidates.size = 1;
    CHECK(a.on(former, syn).basis == decision_basis::opened);
}

TEST_CASE("a redirect leads straight to the agent that was asked") {
    agent a;
    a.admission.answer = admission_decision::refuse;
    a.on(frame_to({1, 5, 6}), syn);
    check_passed(a.on(frame_to({1, 2, 3, 5}), ack_of_other), 5,
                 decision_basis::redirected);
    // A copy of the opening packet follows.
    check_passed(a.on(frame_to({1, 2, 5}), syn), 5, decision_basis::refused);
    // Not back to where it has been, nor where no present view lists it.
    check_passed(a.on(frame_to({5, 1, 2}, 1), ack_of_other), 2,
                 decision_basis::not_owner);
    check_passed(a.on(frame_to({1, 2}), ack_of_other), 2,
                 decision_basis::not_owner);
    a.now = a.now + support::seconds(300);
    a.table.tick(a.now);
    CHECK(a.table.counts().redirects == 0);
}

TEST_CASE("nothing is passed to a member that has left") {
    agent a;
    a.admission.answer = admission_decision::refuse;
    a.on(frame_to({1, 5}), syn);
    a.table.on_member_left(candidate(5).id);
    CHECK(a.table.counts().redirects == 0);
    check_passed(a.on(frame_to({1, 5, 2}), ack_of_other), 2,
                 decision_basis::not_owner);
    check_passed(a.on(frame_to({1, 5, 2}), syn), 2, decision_basis::refused);
}

TEST_CASE("a flow found nowhere is reset once views have had time") {
    agent a;
    const auto last = frame_to({2, 1}, 1);
    CHECK(a.on(last, ack_of_other).reason ==
          flow::drop_reason::owner_not_found);
    a.now = a.now + support::milliseconds(5999);
    CHECK(a.on(last, ack_of_other).kind == action_kind::drop);
    a.now = a.now + support::milliseconds(1);
    CHECK(a.on(last, packet_of(flow::tcp_flags::rst_bit)).kind ==
          action_kind::drop);
    CHECK(a.on(last, ack_of_other).kind == action_kind::reset);
    // Forgotten in between, the wait begins anew.
    CHECK(a.on(last, ack_of_other).kind == action_kind::drop);
    a.now = a.now + support::seconds(12);
    a.table.tick(a.now);
    CHECK(a.on(last, ack_of_other).kind == action_kind::drop);
}

TEST_CASE("a search goes on once in the agent's own view") {
    placement::service_members members{{"orders"}, service, {}};
    for (std::uint32_t number = 1; number <= 4; ++number) {
        placement::member m;
        m.id = candidate(number).id;
        m.data = candidate(number).data;
        members.members.push_back(m);
    }
    const placement::service_table own(members);
    agent a({.max_extended_searches = 2});
    a.own_view = &own;
    const auto action = a.on(frame_to({2, 1}, 1), ack_of_other);
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.header.extended);
    CHECK(action.header.hop == 0);
    CHECK(action.header.passes == 2);
    CHECK(action.header.candidates.size == 2);
    auto extended = frame_to({3, 1}, 1);
    extended.extended = true;
    CHECK(a.on(extended, ack_of_other).kind == action_kind::drop);
    CHECK(a.on(frame_to({1}), ack_of_other).kind == action_kind::pass_on);
    CHECK(a.on(frame_to({1}), ack_of_other).kind == action_kind::drop);
    a.table.tick(a.now);
    CHECK(a.on(frame_to({1}), ack_of_other).kind == action_kind::pass_on);
}

TEST_CASE("no part of the table grows past its bound") {
    agent a({.max_flows = 3,
             .max_half_open = 2,
             .max_redirects = 4,
             .max_lost_flows = 5});
    for (std::uint16_t port = 1; port < 100; ++port) {
        flow::packet opening = syn;
        opening.key.caller.port = port;
        const auto action = a.on(frame_to({1, 2}), opening);
        a.table.on_syn_ack_sent(opening.key.caller, 1000);
        CHECK((action.kind == action_kind::deliver) == (port <= 2));
        flow::packet unknown = ack_of_other;
        unknown.key.caller.port = static_cast<std::uint16_t>(port + 1000);
        a.on(frame_to({1}), unknown);
    }
    CHECK(a.table.counts().half_open == 2);
    CHECK(a.table.counts().redirects == 4);
    CHECK(a.table.counts().lost_flows == 5);
    for (std::uint16_t port = 1; port < 100; ++port) {
        flow::packet opening = syn;
        opening.key.caller.port = port;
        a.on(frame_to({1}), opening);
        a.table.on_syn_ack_sent(opening.key.caller, 1000);
        flow::packet completing = ack_of_ours;
        completing.key.caller.port = port;
        a.on(frame_to({1}), completing);
    }
    CHECK(a.table.counts().established == 3);
}

TEST_CASE("a packet is not passed on past the hop bound") {
    agent a;
    auto header = frame_to({1, 2, 3});
    header.passes = flow::max_passes;
    CHECK(a.on(header, ack_of_other).kind == action_kind::drop);
    a.admission.answer = admission_decision::refuse;
    CHECK(a.on(header, syn).kind == action_kind::reset);
}
