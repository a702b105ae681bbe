#include "fleet.hpp"

#include <benchmark/benchmark.h>

/// Computes the table of one service. Argument: members of the service.
static void compute_service(benchmark::State& state) {
    const auto service =
        bench::make_service(0, static_cast<std::uint32_t>(state.range(0)));
    for (auto _ : state) {
        const bench::placement::service_table table(service);
        benchmark::DoNotOptimize(table.address());
    }
    const bench::placement::service_table table(service);
    state.counters["table_bytes"] = static_cast<double>(table.memory_bytes());
}

/// Replaces one service in a view. Argument: services of the view, with eight
/// members each.
static void replace_service(benchmark::State& state) {
    const auto services = static_cast<std::uint32_t>(state.range(0));
    const std::size_t before = bench::allocated_bytes();
    const auto view = bench::make_view(services, services * 8);
    const auto heap_growth =
        static_cast<double>(bench::allocated_bytes() - before);
    const auto changed = bench::make_service(0, 9);
    for (auto _ : state) {
        const auto next = view->with_service(changed);
        benchmark::DoNotOptimize(next->size());
    }
    state.counters["view_bytes"] = heap_growth;
    state.counters["bytes_per_service"] = heap_growth / services;
}

BENCHMARK(compute_service)
    ->Arg(2)
    ->Arg(8)
    ->Arg(32)
    ->Arg(128)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(replace_service)
    ->Arg(18)
    ->Arg(180)
    ->Arg(1800)
    ->Unit(benchmark::kMicrosecond);
