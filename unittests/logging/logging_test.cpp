#include <guavastair/logging.hpp>

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace logging = guavastair::logging;
namespace support = guavastair::support;

static std::string read_file(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST_CASE("a line is a list of key=value pairs") {
    logging::line line("flow_opened");
    line.add("service", support::service_name{"stock"})
        .add("position", 2)
        .add("cold", true)
        .add("caller", support::endpoint{support::ipv4_address{0x0a000001}, 9});
    CHECK(line.text() == "event=flow_opened service=stock position=2 "
                         "cold=true caller=10.0.0.1:9");
}

TEST_CASE("a value cannot inject another pair or another line") {
    logging::line line("refused");
    line.add("text", "a b=\"c\"\nevent=x").add("none", "");
    CHECK(line.text() ==
          "event=refused text=\"a b=\\\"c\\\"\\x0aevent=x\" none=\"\"");
}

TEST_CASE("each channel has its own level") {
    const std::string path = "logging_test.log";
    logging::options options;
    options.file = path;
    options.decisions = logging::level::off;
    options.node = support::node_name{"node-1"};
    REQUIRE(logging::set_up(options).ok());
    logging::write(logging::channel::decision, logging::level::info,
                   logging::line("flow_opened"));
    logging::write(logging::channel::process, logging::level::warn,
                   logging::line("started"));
    logging::shut_down();
    const std::string text = read_file(path);
    std::remove(path.c_str());
    CHECK(text.find("flow_opened") == std::string::npos);
    CHECK(text.find("level=WARN node=node-1 logger=guavastair.process "
                    "event=started") != std::string::npos);
}

TEST_CASE("invalid options are rejected with their value") {
    logging::options options;
    options.file = "no-such-folder/x.log";
    const absl::Status status = logging::set_up(options);
    REQUIRE_FALSE(status.ok());
    CHECK(std::string(status.message()).find("no-such-folder/x.log") !=
          std::string::npos);
    CHECK_FALSE(logging::parse_level("loud").ok());
    CHECK(*logging::parse_level("warn") == logging::level::warn);
}
