#include <guavastair/node.hpp>

#include <doctest/doctest.h>

namespace config = guavastair::config;
namespace control = guavastair::control;
namespace membership = guavastair::membership;
namespace node = guavastair::node;
namespace placement = guavastair::placement;
namespace support = guavastair::support;

namespace {

constexpr support::endpoint stock_address{support::ipv4_address{0x0a000001},
                                          80};

membership::member_view agent(std::uint64_t id, const char* data_centre) {
    membership::member_view view;
    view.record.id = {id};
    view.record.role = membership::role::agent;
    view.record.data_centre = {data_centre};
    view.record.service = {"stock"};
    view.record.weight = 2;
    view.record.state = membership::member_state::ready;
    view.record.data = {support::ipv4_address{0x7f000001},
                        static_cast<std::uint16_t>(9000 + id)};
    return view;
}

control::snapshot snapshot_of(std::vector<membership::member_view> members) {
    config::service_document document;
    document.name = {"stock"};
    document.address = stock_address;
    control::snapshot latest;
    latest.services = {
        std::make_shared<const config::service_document>(document)};
    latest.members = std::move(members);
    return latest;
}

std::size_t member_count(const control::snapshot& latest) {
    return node::members_of_services(latest).at(0).members.size();
}

} // namespace

TEST_CASE("draining and suspect agents remain members of their service") {
    auto draining = agent(1, "cairo-1");
    draining.record.state = membership::member_state::draining;
    auto suspect = agent(2, "cairo-1");
    suspect.liveness = membership::liveness::suspect;
    CHECK(member_count(snapshot_of({draining, suspect})) == 2);
}

TEST_CASE(
    "agents that have failed, have left, serve another service or are in a "
    "withdrawn data centre are not members") {
    auto failed = agent(1, "cairo-1");
    failed.liveness = membership::liveness::failed;
    auto left = agent(2, "cairo-1");
    left.record.state = membership::member_state::left;
    auto foreign = agent(3, "cairo-1");
    foreign.record.service = {"documents"};
    auto balancer = agent(4, "cairo-1");
    balancer.record.role = membership::role::balancer;
    auto latest = snapshot_of(
        {failed, left, foreign, balancer, agent(5, "cairo-2"), agent(6, "x")});
    latest.withdrawn = {{"cairo-2"}};
    const auto services = node::members_of_services(latest);
    REQUIRE(services.at(0).members.size() == 1);
    CHECK(services.at(0).members[0].id.value == 6);
}

TEST_CASE("a view reflects members and documents, and an unchanged service "
          "keeps its object") {
    node::view_builder builder;
    auto latest = snapshot_of({agent(1, "cairo-1")});
    const auto first = builder.update(latest);
    REQUIRE(first->find(stock_address) != nullptr);
    CHECK(builder.update(latest)->find_by_name({"stock"}) ==
          first->find_by_name({"stock"}));
    latest.services.clear();
    CHECK(builder.update(latest)->find(stock_address) == nullptr);
}
