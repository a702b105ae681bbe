#include <guavastair/config.hpp>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace config = guavastair::config;

static std::string path_of(const std::string& name) {
    return absl::StrCat(GUAVASTAIR_SOURCE_DIR, "/", name);
}

static std::string read(const std::string& name) {
    std::ifstream file(path_of(name));
    REQUIRE(file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST_CASE("the example documents are valid") {
    for (const char* name :
         {"examples/thai/order-portal.json", "examples/thai/drawings.json",
          "examples/egyptian/stock.json",
          "examples/egyptian/safety-documents.json"}) {
        const auto result = config::parse_service_document(name, read(name));
        CHECK(config::to_status(result.problems) == absl::OkStatus());
        CHECK(result.value.protocol == config::service_protocol::http);
        CHECK(result.value.max_connections == 2000);
    }
}

TEST_CASE("the example settings are valid") {
    for (const char* name :
         {"examples/thai/balancer.json", "examples/egyptian/balancer.json"}) {
        const auto result = config::load_balancer_settings(path_of(name));
        CHECK(config::to_status(result.problems) == absl::OkStatus());
        CHECK(result.value.watcher);
    }
    for (const char* name :
         {"examples/thai/agent.json", "examples/egyptian/agent.json"}) {
        const auto result = config::load_agent_settings(path_of(name));
        CHECK(config::to_status(result.problems) == absl::OkStatus());
        CHECK(result.value.agent.server.port == 8080);
    }
}
