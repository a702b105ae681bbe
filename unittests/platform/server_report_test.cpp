#include "server_report.hpp"

#include <doctest/doctest.h>

#include <array>

namespace http = guavastair::http;
namespace platform = guavastair::platform;
namespace support = guavastair::support;

static http::request report(const std::string& body) {
    return {"POST", "/api/instances/i-1/heartbeat", body};
}

static const std::string valid_report =
    R"({"backend":"b1","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
    R"("capacity":5,"state":"draining","warmupLeftMs":120.5,"seq":4,)"
    R"("born":1700000000000,"more":[1]})";

/// `good` with the text `from` replaced by `to`.
static std::string changed(const std::string& from, const std::string& to) {
    std::string text = valid_report;
    return text.replace(text.find(from), from.size(), to);
}

TEST_CASE("a status report is read, unknown fields are ignored") {
    const auto call = platform::read_control_call(report(valid_report));
    REQUIRE(call.ok());
    const auto& got = std::get<platform::status_call>(*call);
    CHECK(got.report.id == "i-1");
    CHECK(got.report.start_time_ms == 1'700'000'000'000);
    CHECK(got.report.sequence == 4);
    CHECK(got.report.draining);
    CHECK(got.report.slots == 5);
    CHECK(got.report.warm_up_left == support::milliseconds(120));
    CHECK(got.service.value == "b1");
    CHECK(to_string(got.server) == "10.0.0.9:8080");
}

TEST_CASE("deregistration and readiness calls are read") {
    const auto leave = platform::read_control_call(
        {"POST", "/api/instances/i-9/deregister", ""});
    REQUIRE(leave.ok());
    CHECK(std::get<platform::deregister_call>(*leave).id == "i-9");
    const auto ready = platform::read_control_call({"GET", "/api/readyz", ""});
    REQUIRE(ready.ok());
    CHECK(std::holds_alternative<platform::readiness_call>(*ready));
}

TEST_CASE("the error of an invalid report names the field") {
    struct row {
        std::string body;
        std::string field;
    };
    const std::array<row, 11> rows{{
        {changed("\"b1\"", "7"), "backend"},
        {changed("\"backend\"", "\"other\""), "backend"},
        {changed("10.0.0.9:8080", "nowhere"), "address"},
        {changed("\"draining\"", "\"resting\""), "state"},
        {changed("\"draining\"", "true"), "state"},
        {changed("\"capacity\":5", "\"capacity\":0"), "capacity"},
        {changed("\"capacity\":5", "\"capacity\":\"5\""), "capacity"},
        {changed("\"capacity\":5", "\"capacity\":1e30"), "capacity"},
        {changed("120.5", "-3"), "warmupLeftMs"},
        {changed("120.5", "null"), "warmupLeftMs"},
        {changed("\"seq\":4", "\"seq\":4.5"), "seq"},
    }};
    for (const row& each : rows) {
        CAPTURE(each.body);
        const auto call = platform::read_control_call(report(each.body));
        REQUIRE_FALSE(call.ok());
        CHECK(support::kind_of(call.status()) ==
              support::error_kind::invalid_input);
        CHECK(call.status().message().find(each.field) !=
              absl::string_view::npos);
    }
}

TEST_CASE("a malformed body is an error") {
    for (const std::string body :
         {"", "[]", "{", "\xff\xfe", "{\"backend\":\"\xff\"}", "null"}) {
        CHECK_FALSE(platform::read_control_call(report(body)).ok());
    }
    const std::string deep(100'000, '[');
    CHECK_FALSE(platform::read_control_call(report(deep)).ok());
}

TEST_CASE("unknown calls are not found") {
    for (const http::request& ask :
         {http::request{"GET", "/", ""},
          http::request{"POST", "/api/instances//heartbeat", valid_report},
          http::request{"GET", "/api/instances/i-1/heartbeat", valid_report},
          http::request{"POST", "/api/readyz", ""}}) {
        const auto call = platform::read_control_call(ask);
        REQUIRE_FALSE(call.ok());
        CHECK(platform::failure_response(call.status()).status == 404);
    }
}

// Guards against a process that ends by itself: the error for an invalid field
// quotes the value, and writing a value recurses for each level.
TEST_CASE("a deeply nested field is refused") {
    constexpr std::size_t depth = 30'000;
    const std::string nested =
        std::string(depth, '[') + std::string(depth, ']');
    for (const std::string field :
         {"\"b1\"", "5", "\"draining\"", "120.5", "[1]"}) {
        const auto call =
            platform::read_control_call(report(changed(field, nested)));
        REQUIRE_FALSE(call.ok());
        CHECK(support::kind_of(call.status()) ==
              support::error_kind::invalid_input);
    }
    const auto call =
        platform::read_control_call(report(changed("[1]", R"(["[[{\"[["])")));
    CHECK(call.ok());
}

// Guards against a process that exceeds its memory while it parses a report.
TEST_CASE("the error of a report that is too large names its size") {
    const std::string large = "[" + std::string(1 << 20, ' ') + "]";
    const auto call =
        platform::read_control_call(report(changed("[1]", large)));
    REQUIRE_FALSE(call.ok());
    CHECK(std::string(call.status().message()).find("65536") !=
          std::string::npos);
}

TEST_CASE("a report with a number out of range is refused") {
    for (const std::string number :
         {"1e400", "-1e400", "99999999999999999999", "1e30"}) {
        for (const std::string field : {"5", "120.5", "4"}) {
            const auto call =
                platform::read_control_call(report(changed(field, number)));
            CHECK_FALSE(call.ok());
        }
    }
    for (const std::string port : {":0", ":65536", ":99999999999", ":-1"}) {
        const auto call =
            platform::read_control_call(report(changed(":8080", port)));
        CHECK_FALSE(call.ok());
    }
}
