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

static flow::frame_header make_header(const std::vector<std::uint32_t>& numbers,
                                      std::uint8_t hop = 0) {
    flow::frame_header header;
    for (const std::uint32_t number : numbers) {
        header.candidates.items[header.candidates.size++] = candidate(number);
    }
    header.hop = hop;
    header.passes = hop;
    return header;
}

static flow::packet make_packet(std::uint8_t flags, std::uint32_t ack = 0) {
    return {{caller, service}, {flags}, 500, ack, 0};
}

static const flow::packet syn = make_packet(flow::tcp_flags::syn_bit);

struct fixed_admission final : flow::admission_policy {
    admission_decision decision = admission_decision::accept;
    admission_decision decide_admission(support::instant) override {
        return this->decision;
    }
};

/// Agent number 1 with its own clock, which starts after the opening delay.
struct agent {
    explicit agent(flow::flow_table_settings settings = {})
        : table({candidate(1).id, candidate(1).data, service}, settings, {}) {}

    flow::agent_action receive(const flow::frame_header& header,
                               const flow::packet& packet) {
        return this->table.on_packet(header, packet, this->now, this->admission,
                                     this->own_view);
    }
    /// Opens the flow; the TCP stack answers with sequence number 1000.
    void open() {
        REQUIRE(this->receive(make_header({1, 2}), syn).kind ==
                action_kind::deliver);
        this->table.on_syn_ack_sent(caller, 1000);
    }

    support::instant now{60'000};
    fixed_admission admission;
    const placement::service_table* own_view = nullptr;
    flow::flow_table table;
};

static const flow::packet matching_ack =
    make_packet(flow::tcp_flags::ack_bit, 1001);
static const flow::packet mismatched_ack =
    make_packet(flow::tcp_flags::ack_bit, 7777);

static void check_passed_on(const flow::agent_action& action, std::uint32_t to,
                            decision_basis basis) {
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.next == candidate(to));
    CHECK(action.basis == basis);
    CHECK(action.header.candidates[action.header.hop] == candidate(to));
    CHECK(action.header.passes >= action.header.hop);
}

TEST_CASE("a flow opens, completes its handshake and closes") {
    agent a;
    CHECK(a.receive(make_header({1, 2}), syn).basis == decision_basis::opened);
    CHECK(a.receive(make_header({1, 2}), matching_ack).kind ==
          action_kind::pass_on);
    a.table.on_syn_ack_sent(caller, 1000);
    CHECK(a.receive(make_header({1, 2}), syn).basis == decision_basis::owned);
    CHECK(a.receive(make_header({2, 1}, 1), matching_ack).basis ==
          decision_basis::completed);
    CHECK(a.receive(make_header({1, 2}), mismatched_ack).basis ==
          decision_basis::owned);
    CHECK(a.table.counts().established == 1);
    a.table.on_flow_closed(caller);
    CHECK_FALSE(a.table.owns(caller));
}

TEST_CASE("an ACK of another agent's SYN-ACK completes no handshake") {
    agent a;
    a.open();
    check_passed_on(a.receive(make_header({1, 2}), mismatched_ack), 2,
                    decision_basis::not_owner);
    const auto reset = make_packet(flow::tcp_flags::rst_bit);
    check_passed_on(a.receive(make_header({1, 2}), reset), 2,
                    decision_basis::not_owner);
    CHECK(a.table.counts().established == 0);
}

TEST_CASE("a half-open flow expires unless its SYN is retransmitted") {
    agent a;
    a.open();
    a.now = a.now + support::seconds(20);
    CHECK(a.receive(make_header({1, 2}), syn).basis == decision_basis::owned);
    a.now = a.now + support::seconds(20);
    a.table.tick(a.now);
    CHECK(a.table.owns(caller));
    a.now = a.now + support::seconds(10);
    a.table.tick(a.now);
    CHECK_FALSE(a.table.owns(caller));
}

TEST_CASE("only the first of two choices may prefer another candidate") {
    agent a;
    a.admission.decision = admission_decision::prefer_other;
    check_passed_on(a.receive(make_header({1, 2, 3}), syn), 2,
                    decision_basis::preferred_other);
    CHECK(a.receive(make_header({2, 1, 3}, 1), syn).basis ==
          decision_basis::opened);
    agent alone;
    alone.admission.decision = admission_decision::prefer_other;
    CHECK(alone.receive(make_header({1}), syn).basis == decision_basis::opened);
}

