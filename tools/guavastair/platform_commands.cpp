#include "commands.hpp"

#include <guavastair/relay.hpp>

namespace guavastair::tool {

static absl::Status
run_platform_balancer(std::span<const std::string> /*arguments*/) {
    return relay::run_balancer();
}

static absl::Status
run_platform_agent(std::span<const std::string> /*arguments*/) {
    return relay::run_agent();
}

command platform_balancer_command() {
    return {"platform balancer",
            "",
            0,
            0,
            "runs a balancer on the users' platform",
            {},
            run_platform_balancer};
}

command platform_agent_command() {
    return {
        "platform agent",  "", 0, 0, "runs an agent on the users' platform", {},
        run_platform_agent};
}

} // namespace guavastair::tool
