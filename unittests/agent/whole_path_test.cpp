#include "whole_path.hpp"

#include <doctest/doctest.h>

using fixture::command_kind;
using fixture::whole_path;
namespace agent = guavastair::agent;
namespace standin = guavastair::standin;
namespace support = guavastair::support;

TEST_CASE("all bytes arrive although packets are sprayed, lost, duplicated and "
          "reordered") {
    for (const auto flow_protocol :
         {agent::protocol::tcp, agent::protocol::http}) {
        whole_path path(
            {.flow_protocol = flow_protocol,
             .server = {.slots = 20, .service_time = support::milliseconds(1)},
             .faults = {.lose = 30, .duplicate = 30, .reorder = 100}});
        path.call({.connections = 20,
                   .requests_per_connection = 5,
                   .max_requests = 400,
                   .duration = support::seconds(40),
                   .content_size = 20'000});
        REQUIRE(path.run_to_end());
        const standin::caller_summary summary = path.callers->summary();
        CAPTURE(standin::to_json(summary));
        CHECK(summary.wrong_bytes == 0);
        CHECK(summary.flows_broken == 0);
        CHECK(summary.lost == 0);
        CHECK(summary.failed == 0);
        CHECK(summary.unknown == 0);
        CHECK(summary.done + summary.refused == summary.requests);
        CHECK(summary.done >= 300);
        for (const auto& one : path.balancers) {
            CHECK(one->counters().forwarded > 500);
        }
        for (const auto& one : path.agents) {
            CHECK(one->run_command(command_kind::report).counters.flows_opened >
                  5);
        }
    }
}

TEST_CASE("an order is run once and answered once") {
    whole_path path(
        {.flow_protocol = agent::protocol::http,
         .server = {.slots = 5, .service_time = support::milliseconds(2)},
         .faults = {.lose = 50, .duplicate = 100, .reorder = 100}});
    path.call({.mode = standin::caller_mode::order,
               .connections = 8,
               .requests_per_connection = 10,
               .max_requests = 200,
               .duration = support::seconds(40)});
    REQUIRE(path.run_to_end());
    const standin::caller_summary summary = path.callers->summary();
    CAPTURE(standin::to_json(summary));
    std::uint64_t run = 0;
    for (const auto& one : path.agents) {
        const fixture::report report = one->run_command(command_kind::report);
        CHECK(report.server.orders_doubled == 0);
        run += report.server.orders_run;
    }
    CHECK(summary.wrong_bytes == 0);
    CHECK(summary.flows_broken == 0);
    CHECK(summary.done > 0);
    CHECK(run == summary.done);
}

TEST_CASE("callers of a stopped server get a reset instead of a timeout") {
    whole_path path({.agents = 1});
    path.agents[0]->run_command(command_kind::stop_server);
    path.call({.connections = 4,
               .max_requests = 8,
               .duration = support::seconds(10),
               .timeout = support::seconds(8)});
    REQUIRE(path.run_until(
        [&] { return path.callers->summary().flows_broken >= 4; }));
    path.callers->stop();
    const fixture::report report =
        path.agents[0]->run_command(command_kind::report);
    CHECK(report.counters.server_failures >= 4);
    CHECK(path.callers->summary().done == 0);
}

TEST_CASE("large responses arrive complete through full buffers") {
    for (const auto flow_protocol :
         {agent::protocol::tcp, agent::protocol::http}) {
        whole_path path({.flow_protocol = flow_protocol,
                         .server = {.slots = 4, .cold_slots = 4},
                         .faults = {.lose = 5, .reorder = 50}});
        path.call({.connections = 2,
                   .requests_per_connection = 1,
                   .max_requests = 4,
                   .duration = support::seconds(50),
                   .content_size = 2'000'000});
        REQUIRE(path.run_to_end());
        const standin::caller_summary summary = path.callers->summary();
        CAPTURE(standin::to_json(summary));
        CHECK(summary.done == summary.requests);
        CHECK(summary.wrong_bytes == 0);
        CHECK(summary.flows_broken == 0);
    }
}

TEST_CASE("large bodies arrive complete at a server that starts reading late") {
    for (const auto flow_protocol :
         {agent::protocol::tcp, agent::protocol::http}) {
        whole_path path({.flow_protocol = flow_protocol,
                         .server = {.slots = 4,
                                    .cold_slots = 4,
                                    .read_delay = support::seconds(1)}});
        path.call({.mode = standin::caller_mode::order,
                   .connections = 2,
                   .requests_per_connection = 1,
                   .max_requests = 2,
                   .duration = support::seconds(50),
                   .upload_size = 10'000'000});
        REQUIRE(path.run_to_end());
        const standin::caller_summary summary = path.callers->summary();
        CAPTURE(standin::to_json(summary));
        CHECK(summary.done == summary.requests);
        CHECK(summary.failed == 0);
        CHECK(summary.flows_broken == 0);
    }
}

TEST_CASE("flows survive while two balancers use different views permanently") {
    whole_path path({.agents = 3,
                     .flow_protocol = agent::protocol::http,
                     .server = {.slots = 20,
                                .cold_slots = 20,
                                .service_time = support::milliseconds(1)},
                     .faults = {.lose = 20, .duplicate = 20, .reorder = 100}});
    path.set_balancer_view(0, 0, 2);
    path.set_balancer_view(1, 1, 3);
    path.call({.connections = 12,
               .requests_per_connection = 10,
               .max_requests = 360,
               .duration = support::seconds(40),
               .content_size = 5'000});
    REQUIRE(path.run_to_end());
    const standin::caller_summary summary = path.callers->summary();
    CAPTURE(standin::to_json(summary));
    CHECK(summary.wrong_bytes == 0);
    CHECK(summary.flows_broken == 0);
    CHECK(summary.done + summary.refused == summary.requests);
    CHECK(summary.done >= 300);
    std::uint64_t passed_on = 0;
    for (const auto& one : path.agents) {
        const fixture::report report = one->run_command(command_kind::report);
        CHECK(report.counters.flows_opened > 0);
        passed_on += report.counters.passed_on;
    }
    CHECK(passed_on > 100);
}
