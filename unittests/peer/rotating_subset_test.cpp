#include <guavastair/peer.hpp>

#include <doctest/doctest.h>

#include <set>

namespace peer = guavastair::peer;
namespace support = guavastair::support;

static std::vector<support::endpoint> make_endpoints(std::uint16_t count) {
    std::vector<support::endpoint> all;
    for (std::uint16_t i = 1; i <= count; ++i) {
        all.push_back({{0x0a000001}, i});
    }
    return all;
}

TEST_CASE("a subset is bounded and has no duplicates") {
    for (const std::uint16_t count : {0, 1, 15, 16, 17, 100}) {
        const auto all = make_endpoints(count);
        for (std::uint32_t round = 0; round < 20; ++round) {
            const auto subset = peer::rotating_subset(all, round);
            CHECK(subset.size() ==
                  std::min(all.size(), peer::max_listed_endpoints));
            CHECK(std::set(subset.begin(), subset.end()).size() ==
                  subset.size());
        }
    }
    CHECK(peer::rotating_subset(make_endpoints(3), UINT32_MAX).size() == 3);
}

// Guards against lists that always hold the same 16 of more than 16 balancers.
// The other balancers then never discovered an agent that the store refuses,
// and ruled out that its flows exist.
TEST_CASE("consecutive rounds list every endpoint") {
    for (const std::uint16_t count : {17, 40, 100}) {
        const auto all = make_endpoints(count);
        std::set<support::endpoint> listed;
        const std::size_t rounds =
            (all.size() + peer::max_listed_endpoints - 1) /
            peer::max_listed_endpoints;
        for (std::uint32_t round = 7; round < 7 + rounds; ++round) {
            const auto subset = peer::rotating_subset(all, round);
            listed.insert(subset.begin(), subset.end());
        }
        CAPTURE(count);
        CHECK(listed.size() == all.size());
    }
}
