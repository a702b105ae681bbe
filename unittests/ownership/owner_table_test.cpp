#include <guavastair/ownership.hpp>

#include <doctest/doctest.h>

namespace flow = guavastair::flow;
namespace ownership = guavastair::ownership;
namespace support = guavastair::support;

using ownership::action_kind;
using ownership::basis;
using ownership::gate_answer;
using ownership::gate_reason;

static const support::endpoint service{{0xc6120001}, 443};
static const support::endpoint caller{{0x64400001}, 1025};
static const support::endpoint balancer{{0x0a010001}, 7000};
static const support::endpoint other_agent{{0x0a010002}, 7000};
static const support::endpoint third_agent{{0x0a010003}, 7000};

static flow::packet packet(std::uint8_t flags, std::uint32_t acknowledgement,
                           std::uint16_t size = 0) {
    return {{caller, service}, {flags}, 500, acknowledgement, size};
}

static const flow::packet opening = packet(flow::tcp_flags::syn_bit, 0);
static const flow::packet syn_ack = {
    {caller, service},
    {flow::tcp_flags::syn_bit | flow::tcp_flags::ack_bit},
    1000,
    501,
    0};
static const flow::packet request = packet(flow::tcp_flags::ack_bit, 1001, 100);
static const flow::packet answer = {
    {caller, service}, {flow::tcp_flags::ack_bit}, 1001, 601, 400};

static const ownership::gate_state open_gate{gate_answer::accept,
                                             gate_reason::open};
static const ownership::gate_state cold_gate{gate_answer::refuse,
                                             gate_reason::cold};

static const ownership::gate_state busy_gate{gate_answer::prefer_other,
                                             gate_reason::busy};
static const ownership::gate_state full_gate{gate_answer::refuse,
                                             gate_reason::full};
static const support::endpoint self{{0x0a010009}, 7000};

static ownership::owner_settings make_settings() {
    ownership::owner_settings settings;
    settings.self = self;
    return settings;
}

struct agent_fixture {
    ownership::owner_table table{make_settings(), {0}};
    support::instant now{0};

    ownership::action open(const ownership::gate_state& gate = open_gate,
                           std::vector<support::endpoint> candidates = {},
                           bool was_passed_on = false) {
        return this->offer(
            gate, {balancer, std::move(candidates), {}, false, was_passed_on});
    }
    ownership::action offer(const ownership::gate_state& gate,
                            ownership::offer incoming) {
        return this->table.on_opening(this->now, opening, gate,
                                      std::move(incoming));
    }
    void open_flow() {
        REQUIRE(this->open().kind == action_kind::deliver);
        this->table.on_server_packet(this->now, syn_ack);
        REQUIRE(this->receive(request).kind == action_kind::deliver);
    }
    ownership::action receive(const flow::packet& received,
                              bool is_locate = false) {
        return this->table.on_packet(this->now, received, balancer, is_locate);
    }
};

TEST_CASE("an opening and its retransmission are delivered") {
    agent_fixture a;
    CHECK(a.open().why == basis::opened);
    CHECK(a.open(cold_gate).why == basis::repeated_opening);
}

TEST_CASE("a refused opening is passed on to the next candidate") {
    agent_fixture a;
    const auto action = a.open(cold_gate, {other_agent, third_agent});
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.next == other_agent);
    CHECK(action.next_offer.candidates == std::vector{third_agent});
    CHECK(action.next_offer.willing.empty());
    CHECK_FALSE(action.next_offer.is_last);
}

TEST_CASE("a busy agent passes an opening on and adds itself as willing") {
    agent_fixture a;
    const auto action = a.open(busy_gate, {other_agent});
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.next == other_agent);
    CHECK(action.next_offer.willing == std::vector{self});
    CHECK_FALSE(action.next_offer.is_last);
}

TEST_CASE("a busy agent without second offers does not add itself as willing") {
    ownership::owner_settings settings = make_settings();
    settings.accepts_second_offers = false;
    ownership::owner_table table(settings, {0});
    const auto action =
        table.on_opening({0}, opening, busy_gate, {balancer, {other_agent}});
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.next_offer.willing.empty());
}

TEST_CASE("the last candidate passes an opening back to a willing agent") {
    agent_fixture a;
    const auto action =
        a.offer(full_gate, {balancer, {}, {other_agent, third_agent}});
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.next == other_agent);
    CHECK(action.next_offer.is_last);
    CHECK(action.next_offer.willing == std::vector{third_agent});
}