TEST_CASE("an opening packet refused by three candidates is reset") {
    agent a;
    a.admission.decision = admission_decision::refuse;
    check_passed_on(a.receive(make_header({1, 2, 3, 4}), syn), 2,
                    decision_basis::refused);
    check_passed_on(a.receive(make_header({2, 1, 3, 4}, 1), syn), 3,
                    decision_basis::refused);
    CHECK(a.receive(make_header({2, 3, 1, 4}, 2), syn).kind ==
          action_kind::reset);
    CHECK(a.receive(make_header({1}), syn).kind == action_kind::reset);
}

TEST_CASE("a draining agent keeps its flows but opens no new ones") {
    agent a;
    a.open();
    CHECK(a.receive(make_header({1}), matching_ack).kind ==
          action_kind::deliver);
    a.table.set_draining(true);
    CHECK(a.receive(make_header({1}), matching_ack).kind ==
          action_kind::deliver);
    flow::packet other = syn;
    other.key.caller.port = 1;
    const auto action = a.receive(make_header({1, 2, 3}), other);
    check_passed_on(action, 2, decision_basis::refused);
    CHECK(action.header.hop == 0);
    CHECK(action.header.candidates.size == 2);
    CHECK(a.receive(make_header({1}), other).kind == action_kind::reset);
}

TEST_CASE("a new agent passes opening packets on during its opening delay") {
    agent a;
    a.now = {4999};
    CHECK(a.receive(make_header({1, 2}), syn).basis ==
          decision_basis::preferred_other);
    a.now = {5000};
    CHECK(a.receive(make_header({1, 2}), syn).basis == decision_basis::opened);
}

TEST_CASE("a packet of another service is never delivered") {
    agent a;
    flow::packet foreign_packet = syn;
    foreign_packet.key.service.port = 80;
    const auto addressed_here = a.receive(make_header({1, 2}), foreign_packet);
    CHECK(addressed_here.kind == action_kind::drop);
    CHECK(addressed_here.reason == flow::drop_reason::foreign_service);
    auto reused_address_header = make_header({9, 2});
    reused_address_header.candidates.items[0].data = candidate(1).data;
    check_passed_on(a.receive(reused_address_header, foreign_packet), 2,
                    decision_basis::wrong_member);
    reused_address_header.candidates.size = 1;
    CHECK(a.receive(reused_address_header, foreign_packet).kind ==
          action_kind::drop);
}

TEST_CASE("a frame for a former agent opens no flow if a candidate remains") {
    agent a;
    auto former_agent_header = make_header({9, 2});
    former_agent_header.candidates.items[0].data = candidate(1).data;
    check_passed_on(a.receive(former_agent_header, syn), 2,
                    decision_basis::wrong_member);
    former_agent_header.candidates.size = 1;
    CHECK(a.receive(former_agent_header, syn).basis == decision_basis::opened);
}

TEST_CASE("a redirect leads to the agent that got the opening packet") {
    agent a;
    a.admission.decision = admission_decision::refuse;
    a.receive(make_header({1, 5, 6}), syn);
    check_passed_on(a.receive(make_header({1, 2, 3, 5}), mismatched_ack), 5,
                    decision_basis::redirected);
    // A duplicate of the opening packet follows the redirect.
    check_passed_on(a.receive(make_header({1, 2, 5}), syn), 5,
                    decision_basis::refused);
    // A redirect is not followed to a visited candidate or to one that neither
    // the frame nor the agent's view lists.
    check_passed_on(a.receive(make_header({5, 1, 2}, 1), mismatched_ack), 2,
                    decision_basis::not_owner);
    check_passed_on(a.receive(make_header({1, 2}), mismatched_ack), 2,
                    decision_basis::not_owner);
    a.now = a.now + support::seconds(300);
    a.table.tick(a.now);
    CHECK(a.table.counts().redirects == 0);
}

