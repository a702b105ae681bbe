#include "fake_server.hpp"

#include <doctest/doctest.h>

#include <array>
#include <map>

using namespace admission_test;

TEST_CASE("deadlines pass on and shrink, never below zero") {
    const admission::deadline limit =
        admission::deadline_after({100}, support::milliseconds(50));
    CHECK(limit.at->ms == 150);
    CHECK_FALSE(limit.has_passed({149}));
    CHECK(limit.has_passed({150}));
    CHECK(limit.remaining({120})->ms == 30);
    CHECK(limit.remaining({200})->ms == 0);
    CHECK(admission::remaining_for_next_hop(limit, {100},
                                            support::milliseconds(5))
              ->ms == 45);
    CHECK(admission::remaining_for_next_hop(limit, {148},
                                            support::milliseconds(5))
              ->ms == 0);
    CHECK_FALSE(admission::remaining_for_next_hop({}, {0}, {}).has_value());
    CHECK(admission::earlier(limit, {}).at->ms == 150);
    CHECK(admission::earlier({support::instant{120}}, limit).at->ms == 120);
}

TEST_CASE("retries stay a share of the requests") {
    admission::retry_budget budget({0.1, 5.0});
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.request_sent();
        retries += budget.try_retry() ? 1 : 0;
    }
    CHECK(retries <= 1005);
    CHECK(retries >= 1000);
}

TEST_CASE("refused callers come back spread over a window that grows with the "
          "refusals") {
    constexpr double served_per_second = 50.0;
    admission::retry_after spread({}, 1);
    support::duration last_window;
    for (const int refusals : {10, 100, 1000}) {
        std::map<std::int64_t, int> returns;
        for (int i = 0; i < refusals; ++i) {
            const auto later = spread.record_refusal({}, served_per_second);
            CHECK(later >= support::seconds(1));
            CHECK(later <= support::seconds(60));
            CHECK(later.ms % 1000 == 0);
            ++returns[later.ms];
        }
        CHECK(spread.window() > last_window);
        last_window = spread.window();
        // No second gets back more than the server completes in three.
        for (const auto& [later, count] : returns) {
            CHECK(count <= 3 * served_per_second);
        }
    }
    // Long after, the window is small again.
    spread.record_refusal({600'000}, served_per_second);
    CHECK(spread.window() < support::seconds(1));
}
