#include "commands.hpp"

#include <array>

namespace guavastair::tool {

/// What the binary can do when it is built for the platform alone.
static const std::array commands{
    command{"platform balancer",
            "",
            0,
            0,
            "runs a balancer on the users' platform",
            {},
            run_platform_balancer},
    command{"platform agent",
            "",
            0,
            0,
            "runs an agent on the users' platform",
            {},
            run_platform_agent},
    command{"version", "", 0, 0, "shows the version", {}, run_version},
};

std::span<const command> all_commands() {
    return commands;
}

} // namespace guavastair::tool
