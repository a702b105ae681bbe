#include "commands.hpp"
#include "settings.hpp"

#include <guavastair/relay.hpp>

#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <iostream>

ABSL_FLAG(std::string, without, "",
          "mechanisms to disable, separated by commas, to measure their "
          "effect");
ABSL_FLAG(std::uint32_t, log_lines_per_event, 100,
          "maximum log lines per event in one second; further lines are only "
          "counted");

namespace guavastair::tool {

static absl::StatusOr<relay::run_options> read_run_options() {
    auto enabled = ablation::mechanisms::without(absl::GetFlag(FLAGS_without));
    if (!enabled.ok()) {
        return enabled.status();
    }
    return relay::run_options{*enabled,
                              absl::GetFlag(FLAGS_log_lines_per_event)};
}

static absl::Status
run_platform_balancer(std::span<const std::string> /*arguments*/) {
    const auto options = read_run_options();
    return options.ok() ? relay::run_balancer(*options) : options.status();
}

static absl::Status
run_platform_agent(std::span<const std::string> /*arguments*/) {
    const auto options = read_run_options();
    return options.ok() ? relay::run_agent(*options) : options.status();
}

/// Checks platform settings files. The first argument is the role, the others
/// are files. The error lists the problems of all files.
static absl::Status run_platform_check(std::span<const std::string> arguments) {
    const auto role = platform::parse_process_role(arguments[0]);
    if (!role.has_value()) {
        return support::make_error(
            support::error_kind::invalid_input,
            absl::StrCat("unknown role \"", arguments[0],
                         "\": expected balancer or agent"));
    }
    std::vector<std::string> problems;
    for (const std::string& file : arguments.subspan(1)) {
        const auto read = platform::load_settings(*role, file);
        if (read.ok()) {
            std::cout << file << ": ok\n";
        } else {
            problems.emplace_back(read.status().message());
        }
    }
    if (problems.empty()) {
        return absl::OkStatus();
    }
    return support::make_error(support::error_kind::invalid_input,
                               absl::StrJoin(problems, "\n"));
}

command platform_check_command() {
    constexpr std::size_t max_checked_files = 10'000;
    return {"platform check",
            "balancer|agent FILE...",
            2,
            max_checked_files,
            "checks the platform's settings files and lists every error",
            {},
            run_platform_check};
}

command platform_balancer_command() {
    return {"platform balancer",
            "",
            0,
            0,
            "runs a balancer on the users' platform",
            {"without", "log_lines_per_event"},
            run_platform_balancer};
}

command platform_agent_command() {
    return {"platform agent",
            "",
            0,
            0,
            "runs an agent on the users' platform",
            {"without", "log_lines_per_event"},
            run_platform_agent};
}

} // namespace guavastair::tool
