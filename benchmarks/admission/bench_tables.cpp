#include "bench_tables.hpp"

#include <absl/strings/string_view.h>
#include <load_simulation.hpp>

#include <array>
#include <cstdio>
#include <map>

namespace admission_bench {

namespace {

using namespace admission_test;

constexpr std::array<int, 2> slot_counts{5, 2};
constexpr std::array<latency_distribution, 3> distributions{
    latency_distribution::fixed, latency_distribution::exponential,
    latency_distribution::lognormal};
constexpr std::array<const char*, 3> distribution_names{"fixed", "exponential",
                                                        "lognormal"};
constexpr int seeds = 5;
constexpr support::duration request_deadline = support::milliseconds(1200);

const char* name_of(latency_distribution s) {
    return distribution_names[static_cast<std::size_t>(s)];
}

load_settings server_from_cold(int slots, double load,
                               latency_distribution latencies) {
    load_settings settings;
    settings.server.slots = slots;
    settings.server.latencies = latencies;
    settings.controller.limiter.slots = slots;
    settings.load = load;
    settings.deadline = request_deadline;
    settings.measure_after = support::seconds(40);
    settings.length = support::seconds(240);
    return settings;
}

// Goodput relative to the capacity, averaged over the seeds.
void print_goodput() {
    std::printf("\ngoodput over capacity, from 40 s after a cold start\n");
    std::printf("slots latencies    waiting   0.5x   1x     2x     4x     "
                "overloads  p99 wait ms at 2x\n");
    for (const int slots : slot_counts) {
        for (const latency_distribution latencies : distributions) {
            for (const int waiting : {0, 1, 2, 4}) {
                std::printf("%5d %-12s %7d", slots, name_of(latencies),
                            waiting);
                std::int64_t overloads = 0;
                std::int64_t wait = 0;
                for (const double load : {0.5, 1.0, 2.0, 4.0}) {
                    double goodput = 0.0;
                    for (int seed = 1; seed <= seeds; ++seed) {
                        auto settings =
                            server_from_cold(slots, load, latencies);
                        settings.controller.waiting_per_slot = waiting;
                        settings.seed = static_cast<std::uint64_t>(seed);
                        const load_result r = load_simulation(settings).run();
                        goodput += r.goodput;
                        overloads += r.overloads;
                        wait += load == 2.0 ? r.wait_p99_ms : 0;
                    }
                    std::printf("  %.3f", goodput / seeds);
                }
                std::printf("  %9ld  %ld\n", static_cast<long>(overloads),
                            static_cast<long>(wait / seeds));
            }
        }
    }
}

struct limit_case {
    const char* name;
    bool static_limit;
    admission::growth_rule growth;
};

constexpr std::array<limit_case, 3> limit_cases{
    limit_case{"static", true, admission::growth_rule::aimd},
    limit_case{"aimd", false, admission::growth_rule::aimd},
    limit_case{"gradient", false, admission::growth_rule::gradient}};

// A server that is cold at the start and turns cold again after 60 s without
// notice.
void print_cold_starts() {
    std::printf(
        "\ncold start at 0 s and unannounced at 60 s, load 2x, 120 s\n");
    std::printf("slots limit     shows by            overloads before 60 s  "
                "after  goodput 40-60 s\n");
    struct symptom {
        const char* name;
        bool refuses;
        double cold_factor;
        double overload_factor;
    };
    constexpr std::array<symptom, 3> symptoms{
        symptom{"refusal", true, 1.0, 1.0},
        symptom{"slow while cold", false, 8.0, 8.0},
        symptom{"slow when too full", false, 1.0, 8.0}};
    for (const int slots : slot_counts) {
        for (const limit_case& limit : limit_cases) {
            for (const symptom& s : symptoms) {
                std::int64_t before = 0;
                std::int64_t total = 0;
                double goodput = 0.0;
                for (int seed = 1; seed <= seeds; ++seed) {
                    auto settings = server_from_cold(
                        slots, 2.0, latency_distribution::exponential);
                    settings.server.refuses = s.refuses;
                    settings.server.cold_factor = s.cold_factor;
                    settings.server.overload_factor = s.overload_factor;
                    settings.controller.limiter.growth = limit.growth;
                    if (limit.static_limit) {
                        settings.controller.limiter.cold_slots = slots;
                    }
                    settings.seed = static_cast<std::uint64_t>(seed);
                    settings.length = support::seconds(60);
                    goodput += load_simulation(settings).run().goodput;
                    settings.length = support::seconds(120);
                    load_simulation run(settings);
                    run.at({60'000}, [&](support::instant now) {
                        before += run.server(0).overloads;
                        run.server(0).turn_cold(now);
                    });
                    total += run.run().overloads;
                }
                std::printf("%5d %-9s %-19s %21ld  %5ld  %.3f\n", slots,
                            limit.name, s.name,
                            static_cast<long>(before / seeds),
                            static_cast<long>((total - before) / seeds),
                            goodput / seeds);
            }
        }
    }
}

struct placement_case {
    const char* name;
    placement_rule rule;
    int choices;
    int balancers;
};

constexpr std::array<placement_case, 6> placements{
    placement_case{"random", placement_rule::random, 1, 1},
    placement_case{"round robin", placement_rule::round_robin, 1, 1},
    placement_case{"round robin x4", placement_rule::round_robin, 1, 4},
    placement_case{"2 choices", placement_rule::choices, 2, 1},
    placement_case{"3 choices", placement_rule::choices, 3, 1},
    placement_case{"4 choices", placement_rule::choices, 4, 1}};

void print_placement() {
    std::printf("\n7 warm servers, 80%% of the slots busy, same arrivals\n");
    std::printf("slots latencies    rule            busy max/mean  "
                "load max/mean  wait ms p50  p99  mean\n");
    for (const int slots : slot_counts) {
        for (const latency_distribution latencies : distributions) {
            for (const placement_case& p : placements) {
                load_result sum;
                for (int seed = 1; seed <= seeds; ++seed) {
                    auto settings = server_from_cold(slots, 0.8, latencies);
                    settings.servers = 7;
                    settings.deadline = {};
                    settings.server.ramp = {};
                    settings.server.ramp_answers = 0;
                    settings.controller.limiter.cold_slots = slots;
                    settings.controller.waiting_per_slot = 100'000;
                    settings.controller.max_wait = support::seconds(10'000);
                    settings.rule = p.rule;
                    settings.choices = p.choices;
                    settings.balancers = p.balancers;
                    settings.seed = static_cast<std::uint64_t>(seed);
                    const load_result r = load_simulation(settings).run();
                    sum.busy_imbalance += r.busy_imbalance / seeds;
                    sum.load_imbalance += r.load_imbalance / seeds;
                    sum.wait_p50_ms += r.wait_p50_ms;
                    sum.wait_p99_ms += r.wait_p99_ms;
                    sum.wait_mean_ms += r.wait_mean_ms / seeds;
                }
                std::printf("%5d %-12s %-15s %13.3f  %13.3f  %11ld  %3ld  "
                            "%.1f\n",
                            slots, name_of(latencies), p.name,
                            sum.busy_imbalance, sum.load_imbalance,
                            static_cast<long>(sum.wait_p50_ms / seeds),
                            static_cast<long>(sum.wait_p99_ms / seeds),
                            sum.wait_mean_ms);
            }
        }
    }
}

void print_retry_after() {
    std::printf("\nretries of callers refused at the same time, 50 served per "
                "second\n");
    std::printf("refusals  window s  busiest second  latest s\n");
    for (const int refusals : {10, 100, 1000, 10'000}) {
        admission::retry_after retry_policy({}, 1);
        std::map<std::int64_t, int> returns;
        for (int i = 0; i < refusals; ++i) {
            ++returns[retry_policy.record_refusal({}, 50.0).ms / 1000];
        }
        int busiest = 0;
        for (const auto& [second, count] : returns) {
            busiest = std::max(busiest, count);
        }
        std::printf("%8d  %8.1f  %14d  %8ld\n", refusals,
                    static_cast<double>(retry_policy.window().ms) / 1000.0,
                    busiest, static_cast<long>(returns.rbegin()->first));
    }
}

} // namespace

void print_tables() {
    print_goodput();
    print_cold_starts();
    print_placement();
    print_retry_after();
}

} // namespace admission_bench
