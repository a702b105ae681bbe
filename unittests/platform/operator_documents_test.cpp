#include "operator_documents.hpp"

#include <doctest/doctest.h>

namespace platform = guavastair::platform;
namespace registry = guavastair::registry;
namespace routing = guavastair::routing;
namespace support = guavastair::support;

static const std::string config = R"({"version":7,"routes":[
{"name":"r1","host":"10.9.0.1","prefix":"/8443/","type":"idempotent",
 "timeoutMs":1500,"sloMs":200,"priority":2,"split":[
 {"backend":"b1","weight":90},{"backend":"b2","weight":10}]},
{"name":"r2","host":"10.9.0.1","prefix":"/8080/","type":"non_idempotent",
 "timeoutMs":2000,"sloMs":250,"priority":1,"backend":"b1"}],
"backends":[{"name":"b1","healthPath":"/h","maxConns":2000,"warmupS":2.0,
 "warmupPerS":12.5}],"limits":{"idleTimeoutMs":9000}})";

TEST_CASE("a configuration is read into routes and services") {
    std::size_t skipped = 99;
    const auto read = platform::parse_configuration(config, &skipped);
    REQUIRE(read.ok());
    CHECK(skipped == 0);
    CHECK(read->version == 7);
    REQUIRE(read->routes.size() == 2);
    const routing::route& first = read->routes[0];
    CHECK(to_string(first.address) == "10.9.0.1:8443");
    REQUIRE(first.services.size() == 2);
    CHECK(first.services[1].weight == 10);
    CHECK(first.kind == routing::request_kind::idempotent);
    CHECK(first.timeout == support::milliseconds(1500));
    CHECK(read->routes[1].services[0].service.value == "b1");
    CHECK(read->routes[1].kind == routing::request_kind::non_idempotent);
    REQUIRE(read->services.size() == 1);
    CHECK(read->services[0].warm_up == support::seconds(2));
    CHECK(read->services[0].warm_up_rate == 12.5);
    CHECK(read->idle_timeout == support::seconds(9));
}

TEST_CASE("invalid routes and services are skipped, the others are read") {
    const std::string text = R"({"version":1,"routes":[7,{"name":"x"},
        {"host":"10.9.0.1","prefix":"/99999/","backend":"b"},
        {"host":"10.9.0.1","prefix":"/80/","backend":"b"}],
        "backends":[{},{"name":"b"}]})";
    std::size_t skipped = 0;
    const auto read = platform::parse_configuration(text, &skipped);
    REQUIRE(read.ok());
    CHECK(skipped == 4);
    REQUIRE(read->routes.size() == 1);
    CHECK(read->routes[0].kind == routing::request_kind::non_idempotent);
    CHECK(read->services.size() == 1);
}

TEST_CASE("a configuration without version and routes is an error") {
    for (const std::string text :
         {"", "7", "{}", R"({"version":"x","routes":[]})",
          R"({"version":1,"routes":{}})"}) {
        CHECK_FALSE(platform::parse_configuration(text).ok());
    }
}

TEST_CASE("the view is built from the operators' keys") {
    std::map<std::string, registry::entry> entries;
    entries["op/config"] = {"op/config", config, {40}};
    entries["op/evacuate/z-a"] = {"op/evacuate/z-a", "{}", {41}};
    entries["op/unknown"] = {"op/unknown", "\xff", {42}};
    const auto view = platform::read_operator_view(entries, {50});
    REQUIRE(view.ok());
    CHECK(view->as_of == support::revision{50});
    CHECK(view->config_revision == support::revision{40});
    CHECK(view->withdrawn == std::set<support::data_centre_name>{{"z-a"}});

    entries["op/config"].value = "{";
    CHECK_FALSE(platform::read_operator_view(entries, {51}).ok());
}

TEST_CASE("a view survives a round trip") {
    std::map<std::string, registry::entry> entries;
    entries["op/config"] = {"op/config", config, {40}};
    entries["op/evacuate/z\"a"] = {"op/evacuate/z\"a", "{}", {41}};
    const auto view = platform::read_operator_view(entries, {50});
    REQUIRE(view.ok());
    const auto read = platform::parse_view(platform::write_view(*view));
    REQUIRE(read.ok());
    CHECK(read->as_of == view->as_of);
    CHECK(read->config == view->config);
    CHECK(read->withdrawn == view->withdrawn);
    CHECK(routing::digest(*read) == routing::digest(*view));
    for (const std::string text : {"", "{}", R"({"as_of":1})"}) {
        CHECK_FALSE(platform::parse_view(text).ok());
    }
}

TEST_CASE("numbers out of range in a configuration count as the largest "
          "allowed ones") {
    const std::string text = R"({"version":1,"routes":[
        {"host":"10.9.0.1","prefix":"/80/","backend":"b",
         "timeoutMs":9223372036854775807,"sloMs":-9223372036854775808,
         "priority":4294967296}],
        "backends":[{"name":"b","warmupS":1e300,"warmupPerS":1e300,
         "maxConns":4294967296}],
        "limits":{"idleTimeoutMs":9223372036854775807}})";
    const auto read = platform::parse_configuration(text);
    REQUIRE(read.ok());
    const support::duration day = support::seconds(86'400);
    CHECK(read->routes.at(0).timeout == day);
    CHECK(read->routes.at(0).latency_objective == support::duration{});
    CHECK(read->routes.at(0).priority == UINT32_MAX);
    CHECK(read->services.at(0).warm_up == day);
    CHECK(read->services.at(0).max_flows == UINT32_MAX);
    CHECK(read->idle_timeout == day);
}

TEST_CASE("odd items beside valid ones do not keep a configuration from being "
          "read") {
    const std::string nested = std::string(50, '[') + std::string(50, ']');
    const std::string odd =
        R"({"host":)" + nested + R"(,"prefix":"/80/","backend":"b"})";
    const std::string text = R"({"version":3,"routes":[)" + odd +
                             R"(,{"host":"10.9.0.1","prefix":"/80/",)"
                             R"("backend":"b"}],"backends":[]})";
    std::size_t skipped = 0;
    const auto read = platform::parse_configuration(text, &skipped);
    REQUIRE(read.ok());
    CHECK(skipped == 1);
    CHECK(read->routes.size() == 1);
}

TEST_CASE("a deeply nested view or configuration is refused") {
    constexpr std::size_t depth = 500'000;
    const std::string nested =
        std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(
        platform::parse_configuration(R"({"version":)" + nested + "}").ok());
    CHECK_FALSE(platform::parse_view(R"({"as_of":)" + nested + "}").ok());
}

TEST_CASE("a data centre name with a null character survives a round trip") {
    routing::operator_view view;
    view.withdrawn.insert({std::string("z\0a", 3)});
    const auto read = platform::parse_view(platform::write_view(view));
    REQUIRE(read.ok());
    CHECK(read->withdrawn == view.withdrawn);
}
