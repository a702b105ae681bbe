#include "commands.hpp"

#include <guavastair/relay.hpp>

namespace guavastair::tool {

absl::Status run_platform_balancer(std::span<const std::string> /*arguments*/) {
    return relay::run_balancer();
}

absl::Status run_platform_agent(std::span<const std::string> /*arguments*/) {
    return relay::run_agent();
}

} // namespace guavastair::tool
