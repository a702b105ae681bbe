#include "packet_builder.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace flow = guavastair::flow;
namespace placement = guavastair::placement;

static const flow::packet opening{
    {{{0xc6336401}, 40000}, {{0xc0000201}, 443}}, {0x02}, 1000, 0, 0};

static std::shared_ptr<const placement::fleet_view>
make_view(std::uint32_t members) {
    placement::service_members service{{"orders"}, {{0xc0000201}, 443}, {}};
    for (std::uint32_t i = 0; i < members; ++i) {
        placement::member m;
        m.id = {i + 1};
        m.data = {{0x0a000001 + i}, 7000};
        service.members.push_back(m);
    }
    return placement::fleet_view().with_service(std::move(service));
}

static flow::forward_action decide(const placement::fleet_view& view,
                                   const builder::bytes& packet) {
    flow::forward_action action;
    flow::forward_decision(view, packet, action);
    return action;
}

TEST_CASE("a packet goes to the first candidate in a frame that lists all") {
    const auto view = make_view(12);
    const auto action = decide(*view, builder::make_packet(opening));
    REQUIRE(action.kind == flow::forward_kind::send);
    const auto expected = view->find(opening.key.service)
                              ->candidates(flow::flow_hash(opening.key));
    CHECK(action.next == expected[0].data);
    CHECK(action.headers.key == opening.key);
    const auto frame =
        flow::parse_frame({action.header.data(), action.header_size});
    REQUIRE(frame.ok());
    CHECK(frame.value.header.hop == 0);
    CHECK(frame.value.header.passes == 0);
    const auto& listed = frame.value.header.candidates;
    CHECK(std::equal(listed.begin(), listed.end(), expected.begin(),
                     expected.end()));
}

TEST_CASE("all packets of a flow go to the same candidate") {
    const auto view = make_view(12);
    flow::packet later = opening;
    later.flags.bits = 0x18;
    later.sequence = 70000;
    later.payload_size = 500;
    CHECK(decide(*view, builder::make_packet(opening)).next ==
          decide(*view, builder::make_packet(later, 0, 3)).next);
}

TEST_CASE("a packet that cannot be forwarded is dropped with a reason") {
    const auto packet = builder::make_packet(opening);
    CHECK(decide(*make_view(0), packet).reason ==
          flow::drop_reason::no_candidates);
    flow::packet other = opening;
    other.key.service.port = 80;
    const auto action = decide(*make_view(3), builder::make_packet(other));
    CHECK(action.kind == flow::forward_kind::drop);
    CHECK(action.reason == flow::drop_reason::unknown_service);
    CHECK(decide(*make_view(3), {}).reason == flow::drop_reason::truncated);
}
