#include <guavastair/peer.hpp>

#include <doctest/doctest.h>

namespace peer = guavastair::peer;
namespace support = guavastair::support;

using step = peer::view_fetch_policy::step;

static const peer::view_summary current{{60}, {12}, 4};

TEST_CASE("an equal view confirms the local one, an older view is ignored") {
    peer::view_fetch_policy policy;
    CHECK(policy.on_summary({0}, current, {{70}, {12}, 4}, true) ==
          step::confirm);
    CHECK(policy.on_summary({0}, current, {{50}, {12}, 9}, true) == step::none);
    CHECK(policy.on_summary({5000}, current, {{80}, {10}, 9}, true) ==
          step::none);
}

TEST_CASE("a newer view is fetched if the store does not deliver it in time") {
    peer::view_fetch_policy policy;
    const peer::view_summary newer{{64}, {64}, 10};
    CHECK(policy.on_summary({0}, current, newer, true) == step::none);
    CHECK(policy.on_summary({299}, current, newer, true) == step::none);
    CHECK(policy.on_summary({300}, current, newer, true) == step::fetch);
    CHECK(policy.on_summary({310}, current, newer, true) == step::none);
    CHECK(policy.on_summary({600}, current, newer, true) == step::fetch);
}

TEST_CASE("a process without a view fetches without delay") {
    peer::view_fetch_policy policy;
    CHECK(policy.on_summary({0}, {}, current, false) == step::fetch);
}

TEST_CASE("a view that differs only by a withdrawal is fetched") {
    peer::view_fetch_policy policy;
    const peer::view_summary newer{{64}, {12}, 11};
    CHECK(policy.on_summary({0}, current, newer, true) == step::none);
    CHECK(policy.on_summary({300}, current, newer, true) == step::fetch);
}

// Guards against a fetch that never starts: if most peers have missed the
// change as well, their pings must not restart the delay (effsa-lb, scale-1
// with seed 125898192654).
TEST_CASE("peers with an equal view do not delay the fetch of a newer one") {
    peer::view_fetch_policy policy;
    const peer::view_summary newer{{64}, {64}, 10};
    support::instant fetched{-1};
    for (std::int64_t now = 0; now < 2000 && fetched.ms < 0; now += 50) {
        const bool is_newer = now % 250 == 0;
        const auto summary = is_newer ? newer : current;
        if (policy.on_summary({now}, current, summary, true) == step::fetch) {
            fetched = {now};
        }
    }
    CHECK(fetched.ms >= 300);
    CHECK(fetched.ms <= 500);
}

TEST_CASE("fetches that packets wait for have no delay and a limited rate") {
    peer::view_fetch_policy policy;
    int fetches = 0;
    for (std::int64_t now = 0; now < 1000; ++now) {
        fetches += policy.allows_urgent_fetch({now}) ? 1 : 0;
        CHECK(fetches > 0);
    }
    CHECK(fetches == 10);
}
