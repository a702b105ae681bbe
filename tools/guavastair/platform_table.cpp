#include "commands.hpp"

#include <array>

namespace guavastair::tool {

/// All commands of a build with GUAVASTAIR_PLATFORM_ONLY.
static const std::array commands{
    platform_balancer_command(),
    platform_agent_command(),
    platform_check_command(),
    command{"version", "", 0, 0, "shows the version", {}, run_version},
};

std::span<const command> all_commands() {
    return commands;
}

} // namespace guavastair::tool