TEST_CASE("no packet is passed on to a member that has left") {
    agent a;
    a.admission.decision = admission_decision::refuse;
    a.receive(make_header({1, 5}), syn);
    a.table.on_member_left(candidate(5).id);
    CHECK(a.table.counts().redirects == 0);
    check_passed_on(a.receive(make_header({1, 5, 2}), mismatched_ack), 2,
                    decision_basis::not_owner);
    check_passed_on(a.receive(make_header({1, 5, 2}), syn), 2,
                    decision_basis::refused);
}

TEST_CASE("a flow without an owner is reset after a delay") {
    agent a;
    const auto last_hop_header = make_header({2, 1}, 1);
    CHECK(a.receive(last_hop_header, mismatched_ack).reason ==
          flow::drop_reason::owner_not_found);
    a.now = a.now + support::milliseconds(5999);
    CHECK(a.receive(last_hop_header, mismatched_ack).kind == action_kind::drop);
    a.now = a.now + support::milliseconds(1);
    CHECK(a.receive(last_hop_header, make_packet(flow::tcp_flags::rst_bit))
              .kind == action_kind::drop);
    CHECK(a.receive(last_hop_header, mismatched_ack).kind ==
          action_kind::reset);
    // The delay starts again after a reset and after the entry has expired.
    CHECK(a.receive(last_hop_header, mismatched_ack).kind == action_kind::drop);
    a.now = a.now + support::seconds(12);
    a.table.tick(a.now);
    CHECK(a.receive(last_hop_header, mismatched_ack).kind == action_kind::drop);
}

TEST_CASE("a search is extended once with the agent's own view") {
    placement::service_members members{{"orders"}, service, {}};
    for (std::uint32_t number = 1; number <= 4; ++number) {
        placement::member m;
        m.id = candidate(number).id;
        m.data = candidate(number).data;
        members.members.push_back(m);
    }
    const placement::service_table own_table(members);
    agent a({.max_extended_searches = 2});
    a.own_view = &own_table;
    const auto action = a.receive(make_header({2, 1}, 1), mismatched_ack);
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.header.extended);
    CHECK(action.header.hop == 0);
    CHECK(action.header.passes == 2);
    CHECK(action.header.candidates.size == 2);
    auto extended = make_header({3, 1}, 1);
    extended.extended = true;
    CHECK(a.receive(extended, mismatched_ack).kind == action_kind::drop);
    CHECK(a.receive(make_header({1}), mismatched_ack).kind ==
          action_kind::pass_on);
    CHECK(a.receive(make_header({1}), mismatched_ack).kind ==
          action_kind::drop);
    a.table.tick(a.now);
    CHECK(a.receive(make_header({1}), mismatched_ack).kind ==
          action_kind::pass_on);
}

TEST_CASE("every part of the table keeps its size limit") {
    agent a({.max_flows = 3,
             .max_half_open = 2,
             .max_redirects = 4,
             .max_unlocated_flows = 5});
    for (std::uint16_t port = 1; port < 100; ++port) {
        flow::packet opening = syn;
        opening.key.caller.port = port;
        const auto action = a.receive(make_header({1, 2}), opening);
        a.table.on_syn_ack_sent(opening.key.caller, 1000);
        CHECK((action.kind == action_kind::deliver) == (port <= 2));
        flow::packet unknown = mismatched_ack;
        unknown.key.caller.port = static_cast<std::uint16_t>(port + 1000);
        a.receive(make_header({1}), unknown);
    }
    CHECK(a.table.counts().half_open == 2);
    CHECK(a.table.counts().redirects == 4);
    CHECK(a.table.counts().unlocated_flows == 5);
    for (std::uint16_t port = 1; port < 100; ++port) {
        flow::packet opening = syn;
        opening.key.caller.port = port;
        a.receive(make_header({1}), opening);
        a.table.on_syn_ack_sent(opening.key.caller, 1000);
        flow::packet completing = matching_ack;
        completing.key.caller.port = port;
        a.receive(make_header({1}), completing);
    }
    CHECK(a.table.counts().established == 3);
}

TEST_CASE("a packet is not passed on more than max_passes times") {
    agent a;
    auto header = make_header({1, 2, 3});
    header.passes = flow::max_passes;
    CHECK(a.receive(header, mismatched_ack).kind == action_kind::drop);
    a.admission.decision = admission_decision::refuse;
    CHECK(a.receive(header, syn).kind == action_kind::reset);
}
