/// The commands of the guavastair binary.

#ifndef GUAVASTAIR_TOOLS_COMMANDS_HPP
#define GUAVASTAIR_TOOLS_COMMANDS_HPP

#include "command_line.hpp"

namespace guavastair::tool {

/// All commands, in the order in which help lists them.
std::span<const command> all_commands();

/// Runs a role until SIGTERM or SIGINT. A planned stop that does not finish
/// within its time limit ends the process with node::forced_stop_exit_code.
absl::Status run_balancer_command(std::span<const std::string> arguments);
absl::Status run_agent_command(std::span<const std::string> arguments);

/// Fetches the status of processes and prints it as a table or as JSON.
absl::Status run_status_command(std::span<const std::string> arguments);

/// Operator commands that read and write documents in the store.
absl::Status run_service_put(std::span<const std::string> arguments);
absl::Status run_service_get(std::span<const std::string> arguments);
absl::Status run_service_list(std::span<const std::string> arguments);
absl::Status run_service_delete(std::span<const std::string> arguments);
absl::Status run_data_centre_withdraw(std::span<const std::string> arguments);
absl::Status run_data_centre_return(std::span<const std::string> arguments);
absl::Status run_data_centre_list(std::span<const std::string> arguments);

/// The commands that run a role on the users' platform until SIGTERM or
/// SIGINT. The platform names the settings file in the environment.
command platform_balancer_command();
command platform_agent_command();

/// The command that checks settings files of the platform roles.
command platform_check_command();

absl::Status run_version(std::span<const std::string> arguments);

/// Checks settings files and documents without access to a store.
absl::Status run_check(std::span<const std::string> arguments);

} // namespace guavastair::tool

#endif
