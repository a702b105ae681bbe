#include <guavastair/supervisor.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace supervisor = guavastair::supervisor;
namespace support = guavastair::support;

TEST_CASE("the backoff doubles up to its limit") {
    supervisor::restart_limits limits;
    limits.first_backoff = support::milliseconds(100);
    limits.longest_backoff = support::milliseconds(350);
    limits.max_restarts = 4;
    supervisor::restart_policy policy(limits);
    const support::instant now{0};
    CHECK(policy.on_failure(now)->ms == 100);
    CHECK(policy.on_failure(now)->ms == 200);
    CHECK(policy.on_failure(now)->ms == 350);
    CHECK(policy.on_failure(now)->ms == 350);
    CHECK_FALSE(policy.on_failure(now).has_value());
}

TEST_CASE("failures outside the window are not counted") {
    supervisor::restart_limits limits;
    limits.max_restarts = 1;
    limits.window = support::seconds(10);
    supervisor::restart_policy policy(limits);
    CHECK(policy.on_failure(support::instant{0}).has_value());
    CHECK(policy.on_failure(support::instant{10'001}).has_value());
    CHECK_FALSE(policy.on_failure(support::instant{10'002}).has_value());
}

TEST_CASE("the restarts in any window do not exceed the limit") {
    CHECK(rc::check("restart limit", [] {
        supervisor::restart_limits limits;
        limits.max_restarts = *rc::gen::inRange(1, 6);
        limits.window = support::milliseconds(1000);
        supervisor::restart_policy policy(limits);
        std::vector<std::int64_t> restart_times;
        std::int64_t now = 0;
        const auto gaps = *rc::gen::container<std::vector<std::int64_t>>(
            rc::gen::inRange<std::int64_t>(0, 800));
        for (const std::int64_t gap : gaps) {
            now += gap;
            if (!policy.on_failure(support::instant{now}).has_value()) {
                break;
            }
            restart_times.push_back(now);
            int recent = 0;
            for (const std::int64_t at : restart_times) {
                recent += at >= now - 1000 ? 1 : 0;
            }
            RC_ASSERT(recent <= limits.max_restarts);
        }
    }));
}
