#include "packet_builder.hpp"
#include "whole_path.hpp"

#include <doctest/doctest.h>

using fixture::command_kind;
using fixture::whole_path;
namespace agent = guavastair::agent;
namespace flow = guavastair::flow;
namespace net = guavastair::net;
namespace standin = guavastair::standin;
namespace support = guavastair::support;

/// Feeds that last longer than any test.
static standin::caller_options endless_feeds(std::size_t connections) {
    return {.mode = standin::caller_mode::feed,
            .connections = connections,
            .requests_per_connection = 1,
            .duration = support::seconds(60),
            .feed_lines = 100'000,
            .feed_interval = support::milliseconds(50)};
}

TEST_CASE("a packet for another service never reaches the server") {
    whole_path path({.agents = 1});
    auto sender = net::udp_socket::open({.local = fixture::loopback});
    REQUIRE(sender.ok());
    const fixture::serialized_member target = path.agents[0]->member();
    const support::endpoint caller{{0x0a630009}, 4000};
    const support::endpoint elsewhere{{0x0a010002}, 80};
    flow::frame_header header;
    header.candidates.items[0] = {target.id, target.data};
    header.candidates.size = 1;
    std::array<std::byte, flow::max_frame_header_size> head;
    const std::size_t size = flow::encode_frame_header(header, head);
    for (const std::uint8_t flags :
         {flow::tcp_flags::syn_bit, flow::tcp_flags::ack_bit}) {
        const auto packet = builder::make_packet(
            {.key = {caller, elsewhere}, .flags = {flags}});
        sender->queue(target.data, std::span(head).first(size), packet);
        sender->flush();
    }
    path.run_for(support::milliseconds(100));
    const fixture::report report =
        path.agents[0]->run_command(command_kind::report);
    CHECK(report.counters.frames == 2);
    CHECK(report.counters.dropped_for(flow::drop_reason::foreign_service) == 2);
    CHECK(report.counters.delivered == 0);
    CHECK(report.counters.stack.packets_out == 0);
    CHECK(report.server.requests == 0);
}

TEST_CASE("an agent accepts at most max_connections flows") {
    whole_path path({.agents = 1,
                     .max_connections = 3,
                     .server = {.slots = 20, .cold_slots = 20}});
    path.call(endless_feeds(6));
    REQUIRE(path.run_until([&] {
        const fixture::report report =
            path.agents[0]->run_command(command_kind::report);
        return report.active_flows == 3 &&
               path.callers->summary().flows_refused >= 3;
    }));
    CHECK(path.callers->open_flows() == 3);
    CHECK(path.callers->summary().flows_broken == 0);
}

TEST_CASE("a planned stop completes and resets the flows that are still open") {
    for (const auto flow_protocol :
         {agent::protocol::tcp, agent::protocol::http}) {
        whole_path path({.agents = 1,
                         .flow_protocol = flow_protocol,
                         .server = {.slots = 20, .cold_slots = 20}});
        path.call(endless_feeds(5));
        REQUIRE(path.run_until([&] {
            return path.agents[0]
                       ->run_command(command_kind::report)
                       .active_flows == 5;
        }));
        path.agents[0]->run_command(command_kind::stop);
        REQUIRE(path.run_until([&] {
            return path.agents[0]->run_command(command_kind::report).stopped;
        }));
        const fixture::report report =
            path.agents[0]->run_command(command_kind::report);
        CHECK(report.active_flows == 0);
        CHECK(report.counters.flows_cut == 5);
        path.run_for(support::milliseconds(100));
        CHECK(path.callers->summary().flows_broken == 5);
    }
}

TEST_CASE("flows with unreachable callers end, and new flows are served") {
    whole_path path({.agents = 1,
                     .tcp = {.keepalive_idle = support::seconds(1),
                             .keepalive_interval = support::milliseconds(500),
                             .keepalive_probes = 2},
                     .server = {.slots = 20, .cold_slots = 20}});
    path.call({.connections = 4,
               .requests_per_connection = 0,
               .duration = support::seconds(60),
               .pause = support::seconds(30),
               .content_size = 100});
    REQUIRE(path.run_until([&] { return path.callers->summary().done == 4; }));
    path.fabric->silence_known_flows();
    REQUIRE(path.run_until([&] {
        return path.agents[0]->run_command(command_kind::report).active_flows ==
               0;
    }));
    CHECK(
        path.agents[0]->run_command(command_kind::report).counters.flows_lost ==
        4);
    path.call({.connections = 2,
               .requests_per_connection = 1,
               .max_requests = 2,
               .duration = support::seconds(30),
               .content_size = 100});
    REQUIRE(path.run_to_end());
    CHECK(path.callers->summary().done >= 2);
    CHECK(path.callers->summary().flows_broken == 0);
}
