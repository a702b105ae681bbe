#include "settings.hpp"

#include <absl/strings/match.h>
#include <doctest/doctest.h>

#include <algorithm>

namespace platform = guavastair::platform;
namespace support = guavastair::support;

static const std::string agent_settings = R"(
nodeName = "side-1"
zone = "z-a"
portRange = [7000, 7015]
seeds = ["10.0.0.1:8100", "10.0.0.2:8100"]
heartbeatMs = 770
app = "10.0.0.9:8165"
backend = "b1"
somethingNew = { a = [1, 2] }

[listen]
packets = "10.0.0.9:8172"
outbound = "10.0.0.9:8162"
readiness = "10.0.0.9:8167"
control = "10.0.0.9:8166"

[limits]
memoryMb = 128

[bounds]
graceS = 6
flowTtlS = 60
warmupFactor = 1.5
warmupSlack = 5

[platform]
address = "10.200.0.1:8169"
)";

static constexpr auto role = platform::process_role::agent;

static std::string changed(const std::string& from, const std::string& to) {
    std::string text = agent_settings;
    return text.replace(text.find(from), from.size(), to);
}

static std::string error_of(const std::string& text) {
    const auto read = platform::parse_settings(role, text, "boot.toml");
    REQUIRE_FALSE(read.ok());
    CHECK(support::kind_of(read.status()) ==
          support::error_kind::invalid_input);
    return std::string(read.status().message());
}

TEST_CASE("the settings of an agent are read, unknown keys are ignored") {
    const auto read =
        platform::parse_settings(role, agent_settings, "boot.toml");
    REQUIRE(read.ok());
    CHECK(read->node.value == "side-1");
    CHECK(read->data_centre.value == "z-a");
    CHECK(read->seeds.size() == 2);
    CHECK(to_string(read->peers) == "10.0.0.9:7000");
    CHECK(to_string(read->server) == "10.0.0.9:8165");
    CHECK(read->service.value == "b1");
    CHECK(read->report_interval == support::milliseconds(770));
    CHECK(read->stop_grace == support::seconds(6));
    CHECK(read->longest_flow == support::seconds(60));
    CHECK(read->cold_factor == 1.5);
    CHECK(read->memory_limit == 128'000'000);
}

TEST_CASE("a balancer has no server") {
    const auto read = platform::parse_settings(
        platform::process_role::balancer,
        changed("app = \"10.0.0.9:8165\"\nbackend = \"b1\"", ""), "boot.toml");
    REQUIRE(read.ok());
    CHECK(read->server.port == 0);
    CHECK(read->service.value.empty());
}

TEST_CASE("an error names file, key, value and the allowed values") {
    const std::string text =
        error_of(changed("\"10.0.0.9:8172\"", "\"10.0.0.9\""));
    CHECK(text.find("boot.toml: listen.packets: found '10.0.0.9'") !=
          std::string::npos);
    CHECK(text.find("allowed is an address") != std::string::npos);
}

TEST_CASE("all errors are reported together") {
    std::string text = changed("nodeName = \"side-1\"", "nodeName = 7");
    text.replace(text.find("\"z-a\""), 5, "\"\"");
    text.replace(text.find("1.5"), 3, "\"x\"");
    text.replace(text.find("[7000, 7015]"), 12, "[70000, 1]");
    const std::string message = error_of(text);
    for (const char* key :
         {"nodeName", "zone", "portRange", "bounds.warmupFactor"}) {
        CAPTURE(key);
        CHECK(message.find(key) != std::string::npos);
    }
}

TEST_CASE("a list of seeds must hold addresses") {
    CHECK(error_of(changed("\"10.0.0.1:8100\"", "\"here\"")).find("seeds") !=
          std::string::npos);
    CHECK(error_of(changed("[\"10.0.0.1:8100\", \"10.0.0.2:8100\"]", "3"))
              .find("seeds") != std::string::npos);
}

TEST_CASE("new settings can be reloaded unless addresses change") {
    const auto before =
        platform::parse_settings(role, agent_settings, "boot.toml");
    const auto seeds = platform::parse_settings(
        role, changed("\"10.0.0.1:8100\"", "\"10.0.0.3:8100\""), "boot.toml");
    const auto moved = platform::parse_settings(
        role, changed("10.0.0.9:8162", "10.0.0.9:8163"), "boot.toml");
    REQUIRE(seeds.ok());
    REQUIRE(moved.ok());
    CHECK(platform::can_reload(*before, *seeds));
    CHECK_FALSE(*before == *seeds);
    CHECK_FALSE(platform::can_reload(*before, *moved));
}

// Guards against an abort on malformed input that fuzzing found: the parser
// asserts that a table's name starts with a valid character.
TEST_CASE("a failed assertion of the parser is an error, not an abort") {
    CHECK(error_of("a = 1\n[!b]\n").find("boot.toml: invalid TOML") !=
          std::string::npos);
    std::string text = "a = 1\n[xx]\n";
    std::fill_n(text.begin() + 7, 2, '\0');
    CHECK(error_of(text).find("boot.toml") != std::string::npos);
}

TEST_CASE("the error of malformed TOML names the line") {
    CHECK(error_of("a = 1\nb = ").find("line 2") != std::string::npos);
}

TEST_CASE("an agent needs its server's keys, a balancer does not") {
    const std::string without = changed("app = ", "other = ");
    const auto agent = platform::parse_settings(role, without, "boot.toml");
    REQUIRE_FALSE(agent.ok());
    CHECK(absl::StrContains(agent.status().message(),
                            "app: found nothing: allowed is"));
    CHECK(platform::parse_settings(platform::process_role::balancer, without,
                                   "boot.toml")
              .ok());
}

TEST_CASE("roles have names") {
    for (const auto each :
         {platform::process_role::balancer, platform::process_role::agent}) {
        CHECK(platform::parse_process_role(to_string(each)) == each);
    }
    CHECK_FALSE(platform::parse_process_role("router").has_value());
}
