#include <guavastair/peer.hpp>

#include <doctest/doctest.h>

namespace peer = guavastair::peer;
namespace support = guavastair::support;

using step = peer::view_fetch_policy::step;

static const peer::view_summary current{{60}, {12}, 4};

TEST_CASE("the same view confirms, an older one says nothing") {
    peer::view_fetch_policy policy;
    CHECK(policy.on_summary({0}, current, {{70}, {12}, 4}, true) ==
          step::confirm);
    CHECK(policy.on_summary({0}, current, {{50}, {12}, 9}, true) == step::none);
    CHECK(policy.on_summary({5000}, current, {{80}, {10}, 9}, true) ==
          step::none);
}

TEST_CASE("a newer view is fetched if the store has not brought it") {
    peer::view_fetch_policy policy;
    const peer::view_summary newer{{64}, {64}, 10};
    CHECK(policy.on_summary({0}, current, newer, true) == step::none);
    CHECK(policy.on_summary({299}, current, newer, true) == step::none);
    CHECK(policy.on_summary({300}, current, newer, true) == step::fetch);
    CHECK(policy.on_summary({310}, current, newer, true) == step::none);
    CHECK(policy.on_summary({600}, current, newer, true) == step::fetch);
}

TEST_CASE("a process that holds nothing fetches at once") {
    peer::view_fetch_policy policy;
    CHECK(policy.on_summary({0}, {}, current, false) == step::fetch);
}

TEST_CASE("a withdrawal alone is fetched as well") {
    peer::view_fetch_policy policy;
    const peer::view_summary newer{{64}, {12}, 11};
    CHECK(policy.on_summary({0}, current, newer, true) == step::none);
    CHECK(policy.on_summary({300}, current, newer, true) == step::fetch);
}

// Found on effsa-lb, scale-1 with seed 125898192654: most peers had missed the
// change too, and each of their pings began the wait anew.
TEST_CASE("peers that hold the same do not put off the one that holds more") {
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
