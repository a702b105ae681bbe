#include "flow_driver.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

using namespace request_test;

namespace {

constexpr absl::string_view get_stock = "GET /stock?x=1 HTTP/1.1\r\n"
                                        "Host: a\r\n\r\n";
constexpr absl::string_view answer_ok = "HTTP/1.1 200 OK\r\n"
                                        "Content-Length: 2\r\n\r\nok";

struct single_flow_fixture {
    explicit single_flow_fixture(int slots = 5)
        : controller(make_controller(uncontended_settings(slots))),
          flow(controller, 1) {}

    admission::controller controller;
    flow_driver flow;
};

bool contains(const std::string& text, absl::string_view part) {
    return absl::StrContains(text, part);
}

} // namespace

TEST_CASE(
    "a request is forwarded to the server and its response to the caller") {
    single_flow_fixture t;
    t.flow.caller(get_stock);
    REQUIRE(t.flow.connecting);
    CHECK(t.controller.status().running == 1);
    t.flow.connected();
    CHECK(absl::StartsWith(t.flow.to_server(),
                           "GET /stock?x=1 HTTP/1.1\r\nHost: a\r\n"));
    CHECK(contains(t.flow.to_server(), "Connection: close\r\n"));
    CHECK(contains(t.flow.to_server(), "Request-Timeout-Ms: 29995\r\n"));
    t.flow.server(answer_ok);
    CHECK(t.flow.to_caller == "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK_FALSE(t.flow.server_open);
    CHECK(t.flow.caller_open);
    CHECK(t.flow.engine.idle());
    CHECK(t.controller.status().running == 0);
}

TEST_CASE("the remaining part of the caller's timeout is forwarded") {
    single_flow_fixture t;
    t.flow.caller("GET / HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: 500\r\n"
                  "\r\n");
    t.flow.advance(support::milliseconds(100));
    t.flow.connected();
    CHECK(contains(t.flow.to_server(), "Request-Timeout-Ms: 395\r\n"));
}

TEST_CASE("a refusal is a complete response with outcome not_run and a retry "
          "time, and the flow stays open") {
    single_flow_fixture t(1);
    flow_driver other(t.controller, 2);
    other.caller(get_stock);
    t.controller.set_draining(true);
    t.flow.caller("POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
                  "\r\nhe");
    CHECK(absl::StartsWith(t.flow.to_caller, "HTTP/1.1 503 "));
    CHECK(contains(t.flow.to_caller, "Retry-After: "));
    CHECK(contains(t.flow.to_caller,
                   "{\"error\":\"refused_draining\",\"outcome\":"
                   "\"not_run\",\"message\":"));
    CHECK(contains(t.flow.to_caller, "\"retry_after_s\":"));
    CHECK_FALSE(t.flow.connecting);
    t.controller.set_draining(false);
    t.flow.to_caller.clear();
    t.flow.caller(absl::StrCat("llo", get_stock));
    CHECK(t.flow.to_caller.empty());
    CHECK(t.controller.status().waiting == 1);
    other.answer(answer_ok);
    t.flow.wake();
    t.flow.answer(answer_ok);
    CHECK(absl::StartsWith(t.flow.to_caller, "HTTP/1.1 200 OK"));
}

TEST_CASE("pipelined requests are answered in order, each on its own server "
          "connection") {
    single_flow_fixture t;
    t.flow.caller("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                  "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    t.flow.answer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1late");
    t.flow.answer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2");
    CHECK(t.flow.to_caller == "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
                              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2");
    CHECK(t.flow.connections.size() == 2);
}

TEST_CASE("ambiguous or unsupported requests are refused") {
    struct bad_head {
        absl::string_view line;
        absl::string_view fields;
    };
    const std::vector<bad_head> bad{
        {"POST / HTTP/1.1",
         "Host: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"},
        {"POST / HTTP/1.1",
         "Host: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n"},
        {"POST / HTTP/1.1", "Host: a\r\nContent-Length: 3, 3\r\n"},
        {"POST / HTTP/1.1", "Host: a\r\nContent-Length: +3\r\n"},
        {"POST / HTTP/1.1", "Host: a\r\nContent-Length : 3\r\n"},
        {"POST / HTTP/1.1", "Host: a\r\nTransfer-Encoding: gzip, chunked\r\n"},
        {"POST / HTTP/1.0", "Host: a\r\nTransfer-Encoding: chunked\r\n"},
        {"GET / HTTP/1.1", "Host: a\r\nX: 1\r\n folded\r\n"},
        {"GET / HTTP/1.1", "Host: a\nX: 1\r\n"},
        {"GET / HTTP/1.1", "Host: a\r\nHost: b\r\n"},
        {"GET / HTTP/1.1", ""},
        {"GET  / HTTP/1.1", "Host: a\r\n"},
        {"GET / HTTP/2.0", "Host: a\r\n"},
        {"CONNECT a:1 HTTP/1.1", "Host: a\r\n"},
        {"GET / HTTP/1.1", "Host: a\r\nUpgrade: websocket\r\n"},
        {"GET / HTTP/1.1", "Host: a\r\nRequest-Timeout-Ms: -1\r\n"},
        {"GET / HTTP/1.1", "Host: a\r\nExpect: more\r\n"},
    };
    for (const bad_head& head : bad) {
        const std::string bytes =
            absl::StrCat(head.line, "\r\n", head.fields, "\r\n0\r\n\r\n");
        CAPTURE(bytes);
        single_flow_fixture t;
        t.flow.caller(bytes);
        CHECK(absl::StartsWith(t.flow.to_caller, "HTTP/1.1 400 "));
        CHECK(contains(t.flow.to_caller, "\"outcome\":\"not_run\""));
        CHECK_FALSE(t.flow.caller_open);
        CHECK_FALSE(t.flow.connecting);
    }
}

TEST_CASE("invalid chunks are refused before any byte reaches the server") {
    for (const std::string chunk :
         {"x\r\n", "3\r\nabcx\n0\r\n\r\n", "3\nabc\r\n0\r\n\r\n",
          "3\r\nabcd\r\n0\r\n\r\n", "-1\r\n", "ffffffffffffffff1\r\n",
          "1 \r\na\r\n0\r\n\r\n"}) {
        CAPTURE(chunk);
        single_flow_fixture t;
        t.flow.caller(absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n",
                                   chunk));
        t.flow.connected();
        CHECK(t.flow.to_server().empty());
        CHECK(absl::StartsWith(t.flow.to_caller, "HTTP/1.1 400 "));
        CHECK_FALSE(t.flow.caller_open);
    }
}

TEST_CASE("encoded words cannot inject line ends into the head") {
    single_flow_fixture t;
    t.flow.caller("GET / HTTP/1.1\r\nHost: a\r\n"
                  "X: =?utf-8?Q?a=0D=0AContent-Length:9?=\r\n\r\n");
    t.flow.connected();
    CHECK(contains(t.flow.to_server(),
                   "X: =?utf-8?Q?a=0D=0AContent-Length:9?=\r\n"));
    CHECK_FALSE(contains(t.flow.to_server(), "\r\nContent-Length"));
}

TEST_CASE("a truncated response is never taken as complete") {
    SUBCASE("before the head: outcome unknown") {
        single_flow_fixture t;
        t.flow.caller(get_stock);
        t.flow.answer("HTTP/1.1 200 OK\r\nContent-");
        t.flow.server_closes(true);
        CHECK(absl::StartsWith(t.flow.to_caller, "HTTP/1.1 502 "));
        CHECK(contains(t.flow.to_caller, "\"outcome\":\"unknown\""));
        CHECK(t.flow.caller_open);
    }
    SUBCASE("inside a body: the caller's connection is reset") {
        for (const std::string answer :
             {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n"}) {
            single_flow_fixture t;
            t.flow.caller(get_stock);
            t.flow.answer(answer);
            t.flow.server_closes(true);
            CHECK(t.flow.caller_reset);
            CHECK_FALSE(contains(t.flow.to_caller, "0\r\n\r\n"));
        }
    }
    SUBCASE("a body until close is complete only after a clean close") {
        for (const bool clean : {true, false}) {
            single_flow_fixture t;
            t.flow.caller(get_stock);
            t.flow.answer("HTTP/1.1 200 OK\r\n\r\nabc");
            t.flow.server_closes(clean);
            CHECK(t.flow.caller_reset == !clean);
            CHECK(contains(t.flow.to_caller, "0\r\n\r\n") == clean);
        }
    }
}

TEST_CASE("a request whose server connection fails is reported as not run") {
    single_flow_fixture t;
    t.flow.caller(get_stock);
    t.flow.connect_fails();
    CHECK(absl::StartsWith(t.flow.to_caller, "HTTP/1.1 503 "));
    CHECK(contains(t.flow.to_caller, "refused_no_server"));
    CHECK(contains(t.flow.to_caller, "\"outcome\":\"not_run\""));
    CHECK(contains(t.flow.to_caller, "Retry-After: "));
}

TEST_CASE(
    "after the deadline an unsent request is not run, a sent one unknown") {
    SUBCASE("waiting for a connection") {
        single_flow_fixture t;
        t.flow.caller(get_stock);
        t.flow.advance(support::seconds(31));
        CHECK(absl::StartsWith(t.flow.to_caller, "HTTP/1.1 504 "));
        CHECK(contains(t.flow.to_caller, "\"outcome\":\"not_run\""));
        CHECK(t.controller.status().running == 0);
    }
    SUBCASE("sent to the server") {
        single_flow_fixture t;
        t.flow.caller(get_stock);
        t.flow.connected();
        t.flow.advance(support::seconds(31));
        CHECK(absl::StartsWith(t.flow.to_caller, "HTTP/1.1 502 "));
        CHECK(contains(t.flow.to_caller, "\"outcome\":\"unknown\""));
        CHECK(t.flow.server_cancelled);
        CHECK(t.controller.status().running == 0);
    }
}

TEST_CASE("a caller that disconnects cancels its request") {
    single_flow_fixture t;
    t.flow.caller(get_stock);
    t.flow.connected();
    t.flow.caller_disconnects();
    CHECK(t.flow.server_cancelled);
    CHECK(t.flow.engine.closed());
    CHECK(t.controller.status().running == 0);
}

TEST_CASE("draining completes the request in progress, then closes") {
    single_flow_fixture t;
    t.flow.caller(get_stock);
    t.flow.connected();
    t.flow.drain();
    CHECK(t.flow.caller_open);
    t.flow.server(answer_ok);
    CHECK(contains(t.flow.to_caller, "Connection: close\r\n"));
    CHECK(contains(t.flow.to_caller, "\r\n\r\nok"));
    CHECK_FALSE(t.flow.caller_open);
    CHECK_FALSE(t.flow.caller_reset);
}

TEST_CASE("draining answers a request in flight to an idle flow") {
    single_flow_fixture t;
    t.flow.drain();
    CHECK(t.flow.caller_open);
    t.flow.advance(support::milliseconds(10));
    t.flow.caller(get_stock);
    t.flow.answer(answer_ok);
    CHECK(contains(t.flow.to_caller, "Connection: close\r\n"));
    CHECK(contains(t.flow.to_caller, "\r\n\r\nok"));
    CHECK_FALSE(t.flow.caller_open);
}

TEST_CASE("draining refuses a late request as not run, then closes") {
    single_flow_fixture t;
    t.flow.drain();
    t.controller.set_draining(true);
    t.flow.advance(support::milliseconds(3500));
    CHECK(t.flow.caller_open);
    t.flow.caller(get_stock);
    CHECK(contains(t.flow.to_caller,
                   "{\"error\":\"refused_draining\",\"outcome\":"
                   "\"not_run\""));
    CHECK_FALSE(t.flow.connecting);
    CHECK_FALSE(t.flow.caller_open);
    CHECK_FALSE(t.flow.caller_reset);
}

TEST_CASE("draining closes a flow that stays idle") {
    single_flow_fixture t;
    t.flow.drain();
    t.flow.advance(support::seconds(5));
    CHECK_FALSE(t.flow.caller_open);
    CHECK_FALSE(t.flow.caller_reset);
}

TEST_CASE("an unregistered status is forwarded") {
    single_flow_fixture t;
    t.flow.caller(get_stock);
    t.flow.answer("HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n");
    CHECK(t.flow.to_caller == "HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n");
}

TEST_CASE("responses without a body") {
    single_flow_fixture t;
    t.flow.caller("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n");
    t.flow.answer("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n");
    CHECK(t.flow.to_caller == "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n");
    CHECK(t.flow.engine.idle());
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        t.flow.to_caller.clear();
        t.flow.caller(get_stock);
        t.flow.answer(absl::StrCat("HTTP/1.1 ", status, "\r\n\r\n"));
        CHECK(t.flow.to_caller ==
              absl::StrCat("HTTP/1.1 ", status, "\r\n\r\n"));
        CHECK(t.flow.engine.idle());
    }
}

TEST_CASE("the flow itself sends 100 Continue to a waiting caller") {
    single_flow_fixture t;
    t.flow.caller("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                  "Expect: 100-continue\r\n\r\n");
    CHECK(t.flow.to_caller.empty());
    t.flow.connected();
    CHECK(t.flow.to_caller == "HTTP/1.1 100 Continue\r\n\r\n");
    CHECK_FALSE(contains(t.flow.to_server(), "Expect"));
    t.flow.caller("abc");
    t.flow.server("HTTP/1.1 100 Continue\r\n\r\n");
    t.flow.server(answer_ok);
    CHECK(absl::EndsWith(t.flow.to_caller, "\r\n\r\nok"));
    CHECK(t.flow.engine.idle());
}

TEST_CASE("a feed releases its slot and is not subject to time limits") {
    single_flow_fixture t(1);
    t.flow.caller(get_stock);
    t.flow.connected();
    SUBCASE("by content type") {
        t.flow.server("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "\r\n");
    }
    SUBCASE("by duration") {
        t.flow.server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        CHECK(t.controller.status().running == 1);
        t.flow.advance(support::seconds(6));
    }
    CHECK(t.flow.engine.is_feeding());
    CHECK(t.controller.status().running == 0);
    t.flow.advance(support::seconds(86'400));
    t.flow.drain();
    CHECK(t.flow.caller_open);
    CHECK(t.flow.server_open);
    CHECK_FALSE(t.flow.timer.has_value());
}

TEST_CASE("an HTTP/1.0 caller gets a response without chunks") {
    single_flow_fixture t;
    t.flow.caller("GET / HTTP/1.0\r\n\r\n");
    t.flow.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nok\r\n0\r\n\r\n");
    CHECK(t.flow.to_caller == "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nok");
    CHECK_FALSE(t.flow.caller_open);
}
