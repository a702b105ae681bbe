#include "command_line.hpp"

#include <absl/flags/flag.h>
#include <doctest/doctest.h>

#include <array>

ABSL_FLAG(std::string, test_store, "none", "store endpoints");
ABSL_FLAG(int, test_count, 0, "a whole number");

namespace support = guavastair::support;
namespace tool = guavastair::tool;

namespace {

absl::Status run_noop(std::span<const std::string> /*arguments*/) {
    return absl::OkStatus();
}

const std::array<tool::command, 2>& commands() {
    static const std::array<tool::command, 2> table{{
        {"service put",
         "FILE",
         1,
         1,
         "writes a document",
         {"test_store", "test_count"},
         run_noop},
        {"version", "", 0, 0, "shows the version", {}, run_noop},
    }};
    return table;
}

absl::StatusOr<tool::invocation> read(std::vector<const char*> tokens) {
    return tool::read_command_line(commands(), tokens);
}

bool fails_with(std::vector<const char*> tokens, const std::string& text) {
    const auto result = read(std::move(tokens));
    REQUIRE_FALSE(result.ok());
    CHECK(support::kind_of(result.status()) ==
          support::error_kind::invalid_input);
    return std::string(result.status().message()).find(text) !=
           std::string::npos;
}

} // namespace

TEST_CASE("two-word commands accept arguments and flags in any order") {
    const auto result = read(
        {"--test_store=a:1", "service", "put", "x.json", "--test_count", "7"});
    REQUIRE(result.ok());
    CHECK(result->selected->name == "service put");
    CHECK(result->arguments == std::vector<std::string>{"x.json"});
    CHECK(absl::GetFlag(FLAGS_test_store) == "a:1");
    CHECK(absl::GetFlag(FLAGS_test_count) == 7);
}

TEST_CASE("errors name the rejected token and the nearest valid name") {
    CHECK(fails_with({}, "no command"));
    CHECK(fails_with({"service", "putt"}, "did you mean service put?"));
    CHECK(fails_with({"service", "put", "x", "--test_stor=1"},
                     "did you mean --test_store?"));
    CHECK(
        fails_with({"version", "--test_count=1"}, "not a flag of \"version\""));
    CHECK(fails_with({"service", "put", "x", "--test_count=seven"},
                     "--test_count=\"seven\""));
    CHECK(fails_with({"service", "put", "x", "--test_count"}, "needs a value"));
    CHECK(fails_with({"service", "put"}, "usage: guavastair service put"));
}

TEST_CASE("help covers all commands or one command") {
    const auto all = read({"--help"});
    REQUIRE(all.ok());
    CHECK(all->wants_help);
    CHECK(all->selected == nullptr);
    const auto one_word_name = read({"service", "put", "--help"});
    REQUIRE(one_word_name.ok());
    const std::string text =
        tool::help_text(commands(), one_word_name->selected);
    CHECK(text.find("--test_store") != std::string::npos);
    CHECK(text.find("a whole number") != std::string::npos);
}
