#include "flow_driver.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

using namespace request_test;

namespace {

constexpr absl::string_view order = "POST /order HTTP/1.1\r\nHost: a\r\n"
                                    "Idempotency-Key: \"k1\"\r\n"
                                    "Content-Length: 4\r\n\r\nroll";
constexpr absl::string_view created = "HTTP/1.1 201 Created\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n"
                                      "7\r\norder 1\r\n0\r\n\r\n";

struct two_flow_fixture {
    two_flow_fixture()
        : controller(make_controller(uncontended_settings(5))),
          one(controller, 1), two(controller, 2) {}

    void wake() {
        for (const auto& wakeup :
             this->controller.take_wakeups(this->one.now)) {
            (wakeup.owner == 1 ? this->one : this->two).wake(wakeup);
        }
    }

    admission::controller controller;
    flow_driver one;
    flow_driver two;
};

bool contains(const std::string& text, absl::string_view part) {
    return absl::StrContains(text, part);
}

} // namespace

TEST_CASE("a repeated request waits for the first and gets its response") {
    two_flow_fixture t;
    t.one.caller(order);
    t.two.caller(order);
    t.wake();
    CHECK(t.two.connections.empty());
    t.one.answer(created);
    t.wake();
    CHECK(t.two.connections.empty());
    CHECK(absl::StartsWith(t.two.to_caller, "HTTP/1.1 201 Created\r\n"));
    CHECK(contains(t.two.to_caller, "Idempotent-Replayed: true\r\n"));
    CHECK(absl::EndsWith(t.two.to_caller, "\r\n\r\norder 1"));
    CHECK(t.two.engine.idle());
}

TEST_CASE("an operation completes after its caller disconnects and is stored") {
    two_flow_fixture t;
    t.one.caller(order);
    t.one.connected();
    t.one.caller_disconnects();
    CHECK(t.one.server_open);
    CHECK_FALSE(t.one.engine.closed());
    t.one.server(created);
    CHECK(t.one.engine.closed());
    t.two.caller(order);
    CHECK(contains(t.two.to_caller, "order 1"));
    CHECK(t.controller.status().running == 0);
}

TEST_CASE("a repeat of a lost operation is answered with an unknown outcome") {
    two_flow_fixture t;
    t.one.caller(order);
    t.one.connected();
    t.one.server_closes(false);
    CHECK(contains(t.one.to_caller, "\"outcome\":\"unknown\""));
    t.two.caller(order);
    CHECK(absl::StartsWith(t.two.to_caller, "HTTP/1.1 502 "));
    CHECK(contains(t.two.to_caller, "\"outcome\":\"unknown\""));
    CHECK(t.two.connections.empty());
}

TEST_CASE("an operation that was not run may be repeated") {
    two_flow_fixture t;
    t.one.caller(order);
    SUBCASE("the connection to the server fails") {
        t.one.connect_fails();
        CHECK(contains(t.one.to_caller, "\"outcome\":\"not_run\""));
    }
    SUBCASE("the server refuses") {
        t.one.answer("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        CHECK(t.controller.status().running == 0);
    }
    SUBCASE("the caller disconnects before the request is sent") {
        t.one.caller_disconnects();
        CHECK(t.one.engine.closed());
    }
    t.two.caller(order);
    t.two.answer(created);
    CHECK(contains(t.two.to_caller, "order 1"));
    CHECK_FALSE(contains(t.two.to_caller, "Idempotent-Replayed"));
}

TEST_CASE("a key that is used for another request is refused") {
    two_flow_fixture t;
    t.one.caller(order);
    t.one.answer(created);
    t.two.caller("POST /other HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k1\r\n"
                 "Content-Length: 0\r\n\r\n");
    CHECK(absl::StartsWith(t.two.to_caller, "HTTP/1.1 400 "));
    CHECK(t.two.engine.idle());
}

TEST_CASE("a destroyed flow releases its slot and its place in the queue") {
    auto controller = make_controller(uncontended_settings(1));
    {
        flow_driver one(controller, 1);
        flow_driver two(controller, 2);
        one.caller(order);
        one.connected();
        two.caller("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CHECK(controller.status().running == 1);
        CHECK(controller.status().waiting == 1);
    }
    CHECK(controller.status().running == 0);
    CHECK(controller.status().waiting == 0);
}
