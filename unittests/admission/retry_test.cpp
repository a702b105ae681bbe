#include "fake_server.hpp"

#include <doctest/doctest.h>

#include <array>
#include <map>

using namespace admission_test;

TEST_CASE("a forwarded timeout is reduced by the allowance, never below zero") {
    const admission::deadline request_deadline =
        admission::deadline_after({100}, support::milliseconds(50));
    CHECK(request_deadline.at->ms == 150);
    CHECK_FALSE(request_deadline.has_passed({149}));
    CHECK(request_deadline.has_passed({150}));
    CHECK(request_deadline.remaining({120})->ms == 30);
    CHECK(request_deadline.remaining({200})->ms == 0);
    CHECK(admission::remaining_for_next_hop(request_deadline, {100},
                                            support::milliseconds(5))
              ->ms == 45);
    CHECK(admission::remaining_for_next_hop(request_deadline, {148},
                                            support::milliseconds(5))
              ->ms == 0);
    CHECK_FALSE(admission::remaining_for_next_hop({}, {0}, {}).has_value());
    CHECK(admission::earlier(request_deadline, {}).at->ms == 150);
    CHECK(
        admission::earlier({support::instant{120}}, request_deadline).at->ms ==
        120);
}

TEST_CASE("the retry budget limits retries to a share of the requests") {
    admission::retry_budget budget({0.1, 5.0});
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.record_request();
        retries += budget.try_retry() ? 1 : 0;
    }
    CHECK(retries <= 1005);
    CHECK(retries >= 1000);
}

TEST_CASE("retry delays are spread over a window that grows with the number of "
          "refusals") {
    constexpr double served_per_second = 50.0;
    admission::retry_after retry_delays({}, 1);
    support::duration previous_window;
    for (const int refusals : {10, 100, 1000}) {
        std::map<std::int64_t, int> returns_by_delay;
        for (int i = 0; i < refusals; ++i) {
            const auto delay =
                retry_delays.record_refusal({}, served_per_second);
            CHECK(delay >= support::seconds(1));
            CHECK(delay <= support::seconds(60));
            CHECK(delay.ms % 1000 == 0);
            ++returns_by_delay[delay.ms];
        }
        CHECK(retry_delays.window() > previous_window);
        previous_window = retry_delays.window();
        // In no second do more callers retry than the server completes in 3 s.
        for (const auto& [delay, count] : returns_by_delay) {
            CHECK(count <= 3 * served_per_second);
        }
    }
    // After 600 s without refusals the window is small again.
    retry_delays.record_refusal({600'000}, served_per_second);
    CHECK(retry_delays.window() < support::seconds(1));
}
