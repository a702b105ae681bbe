#include "load_simulation.hpp"

#include <doctest/doctest.h>

using namespace admission_test;

namespace {

load_result simulate_seven_servers(int slots, latency_distribution latencies,
                                   placement_rule rule) {
    load_settings settings;
    settings.servers = 7;
    settings.server.slots = slots;
    settings.server.latencies = latencies;
    settings.server.ramp = {};
    settings.server.ramp_answers = 0;
    settings.controller.limiter.slots = slots;
    settings.controller.limiter.cold_slots = slots;
    settings.controller.waiting_per_slot = 100'000;
    settings.controller.max_wait = support::seconds(10'000);
    settings.rule = rule;
    settings.load = 0.8;
    settings.measure_after = support::seconds(20);
    settings.length = support::seconds(140);
    return load_simulation(settings).run();
}

} // namespace

// A single global round robin sees every arrival. Two candidates know only
// their own counts.
TEST_CASE("two choices: shorter p99 wait than a single global round robin for "
          "every latency distribution") {
    for (const int slots : {5, 2}) {
        for (const latency_distribution latencies :
             {latency_distribution::fixed, latency_distribution::exponential,
              latency_distribution::lognormal}) {
            CAPTURE(slots);
            CAPTURE(static_cast<int>(latencies));
            const auto two_choices = simulate_seven_servers(
                slots, latencies, placement_rule::choices);
            const auto round_robin_result = simulate_seven_servers(
                slots, latencies, placement_rule::round_robin);
            CHECK(two_choices.wait_p99_ms < round_robin_result.wait_p99_ms);
        }
    }
}
