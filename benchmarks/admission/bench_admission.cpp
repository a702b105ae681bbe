/// Cost of admission decisions, then the tables of bench_tables.hpp.

#include "bench_tables.hpp"

#include <guavastair/admission.hpp>

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>
#include <malloc.h>

namespace admission = guavastair::admission;
namespace support = guavastair::support;

namespace {

// Heap in use, including the allocator's overhead.
std::size_t heap_bytes() {
    return mallinfo2().uordblks;
}

// One request admitted, forwarded and answered, at a server whose slots are
// busy but for one. Argument: slots.
void decide_request(benchmark::State& state) {
    admission::controller_settings settings;
    settings.limiter.slots = static_cast<int>(state.range(0));
    settings.limiter.cold_slots = settings.limiter.slots;
    admission::controller controller(settings, {}, {});
    for (int i = 1; i < settings.limiter.slots; ++i) {
        controller.request_forwarded({}, controller.admit({}, 1, {}).id);
    }
    for (auto step : state) {
        const auto answer = controller.admit({}, 1, {});
        controller.request_forwarded({}, answer.id);
        controller.finish({}, answer.id, admission::completion::answered);
        benchmark::DoNotOptimize(controller.take_wakeups({}));
    }
}
BENCHMARK(decide_request)->Arg(2)->Arg(5)->Arg(50);

// Heap per request in progress.
void request_memory(benchmark::State& state) {
    admission::controller_settings settings;
    settings.limiter.slots = static_cast<int>(state.range(0));
    settings.limiter.cold_slots = settings.limiter.slots;
    double bytes = 0.0;
    for (auto step : state) {
        const std::size_t before = heap_bytes();
        admission::controller controller(settings, {}, {});
        for (int i = 0; i < settings.limiter.slots; ++i) {
            controller.request_forwarded({}, controller.admit({}, 1, {}).id);
        }
        bytes = static_cast<double>(heap_bytes() - before);
    }
    state.counters["bytes"] = bytes;
    state.counters["bytes_each"] = bytes / settings.limiter.slots;
}
BENCHMARK(request_memory)->Arg(1)->Arg(2)->Arg(5)->Arg(1000)->Iterations(3);

void refuse_request(benchmark::State& state) {
    admission::controller_settings settings;
    settings.limiter.slots = static_cast<int>(state.range(0));
    settings.limiter.cold_slots = settings.limiter.slots;
    settings.waiting_per_slot = 0;
    admission::controller controller(settings, {}, {});
    for (int i = 0; i < settings.limiter.slots; ++i) {
        controller.request_forwarded({}, controller.admit({}, 1, {}).id);
    }
    for (auto step : state) {
        benchmark::DoNotOptimize(controller.admit({}, 1, {}));
    }
}
BENCHMARK(refuse_request)->Arg(2)->Arg(5)->Arg(50);

void decide_flow(benchmark::State& state) {
    admission::controller controller({}, {}, {});
    for (int i = 0; i < state.range(0); ++i) {
        controller.flow_opened({});
    }
    for (auto step : state) {
        benchmark::DoNotOptimize(controller.admit_flow({}, true));
    }
}
BENCHMARK(decide_flow)->Arg(20)->Arg(200)->Arg(2000);

// Heap of a table of completed operations, and the cost of a repeated one.
// Argument: operations in the table.
void repeat_operation(benchmark::State& state) {
    admission::at_most_once::settings settings;
    settings.max_entries = 1'000'000;
    settings.max_bytes = std::size_t{1} << 30U;
    settings.key_lifetime = {};
    settings.clock_skew = {};
    admission::at_most_once table(settings, {}, {});
    table.tick(support::instant{2000});
    table.tick(support::instant{4000});
    const std::size_t before = heap_bytes();
    for (int i = 0; i < state.range(0); ++i) {
        const admission::operation_key key{
            {"orders"}, absl::StrCat("018bcfe5-6800-4000-8000-", 100'000 + i)};
        table.claim({4000}, key, {1}, 1);
        table.mark_started({4000}, key);
        table.complete(
            {4000}, key,
            {"HTTP/1.1 201 Created\r\n\r\n", std::string(200, 'x'), true});
    }
    const auto count = static_cast<double>(state.range(0));
    state.counters["bytes_counted"] =
        static_cast<double>(table.bytes()) / count;
    state.counters["bytes_of_heap"] =
        static_cast<double>(heap_bytes() - before) / count;
    const admission::operation_key first{{"orders"},
                                         "018bcfe5-6800-4000-8000-100000"};
    for (auto step : state) {
        benchmark::DoNotOptimize(table.claim({4000}, first, {1}, 1));
    }
}
BENCHMARK(repeat_operation)->Arg(1000)->Arg(10'000)->Arg(100'000);

void find_home_agent(benchmark::State& state) {
    std::vector<support::member_id> members;
    for (std::uint64_t i = 1; i <= static_cast<std::uint64_t>(state.range(0));
         ++i) {
        members.push_back({i});
    }
    const admission::operation_key key{{"orders"}, "order-1"};
    for (auto step : state) {
        benchmark::DoNotOptimize(admission::home_agent_of(key, members));
    }
}
BENCHMARK(find_home_agent)->Arg(7)->Arg(70)->Arg(700);

} // namespace

int main(int argc, char** argv) {
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    admission_bench::print_tables();
    return 0;
}
