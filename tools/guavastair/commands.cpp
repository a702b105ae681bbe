#include "commands.hpp"

#include <array>
#include <iostream>

namespace guavastair::tool {

/// Bounds one call of "check".
static constexpr std::size_t max_checked_files = 10'000;

static absl::Status run_version(std::span<const std::string> /*arguments*/) {
    std::cout << "guavastair " << GUAVASTAIR_VERSION << "\n";
    return absl::OkStatus();
}

/// The table, in the order in which help lists it.
static const std::array commands{
    command{"balancer",
            "--settings=FILE",
            0,
            0,
            "runs a balancer on an entry VM",
            {"settings"},
            run_balancer_command},
    command{"agent",
            "--settings=FILE",
            0,
            0,
            "runs an agent beside a backend server",
            {"settings"},
            run_agent_command},
    command{"status",
            "--admin=a.b.c.d:port[,...]",
            0,
            0,
            "shows what processes hold and see",
            {"admin", "format", "timeout_ms"},
            run_status_command},
    command{"service put",
            "FILE",
            1,
            1,
            "writes a service's document",
            {"store", "base_revision", "format", "timeout_ms"},
            run_service_put},
    command{"service get",
            "NAME",
            1,
            1,
            "shows a service's document and its revision",
            {"store", "format", "timeout_ms"},
            run_service_get},
    command{"service list",
            "",
            0,
            0,
            "lists the services",
            {"store", "format", "timeout_ms"},
            run_service_list},
    command{"service delete",
            "NAME",
            1,
            1,
            "deletes a service's document",
            {"store", "base_revision", "format", "timeout_ms"},
            run_service_delete},
    command{"data-centre withdraw",
            "NAME",
            1,
            1,
            "takes a data centre out of service",
            {"store", "base_revision", "format", "timeout_ms"},
            run_data_centre_withdraw},
    command{"data-centre return",
            "NAME",
            1,
            1,
            "brings a data centre back into service",
            {"store", "base_revision", "format", "timeout_ms"},
            run_data_centre_return},
    command{"data-centre list",
            "",
            0,
            0,
            "lists the data centres that operators have named",
            {"store", "format", "timeout_ms"},
            run_data_centre_list},
    command{"check",
            "balancer|agent|service|data-centre FILE...",
            2,
            max_checked_files,
            "checks settings or documents and lists every error",
            {"format"},
            run_check},
    command{"version", "", 0, 0, "shows the version", {}, run_version},
};

std::span<const command> all_commands() {
    return commands;
}

} // namespace guavastair::tool