TEST_CASE("a busy agent accepts an opening on its second offer") {
    agent_fixture a;
    CHECK(a.offer(busy_gate, {balancer, {}, {third_agent}, true, true}).why ==
          basis::opened);
}

TEST_CASE(
    "an opening refused on its second offer is reset after the last agent") {
    agent_fixture a;
    const auto passed_on =
        a.offer(full_gate, {balancer, {}, {third_agent}, true, true});
    CHECK(passed_on.kind == action_kind::pass_on);
    CHECK(passed_on.next == third_agent);
    CHECK(passed_on.next_offer.willing.empty());
    CHECK(a.offer(full_gate, {balancer, {}, {}, true, true}).kind ==
          action_kind::reset);
}

TEST_CASE("a busy agent accepts an opening if no candidate is left") {
    agent_fixture a;
    CHECK(a.open(busy_gate).why == basis::opened);
}

TEST_CASE("a starting agent passes an opening on to a willing agent") {
    agent_fixture a;
    const ownership::gate_state starting{gate_answer::refuse,
                                         gate_reason::unregistered};
    const auto action = a.offer(starting, {balancer, {}, {other_agent}});
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.next == other_agent);
}

TEST_CASE("an opening that no agent accepts is reset at once") {
    agent_fixture a;
    const auto action = a.open(cold_gate);
    CHECK(action.kind == action_kind::reset);
    CHECK(action.why == basis::turned_away);
}

TEST_CASE("a starting agent drops an opening if no other agent is left") {
    agent_fixture a;
    const ownership::gate_state starting{gate_answer::refuse,
                                         gate_reason::unregistered};
    CHECK(a.open(starting).kind == action_kind::drop);
    CHECK(a.open(starting, {other_agent}).kind == action_kind::pass_on);
}

TEST_CASE("an opening is reset at once if all servers are full") {
    agent_fixture a;
    CHECK(a.open(full_gate, {other_agent}).kind == action_kind::pass_on);
    CHECK(a.open(full_gate).kind == action_kind::reset);
    flow::packet second = opening;
    second.acknowledgement = 1;
    CHECK(a.table.on_opening(a.now, second, full_gate, {balancer}).kind ==
          action_kind::reset);
}

TEST_CASE("accepting a passed-on opening notifies the balancer") {
    agent_fixture a;
    CHECK(a.open(open_gate, {}, true).notify_balancer);
}

TEST_CASE("an opening that the server returns is passed on") {
    agent_fixture a;
    a.open(open_gate, {other_agent});
    const auto action = a.table.on_returned(a.now, opening);
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.next == other_agent);
    CHECK(action.balancer == balancer);
}

TEST_CASE("a search for an open flow notifies the balancer of the owner") {
    agent_fixture a;
    a.open_flow();
    CHECK(a.receive(request).why == basis::owned);
    CHECK_FALSE(a.receive(request).notify_balancer);
    CHECK(a.receive(request, true).notify_balancer);
}

TEST_CASE("a flow whose caller acknowledged another server is absent") {
    agent_fixture a;
    a.open();
    a.table.on_server_packet(a.now, syn_ack);
    const flow::packet other_acknowledgement =
        packet(flow::tcp_flags::ack_bit, 0x70000000, 100);
    const auto action = a.receive(other_acknowledgement);
    CHECK(action.kind == action_kind::answer_absent);
    CHECK(action.return_packet);
    CHECK_FALSE(action.certain);
}

TEST_CASE("a recently started agent queries its server about a flow once") {
    agent_fixture a;
    const auto asked = a.receive(request, true);
    CHECK(asked.kind == action_kind::deliver);
    CHECK(asked.why == basis::asked_server);

    SUBCASE("the server has the flow") {
        a.table.on_server_packet(a.now, answer);
        CHECK(a.receive(request).why == basis::owned);
    }
    SUBCASE("the server returns the packet") {
        const auto returned = a.table.on_returned(a.now, request);
        CHECK(returned.kind == action_kind::answer_absent);
        CHECK(returned.certain);
        CHECK_FALSE(returned.return_packet);
        const auto again = a.receive(request);
        CHECK(again.kind == action_kind::answer_absent);
        CHECK(again.certain);
    }
}

TEST_CASE("an agent that saw its server start does not query it") {
    agent_fixture a;
    a.table.mark_all_flows_known();
    const auto action = a.receive(request, true);
    CHECK(action.kind == action_kind::answer_absent);
    CHECK(action.certain);
}

