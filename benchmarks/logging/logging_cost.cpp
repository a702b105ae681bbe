/// Cost of one log line for a routing decision, when it is written to a file
/// and when its level is disabled. The file is removed at the end.

#include <guavastair/logging.hpp>

#include <benchmark/benchmark.h>

#include <cstdio>

namespace logging = guavastair::logging;
namespace support = guavastair::support;

namespace {

constexpr const char* path = "logging_cost.log";

void write_decision(benchmark::State& state, logging::level decisions) {
    logging::options options;
    options.file = path;
    options.decisions = decisions;
    options.node = support::node_name{"balancer-1"};
    if (!logging::set_up(options).ok()) {
        state.SkipWithError("cannot open logging_cost.log");
        return;
    }
    const support::endpoint caller{support::ipv4_address{0x0a630001}, 10000};
    const support::endpoint next{support::ipv4_address{0x7f000001}, 6081};
    constexpr auto target_channel = logging::channel::decision;
    for (auto _ : state) {
        if (!logging::is_enabled(target_channel, logging::level::info)) {
            continue;
        }
        logging::line entry("flow_forwarded");
        entry.add("flow", caller).add("service", "order-portal");
        entry.add("next", next).add("position", 0);
        logging::write(target_channel, logging::level::info, entry);
    }
    logging::shut_down();
    std::remove(path);
}

void write_enabled_line(benchmark::State& state) {
    write_decision(state, logging::level::info);
}

void write_disabled_line(benchmark::State& state) {
    write_decision(state, logging::level::warn);
}

BENCHMARK(write_enabled_line);
BENCHMARK(write_disabled_line);

} // namespace

BENCHMARK_MAIN();
