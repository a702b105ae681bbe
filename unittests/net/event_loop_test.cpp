#include <guavastair/net.hpp>

#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <thread>
#include <vector>

namespace net = guavastair::net;
namespace support = guavastair::support;

TEST_CASE("timers run in order of their due time") {
    support::manual_clock clock;
    net::event_loop loop(clock);
    std::vector<int> calls;
    loop.call_after(support::milliseconds(20), [&] { calls.push_back(2); });
    loop.call_after(support::milliseconds(10), [&] { calls.push_back(1); });
    loop.run_once({});
    CHECK(calls.empty());
    clock.advance(support::milliseconds(30));
    loop.run_once({});
    CHECK(calls == std::vector<int>{1, 2});
}

TEST_CASE("a late loop calls a periodic timer once") {
    support::manual_clock clock;
    net::event_loop loop(clock);
    int calls = 0;
    const net::timer_id timer =
        loop.call_every(support::milliseconds(10), [&] { ++calls; });
    clock.advance(support::milliseconds(100));
    loop.run_once({});
    CHECK(calls == 1);
    clock.advance(support::milliseconds(10));
    loop.run_once({});
    CHECK(calls == 2);
    loop.cancel(timer);
    clock.advance(support::milliseconds(100));
    loop.run_once({});
    CHECK(calls == 2);
}

TEST_CASE("a timer may cancel itself and others") {
    support::manual_clock clock;
    net::event_loop loop(clock);
    int calls = 0;
    net::timer_id first_timer;
    net::timer_id second_timer;
    first_timer = loop.call_every(support::milliseconds(10), [&] {
        ++calls;
        loop.cancel(first_timer);
        loop.cancel(second_timer);
    });
    second_timer =
        loop.call_every(support::milliseconds(11), [&] { calls += 100; });
    for (int i = 0; i < 5; ++i) {
        clock.advance(support::milliseconds(15));
        loop.run_once({});
    }
    CHECK(calls == 1);
}

TEST_CASE("a descriptor unwatched by its callback gets no further call") {
    support::manual_clock clock;
    net::event_loop loop(clock);
    std::array<int, 2> pipe_ends{};
    REQUIRE(pipe(pipe_ends.data()) == 0);
    int calls = 0;
    REQUIRE(loop.watch(pipe_ends[0], {.readable = true},
                       [&](net::readiness r) {
                           ++calls;
                           CHECK(r.readable);
                           loop.unwatch(pipe_ends[0]);
                       })
                .ok());
    REQUIRE(write(pipe_ends[1], "x", 1) == 1);
    loop.run_once({});
    loop.run_once({});
    CHECK(calls == 1);
    CHECK_FALSE(loop.watch(-1, {.readable = true}, [](auto) {}).ok());
    close(pipe_ends[0]);
    close(pipe_ends[1]);
}

TEST_CASE("a call posted by another thread wakes the loop, and stop ends it") {
    const support::steady_clock clock;
    net::event_loop loop(clock);
    bool called = false;
    std::thread posting_thread([&] {
        loop.post([&] {
            called = true;
            loop.stop();
        });
    });
    loop.run();
    posting_thread.join();
    CHECK(called);
}