TEST_CASE("an open flow whose packet the server returns is lost") {
    agent_fixture a;
    a.open_flow();
    const auto action = a.table.on_returned(a.now, request);
    CHECK(action.kind == action_kind::reset);
    CHECK(action.why == basis::lost_with_server);
    CHECK(a.receive(request).why == basis::lost_with_server);
}

TEST_CASE("the flows of a lost server are listed only once") {
    agent_fixture a;
    a.open_flow();
    CHECK(a.table.on_server_lost(a.now).size() == 1);
    CHECK(a.table.on_server_lost(a.now).empty());
    CHECK(a.receive(request).kind == action_kind::reset);
}

TEST_CASE("a request is in progress from the flow's opening to the answer") {
    agent_fixture a;
    CHECK(a.table.load().in_progress == 0);
    a.open();
    CHECK(a.table.load().in_progress == 1);
    a.table.on_server_packet(a.now, syn_ack);
    a.receive(request);
    CHECK(a.table.load().in_progress == 1);
    a.table.on_server_packet(a.now, answer);
    CHECK(a.table.load().in_progress == 0);
    a.receive(request);
    CHECK(a.table.load().in_progress == 1);
}

TEST_CASE(
    "an answer reports the requests in progress at its request's arrival") {
    agent_fixture a;
    a.open();
    a.table.on_server_packet(a.now, syn_ack);
    a.receive(request);
    a.now = {30};
    const auto answered = a.table.on_server_packet(a.now, answer);
    REQUIRE(answered.has_value());
    CHECK(answered->response_time.ms == 30);
    CHECK(answered->in_progress == 1);
    CHECK_FALSE(a.table.on_server_packet(a.now, answer).has_value());
}

TEST_CASE("an opening without a request stops counting after its timeout") {
    agent_fixture a;
    a.open();
    a.now = {400};
    a.table.tick(a.now);
    CHECK(a.table.load().in_progress == 0);
}

TEST_CASE("a request stops counting after its timeout") {
    agent_fixture a;
    a.open_flow();
    a.now = {1900};
    a.table.tick(a.now);
    CHECK(a.table.load().in_progress == 1);
    a.now = {2100};
    a.table.tick(a.now);
    CHECK(a.table.load().in_progress == 0);
    CHECK(a.table.owns(request.key));
}

TEST_CASE("an idle flow is removed after the idle timeout") {
    agent_fixture a;
    a.open_flow();
    a.now = {59'000};
    a.table.tick(a.now);
    CHECK(a.table.owns(request.key));
    a.now = {61'000};
    a.table.tick(a.now);
    CHECK_FALSE(a.table.owns(request.key));
}

TEST_CASE("only flows of the minimum age are listed") {
    agent_fixture a;
    a.open_flow();
    CHECK(a.table.open_flows({500}, support::milliseconds(1000)).empty());
    const auto listed = a.table.open_flows({1500}, support::milliseconds(1000));
    REQUIRE(listed.size() == 1);
    CHECK(listed[0].acknowledged == 1001);
}

TEST_CASE("the table passes openings on when it is full") {
    ownership::owner_settings settings;
    settings.max_flows = 1;
    ownership::owner_table table(settings, {0});
    table.on_opening({0}, opening, open_gate, {balancer});
    flow::packet another = opening;
    another.key.caller.port = 9;
    const auto action =
        table.on_opening({0}, another, open_gate, {balancer, {other_agent}});
    CHECK(action.kind == action_kind::pass_on);
    CHECK(action.why == basis::table_full);
}

// Guards against an added route that is refused (effsa-lb-grown).
TEST_CASE("an opening that no agent can rule on for lack of the newer "
          "configuration is left to its copies") {
    const ownership::gate_state outdated_gate{gate_answer::refuse,
                                              gate_reason::outdated};
    agent_fixture a;
    ownership::offer first{balancer, {other_agent}};
    first.config_revision = {40};
    const auto passed =
        a.table.on_opening(a.now, opening, outdated_gate, first);
    CHECK(passed.kind == action_kind::pass_on);
    CHECK(passed.next == other_agent);
    CHECK(passed.next_offer.config_revision == support::revision{40});
    const auto last =
        a.table.on_opening(a.now, opening, outdated_gate, passed.next_offer);
    CHECK(last.kind == action_kind::drop);
    CHECK(last.why == basis::outdated);
    const auto copy = a.open();
    CHECK(copy.why == basis::opened);
}
