#include "fleet.hpp"
#include "placement/naive_order.hpp"

#include <benchmark/benchmark.h>

using bench::allocations;

/// Forwarding decision for one packet. Arguments: services and members of the
/// fleet, and the numbers of services and flows that the packets belong to.
static void decide(benchmark::State& state) {
    const auto view =
        bench::make_view(static_cast<std::uint32_t>(state.range(0)),
                         static_cast<std::uint32_t>(state.range(1)));
    const auto packets =
        bench::make_packets(static_cast<std::size_t>(state.range(3)),
                            static_cast<std::uint32_t>(state.range(2)));
    bench::flow::forward_action action;
    std::size_t next = 0;
    std::size_t sent = 0;
    const std::size_t before = allocations();
    for (auto _ : state) {
        bench::flow::forward_decision(*view, packets[next], action);
        benchmark::DoNotOptimize(action.next);
        sent += action.kind == bench::flow::forward_kind::send ? 1 : 0;
        next = next + 1 == packets.size() ? 0 : next + 1;
    }
    const auto count = static_cast<double>(state.iterations());
    state.counters["allocations"] =
        static_cast<double>(allocations() - before) / count;
    state.counters["sent"] = static_cast<double>(sent) / count;
}

/// The same decision, but all members of the service are ranked for each
/// packet.
static void decide_by_ranking(benchmark::State& state) {
    const auto view =
        bench::make_view(static_cast<std::uint32_t>(state.range(0)),
                         static_cast<std::uint32_t>(state.range(1)));
    const auto packets =
        bench::make_packets(static_cast<std::size_t>(state.range(3)),
                            static_cast<std::uint32_t>(state.range(2)));
    std::array<std::byte, bench::flow::max_frame_header_size> out;
    std::size_t next = 0;
    for (auto _ : state) {
        const auto read = bench::flow::parse_packet(packets[next]);
        const auto* table = view->find(read.value.key.service);
        bench::flow::frame_header header;
        header.candidates = naive::candidates(
            table->source().members, bench::flow::flow_hash(read.value.key));
        benchmark::DoNotOptimize(bench::flow::encode_frame_header(header, out));
        next = next + 1 == packets.size() ? 0 : next + 1;
    }
}

BENCHMARK(decide)
    ->ArgNames({"services", "members", "used", "flows"})
    ->Args({2, 10, 2, 1024})
    ->Args({2, 15, 2, 1024})
    ->Args({1800, 15'000, 2, 1024})
    ->Args({2, 10, 2, 65'536})
    ->Args({1800, 15'000, 2, 65'536})
    ->Args({1800, 15'000, 1800, 1024})
    ->Args({1800, 15'000, 1800, 65'536});
BENCHMARK(decide_by_ranking)
    ->ArgNames({"services", "members", "used", "flows"})
    ->Args({2, 10, 2, 1024})
    ->Args({1800, 15'000, 2, 1024});

BENCHMARK_MAIN();
