#include "agent_process.hpp"
#include "packet_builder.hpp"

#include <guavastair/net.hpp>

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace agent = guavastair::agent;
namespace flow = guavastair::flow;
namespace net = guavastair::net;
namespace support = guavastair::support;

TEST_CASE("opening an agent on an address in use fails with address_in_use") {
    const support::steady_clock clock;
    net::event_loop loop(clock);
    const auto holder = net::udp_socket::open({.local = fixture::loopback});
    REQUIRE(holder.ok());
    fixture::counting_agent_observer observer;
    auto options = fixture::test_options({1}, fixture::loopback);
    options.listen = holder->local();
    const auto opened = agent::agent::open(loop, options, observer);
    REQUIRE_FALSE(opened.ok());
    CHECK(support::kind_of(opened.status()) ==
          support::error_kind::address_in_use);
}

TEST_CASE("malformed frames are dropped, counted and reported up to a limit") {
    const support::steady_clock clock;
    net::event_loop loop(clock);
    fixture::counting_agent_observer observer;
    const auto opened = agent::agent::open(
        loop, fixture::test_options({1}, fixture::loopback), observer);
    REQUIRE(opened.ok());
    auto sender = net::udp_socket::open({.local = fixture::loopback});
    REQUIRE(sender.ok());
    std::mt19937_64 random(5);
    constexpr std::uint64_t count = 2000;
    std::vector<std::byte> bytes(net::max_datagram_size);
    for (std::uint64_t i = 0; i < count; ++i) {
        for (std::byte& byte : bytes) {
            byte = static_cast<std::byte>(random());
        }
        const std::size_t size = random() % bytes.size();
        sender->queue_copy((*opened)->local(), std::span(bytes).first(size));
        constexpr std::uint64_t burst = 50;
        if (i % burst == 0) {
            sender->flush();
            loop.run_once(support::milliseconds(1));
        }
    }
    sender->flush();
    for (int i = 0; i < 100; ++i) {
        loop.run_once(support::milliseconds(1));
    }
    const agent::agent_counters counters = (*opened)->counters();
    CHECK(counters.frames == count);
    std::uint64_t dropped = 0;
    for (const std::uint64_t number : counters.dropped) {
        dropped += number;
    }
    CHECK(dropped == count);
    CHECK(counters.delivered == 0);
    CHECK(observer.bad_frames > 0);
    CHECK(observer.bad_frames < 1000);
}

TEST_CASE("a planned stop waits for a handshake in progress") {
    const support::steady_clock clock;
    net::event_loop loop(clock);
    fixture::counting_agent_observer observer;
    const auto options = fixture::test_options({1}, fixture::loopback);
    const auto opened = agent::agent::open(loop, options, observer);
    REQUIRE(opened.ok());
    auto sender = net::udp_socket::open({.local = fixture::loopback});
    REQUIRE(sender.ok());
    const support::endpoint caller{{0x0a630009}, 4000};
    flow::frame_header header;
    header.candidates.items[0] = {{1}, (*opened)->local()};
    header.candidates.size = 1;
    std::array<std::byte, flow::max_frame_header_size> head;
    const std::size_t size = flow::encode_frame_header(header, head);
    const auto opening =
        builder::make_packet({.key = {caller, options.service_address},
                              .flags = {flow::tcp_flags::syn_bit}});
    sender->queue((*opened)->local(), std::span(head).first(size), opening);
    sender->flush();
    while ((*opened)->counters().stack.packets_out == 0) {
        loop.run_once(support::milliseconds(5));
    }
    bool done = false;
    const support::duration bound = support::milliseconds(500);
    const support::instant begin = loop.now();
    (*opened)->stop(bound, [&done] { done = true; });
    while (!done) {
        loop.run_once(support::milliseconds(5));
    }
    CHECK(loop.now() - begin >= bound);
}
