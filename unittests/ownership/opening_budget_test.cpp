#include <guavastair/ownership.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace ownership = guavastair::ownership;
namespace support = guavastair::support;

TEST_CASE("the limit is one below the openings allowed in a second") {
    CHECK(ownership::opening_budget::limit(10.0, 1.5, 5.0) == 19);
    CHECK(ownership::opening_budget::limit(0.1, 1.0, 0.0) == 1);
}

TEST_CASE("a rate of 0 means no limit") {
    CHECK(ownership::opening_budget::limit(0.0, 1.5, 5.0) == UINT32_MAX);
}

TEST_CASE("no second contains more openings than allowed") {
    CHECK(rc::check("worst alignment", [] {
        const auto allowed = *rc::gen::inRange<std::uint32_t>(1, 30);
        const auto gaps = *rc::gen::container<std::vector<int>>(
            200, rc::gen::inRange(0, 120));
        // The delay to the server varies by up to 50 ms between packets.
        const auto path_delays =
            *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 51));
        ownership::opening_budget budget;
        std::vector<std::int64_t> arrivals;
        support::instant now{1'000'000};
        for (std::size_t i = 0; i < gaps.size(); ++i) {
            now = now + support::duration{gaps[i]};
            if (budget.remaining(now, allowed) == 0) {
                continue;
            }
            budget.spend(now);
            arrivals.push_back(now.ms + path_delays[i]);
        }
        std::sort(arrivals.begin(), arrivals.end());
        for (std::size_t i = 0; i + allowed < arrivals.size(); ++i) {
            RC_ASSERT(arrivals[i + allowed] - arrivals[i] >= 1000);
        }
    }));
}

TEST_CASE("the budget is available again after a second") {
    ownership::opening_budget budget;
    budget.spend({0});
    budget.spend({10});
    CHECK(budget.remaining({20}, 2) == 0);
    CHECK(budget.remaining({1055}, 2) == 1);
    CHECK(budget.remaining({1070}, 2) == 2);
}
