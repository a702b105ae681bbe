#include "command_line.hpp"
#include "fabric.hpp"
#include "fabric_control.hpp"
#include "subcommands.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include <iostream>

ABSL_FLAG(std::string, fabric_callers, "127.0.0.1:0",
          "fabric: UDP address for callers' packets");
ABSL_FLAG(std::string, fabric_returns, "127.0.0.1:0",
          "fabric: UDP address for agents' packets");
ABSL_FLAG(std::string, fabric_balancers, "",
          "fabric: balancers as a.b.c.d:port[@delay_ms], separated by commas");
ABSL_FLAG(std::string, fabric_control, "",
          "fabric: file with commands, run whenever it changes");
ABSL_FLAG(std::int64_t, fabric_return_delay_ms, 0,
          "fabric: one-way delay of agents' packets");
ABSL_FLAG(std::uint32_t, fabric_lose, 0,
          "fabric: packets lost, in parts of 10000");
ABSL_FLAG(std::uint32_t, fabric_duplicate, 0,
          "fabric: packets duplicated, in parts of 10000");
ABSL_FLAG(std::uint32_t, fabric_reorder, 0,
          "fabric: packets delayed to reorder them, in parts of 10000");
ABSL_FLAG(std::uint64_t, fabric_seed, 1, "fabric: seed of the faults");

namespace guavastair::standin {

static void print_counters(const fabric_counters& counters) {
    std::cout << "{\"from_callers\":" << counters.from_callers
              << ",\"from_agents\":" << counters.from_agents
              << ",\"lost\":" << counters.lost
              << ",\"duplicated\":" << counters.duplicated
              << ",\"reordered\":" << counters.reordered
              << ",\"silenced\":" << counters.silenced
              << ",\"undeliverable\":" << counters.undeliverable << "}"
              << std::endl;
}

int run_fabric(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    const support::steady_clock clock;
    net::event_loop loop(clock);
    stop_on_signal(loop);
    const auto balancers =
        parse_balancers(absl::GetFlag(FLAGS_fabric_balancers));
    if (!balancers.ok()) {
        return usage_error(
            absl::StrCat("--fabric_balancers: ", balancers.status().message()));
    }
    const auto opened = fabric::open(
        loop, {.callers = endpoint_flag("fabric_callers",
                                        absl::GetFlag(FLAGS_fabric_callers)),
               .returns = endpoint_flag("fabric_returns",
                                        absl::GetFlag(FLAGS_fabric_returns)),
               .balancers = *balancers,
               .return_delay = support::milliseconds(
                   absl::GetFlag(FLAGS_fabric_return_delay_ms)),
               .faults = {.lose = absl::GetFlag(FLAGS_fabric_lose),
                          .duplicate = absl::GetFlag(FLAGS_fabric_duplicate),
                          .reorder = absl::GetFlag(FLAGS_fabric_reorder)},
               .seed = absl::GetFlag(FLAGS_fabric_seed)});
    if (!opened.ok()) {
        return usage_error(opened.status().message());
    }
    fabric& running = **opened;
    const control_file control(loop, running,
                               absl::GetFlag(FLAGS_fabric_control));
    std::cout << "callers " << support::to_string(running.callers())
              << "\nreturns " << support::to_string(running.returns())
              << std::endl;
    loop.run();
    print_counters(running.counters());
    return 0;
}

} // namespace guavastair::standin
