#include "whole_path.hpp"

#include <doctest/doctest.h>

using fixture::command_kind;
using fixture::whole_path;
namespace agent = guavastair::agent;
namespace standin = guavastair::standin;
namespace support = guavastair::support;

/// Feeds that last slightly more than one second, one for each connection.
static standin::caller_options feeds(std::size_t connections) {
    return {.mode = standin::caller_mode::feed,
            .connections = connections,
            .requests_per_connection = 1,
            .max_requests = connections,
            .duration = support::seconds(30),
            .feed_lines = 60,
            .feed_interval = support::milliseconds(20)};
}

TEST_CASE("a draining agent keeps its feeds and accepts no new flow") {
    for (const auto flow_protocol :
         {agent::protocol::tcp, agent::protocol::http}) {
        whole_path path({.flow_protocol = flow_protocol,
                         .server = {.slots = 20, .cold_slots = 20}});
        path.call(feeds(10));
        REQUIRE(path.run_until(
            [&] { return path.callers->summary().flows_opened == 10; }));
        path.run_for(support::milliseconds(300));
        const auto before =
            path.agents[0]->run_command(command_kind::drain).counters;
        REQUIRE(path.run_to_end());
        const standin::caller_summary summary = path.callers->summary();
        CAPTURE(standin::to_json(summary));
        CHECK(summary.done == 10);
        CHECK(summary.flows_broken == 0);
        CHECK(summary.wrong_bytes == 0);

        path.call({.connections = 10,
                   .requests_per_connection = 1,
                   .max_requests = 10,
                   .duration = support::seconds(30)});
        REQUIRE(path.run_to_end());
        CHECK(path.callers->summary().flows_opened >= 10);
        CHECK(path.callers->summary().wrong_bytes == 0);
        const auto after =
            path.agents[0]->run_command(command_kind::report).counters;
        CHECK(after.flows_opened == before.flows_opened);
        CHECK(after.flows_cut == 0);
    }
}

TEST_CASE("flows survive a joining member and the loss of a balancer") {
    whole_path path({.agents = 3, .balancers = 3, .server = {.slots = 20}});
    path.set_view(0, 2);
    path.call(feeds(12));
    REQUIRE(path.run_until(
        [&] { return path.callers->summary().flows_opened == 12; }));
    path.run_for(support::milliseconds(200));
    path.set_view(0, 3);
    path.balancers.pop_back();
    path.fabric->set_balancers(
        {{path.balancers[0]->local(), {}}, {path.balancers[1]->local(), {}}});
    REQUIRE(path.run_to_end());
    const standin::caller_summary summary = path.callers->summary();
    CAPTURE(standin::to_json(summary));
    CHECK(summary.done == 12);
    CHECK(summary.flows_broken == 0);
    CHECK(summary.wrong_bytes == 0);
}
