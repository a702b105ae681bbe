#include <guavastair/config.hpp>

#include <doctest/doctest.h>

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

TEST_CASE("an empty agent file lists every required key") {
    const auto result = config::parse_agent_settings("FILE", "{}");
    REQUIRE(keys_of(result.problems) ==
            keys{"name", "data_centre", "control_key_file", "listen.data",
                 "listen.control", "listen.admin", "store.endpoints",
                 "agent.service", "agent.server", "agent.return_path"});
}

TEST_CASE("all problems of a settings file are reported together") {
    const auto result = config::parse_balancer_settings("FILE", R"({
        "name": 7, "data_centre": "cairo", "peers": ["127.0.0.1"],
        "control_key_file": "", "watcher": "yes",
        "listen": {"data": "127.0.0.1:1", "control": "127.0.0.1:1",
                   "admin": "127.0.0.1:1", "date": 1},
        "store": {"endpoints": [], "timeout_ms": 1},
        "log": {"level": "loud"},
        "agent": {}, "lissen": {}})");
    REQUIRE(keys_of(result.problems) ==
            keys{"name", "peers", "control_key_file", "watcher", "listen.date",
                 "store.endpoints", "store.timeout_ms", "log.level",
                 "listen.control", "listen.admin", "agent", "lissen"});
    CHECK(result.problems[4].allowed == "no such key; the nearest is \"data\"");
    CHECK(result.problems.back().allowed ==
          "no such key; the nearest is \"listen\"");
    CHECK(result.problems[6].value == "1");
    CHECK(result.problems[6].allowed == "50 to 60000");
}

TEST_CASE("a section that is not an object is one problem") {
    const auto result = config::parse_balancer_settings("FILE", R"({
        "name": "a", "data_centre": "b", "control_key_file": "k",
        "listen": 3, "store": {"endpoints": ["127.0.0.1:1"]}})");
    CHECK(keys_of(result.problems) == keys{"listen"});
}

TEST_CASE("a missing file is one problem") {
    const auto result = config::load_balancer_settings("no-such-file.json");
    REQUIRE(result.problems.size() == 1);
    CHECK(result.problems[0].file == "no-such-file.json");
}
