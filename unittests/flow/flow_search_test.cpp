#include "caller_fake.hpp"
#include "schemes.hpp"

#include <doctest/doctest.h>

#include <string>

static void log_result(const std::string& name,
                       const fake::run_result& result) {
    MESSAGE(name, ": ", result.established, " flows, ", result.changes,
            " changes, broken ", result.broken, ", owner lost ",
            result.owner_lost, " (", result.owner_lost_without_reset,
            " without a reset)", ", refused ", result.refused,
            ", passes per packet ",
            static_cast<double>(result.passes) /
                static_cast<double>(result.delivered),
            ", max passes ", result.max_passes_seen, ", longest wait ",
            result.longest_wait_ms, " ms, waits of 1 s or more ",
            result.long_waits, " of ", result.delivered,
            ", delivered to a wrong agent ", result.wrong_deliveries,
            ", delivered to another service ", result.foreign_deliveries);
}

static void check_invariants(const fake::run_result& result) {
    CHECK(result.broken == 0);
    CHECK(result.foreign_deliveries == 0);
    CHECK(result.wrong_deliveries == 0);
    CHECK(result.double_completions == 0);
    CHECK(result.max_passes_seen <= guavastair::flow::max_passes);
    CHECK(result.established == result.finished + result.owner_lost);
}

TEST_CASE("no planned change breaks a flow") {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        const auto scheme = fake::make_flow_search();
        const auto result = fake::run(*scheme, {.seed = seed, .flows = 56'000});
        log_result(scheme->name(), result);
        check_invariants(result);
    }
}

TEST_CASE("the baselines break flows on the same schedule") {
    for (const auto& make :
         {fake::make_modulo_hashing, fake::make_consistent_hashing,
          fake::make_balancer_flow_table}) {
        const auto scheme = make();
        const auto result = fake::run(*scheme, {.seed = 1, .flows = 5'000});
        log_result(scheme->name(), result);
        CHECK(result.broken > 0);
    }
}
