#include "generators.hpp"

#include <guavastair/config.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace config = guavastair::config;
namespace support = guavastair::support;

using keys = std::vector<std::string>;

static keys keys_of(const std::vector<config::problem>& problems) {
    keys result;
    for (const config::problem& item : problems) {
        CHECK(item.file == "FILE");
        CHECK_FALSE(item.allowed.empty());
        result.push_back(item.key);
    }
    return result;
}

TEST_CASE("a service document survives a round trip through JSON") {
    CHECK(rc::check("round trip", [] {
        const config::service_document original = config::any_service();
        const auto back =
            config::parse_service_document("FILE", to_json(original));
        RC_ASSERT(back.problems == std::vector<config::problem>{});
        RC_ASSERT(back.value == original);
    }));
}

TEST_CASE("a data centre document survives a round trip through JSON") {
    for (const bool withdrawn : {false, true}) {
        const config::data_centre_document original{{"cairo-east"}, withdrawn};
        const auto back =
            config::parse_data_centre_document("FILE", to_json(original));
        CHECK(back.ok());
        CHECK(back.value == original);
    }
}

TEST_CASE("all problems of a document are reported together") {
    const auto result = config::parse_service_document("FILE", R"(
        // Each line but the protocol is wrong.
        { "name": "Order Portal", "address": "10.0.0.1", "protocol": "http",
          "slots": 0, "max_connections": "many", "drain_limit_ms": 1.5,
          "request_timeout_ms": true, "max_request_bytes": -1,
          "idempotent_methods": ["GET", "GET"], "idempotency_key": 1,
          "idempotency_windw_ms": 5000 })");
    REQUIRE(keys_of(result.problems) ==
            keys{"name", "address", "slots", "max_connections",
                 "drain_limit_ms", "request_timeout_ms", "max_request_bytes",
                 "idempotent_methods", "idempotency_key",
                 "idempotency_windw_ms"});
    CHECK(result.problems[2].value == "0");
    CHECK(result.problems[2].allowed == "1 to 10000");
    CHECK(result.problems[3].value == "\"many\"");
    CHECK(result.problems.back().allowed ==
          "no such key; the nearest is \"idempotency_window_ms\"");
}

TEST_CASE("a missing key is reported with its accepted values") {
    const auto result = config::parse_service_document("FILE", "{}");
    CHECK(keys_of(result.problems) == keys{"name", "address", "protocol"});
    CHECK(result.problems[2].allowed ==
          "a value, the key is required: one of \"tcp\", \"http\"");
}

TEST_CASE("HTTP keys are rejected for a TCP service") {
    const auto result = config::parse_service_document(
        "FILE", R"({"name": "a", "address": "10.0.0.1:1", "protocol": "tcp",
                    "request_timeout_ms": 1000})");
    CHECK(keys_of(result.problems) == keys{"request_timeout_ms"});
}

TEST_CASE("text that is not a JSON object is one problem") {
    for (const char* text : {"", "{", "[]", "7", "{\"name\": }", "null"}) {
        const auto result = config::parse_service_document("FILE", text);
        CHECK(keys_of(result.problems) == keys{""});
    }
}

TEST_CASE("a truncated document is rejected") {
    CHECK(rc::check("truncated text", [] {
        const std::string text = to_json(config::any_service());
        const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto result =
            config::parse_service_document("FILE", text.substr(0, size));
        RC_ASSERT_FALSE(result.ok());
    }));
}

TEST_CASE("an address that another service uses is reported") {
    config::service_document first;
    first.name.value = "first";
    first.address = {{0x0a000001}, 80};
    config::service_document second = first;
    second.name.value = "second";
    const std::vector<config::service_document> documents{first, second};
    const auto problems = config::check_addresses("FILE", second, documents);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].key == "address");
    CHECK(problems[0].value == "\"10.0.0.1:80\"");
    CHECK(problems[0].allowed ==
          "a unique address; service \"first\" already has this one");
}

TEST_CASE("problems are converted to one status that lists all of them") {
    const auto result = config::parse_service_document("FILE", "{}");
    const absl::Status status = config::to_status(result.problems);
    CHECK(support::kind_of(status) == support::error_kind::invalid_input);
    CHECK(status.message().find("FILE: name: ") != std::string::npos);
    CHECK(status.message().find("FILE: address: ") != std::string::npos);
    CHECK(config::to_status({}).ok());
}

TEST_CASE("line and block comments are skipped, but not inside strings") {
    const auto result = config::parse_service_document("FILE", R"(
        /* block // " */ { // line /* "
        "name": "a", /* " */ "address": "10.0.0.1:1", "protocol": "tcp"
        } // end)");
    CHECK(config::to_status(result.problems) == absl::OkStatus());
    const auto refused =
        config::parse_service_document("FILE", R"({"name": "a//b\"//c"})");
    REQUIRE_FALSE(refused.ok());
    CHECK(refused.problems[0].value == R"("a//b\"//c")");
}

TEST_CASE("a repeated key is rejected") {
    const auto result = config::parse_data_centre_document(
        "FILE", R"({"name": "a", "withdrawn": true, "withdrawn": false})");
    REQUIRE(result.problems.size() == 1);
    CHECK(result.problems[0].allowed.find("\"withdrawn\" appears twice") !=
          std::string::npos);
}
