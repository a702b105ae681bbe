/// Every command of the binary.

#ifndef GUAVASTAIR_TOOLS_COMMANDS_HPP
#define GUAVASTAIR_TOOLS_COMMANDS_HPP

#include "command_line.hpp"

namespace guavastair::tool {

/// The table of commands, in the order in which help lists them.
std::span<const command> all_commands();

/// Runs a role until SIGTERM or SIGINT. A planned stop that does not finish
/// in its bound ends the process with node::forced_stop_exit_code.
absl::Status run_balancer_command(std::span<const std::string> arguments);
absl::Status run_agent_command(std::span<const std::string> arguments);

/// Asks processes for their state and prints a table or JSON.
absl::Status run_status_command(std::span<const std::string> arguments);

/// The operator's commands on documents in the store.
absl::Status run_service_put(std::span<const std::string> arguments);
absl::Status run_service_get(std::span<const std::string> arguments);
absl::Status run_service_list(std::span<const std::string> arguments);
absl::Status run_service_delete(std::span<const std::string> arguments);
absl::Status run_data_centre_withdraw(std::span<const std::string> arguments);
absl::Status run_data_centre_return(std::span<const std::string> arguments);
absl::Status run_data_centre_list(std::span<const std::string> arguments);

/// The commands that run a role on the users' platform until SIGTERM or
/// SIGINT; the platform's environment names the settings.
command platform_balancer_command();
command platform_agent_command();

/// Checks the settings files of those roles.
command platform_check_command();

absl::Status run_version(std::span<const std::string> arguments);

/// Checks settings and documents without a store.
absl::Status run_check(std::span<const std::string> arguments);

} // namespace guavastair::tool

#endif
