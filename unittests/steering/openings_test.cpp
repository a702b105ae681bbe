#include "fixtures.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace routing = guavastair::routing;
namespace steering = guavastair::steering;
namespace support = guavastair::support;

using namespace guavastair::steering_test;

namespace {

struct fleet {
    fleet() {
        this->settings.own_data_centre = {"a"};
        this->routes.adopt(view_of(1), {0});
    }

    std::vector<support::endpoint> choose(std::uint64_t hash) const {
        return steering::choose_opening({10}, this->settings, this->members,
                                        this->routes, {"portal"}, hash);
    }

    steering::opening_settings settings;
    steering::member_table members{{}};
    routing::routing_state routes;
};

std::uint64_t hash_of(std::uint64_t number) {
    return number * 0x9e3779b97f4a7c15U;
}

} // namespace

TEST_CASE("the own data centre comes first, the others follow") {
    fleet f;
    f.members.on_report({0}, report_of(1, "b"));
    f.members.on_report({0}, report_of(2, "a"));
    f.members.on_report({0}, report_of(3, "c"));
    for (std::uint64_t i = 0; i < 50; ++i) {
        const auto chosen = f.choose(hash_of(i));
        REQUIRE(chosen.size() == 3);
        CHECK(chosen[0] == agent_at(2));
    }
}

// Found on npwl-lb-grown, trouble-1: after the return of power 876 openings
// went to agents that the store listed but that were not up yet.
TEST_CASE("load pattern: the store lists agents that are not up yet") {
    fleet f;
    std::vector<guavastair::peer::agent_report> listed;
    for (std::uint32_t i = 1; i <= 6; ++i) {
        listed.push_back(report_of(i, i <= 3 ? "a" : "b"));
    }
    f.members.set_listed({0}, listed);
    // Nobody has answered: the list is all there is.
    CHECK(f.choose(hash_of(1)).size() == 6);
    // One has, in another data centre: it gets everything until more do.
    f.members.on_report({5}, report_of(5, "b"));
    for (std::uint64_t i = 0; i < 50; ++i) {
        CHECK(f.choose(hash_of(i)) == std::vector{agent_at(5)});
    }
    f.members.on_report({6}, report_of(2, "a"));
    for (std::uint64_t i = 0; i < 50; ++i) {
        CHECK(f.choose(hash_of(i)) == std::vector{agent_at(2), agent_at(5)});
    }
}

TEST_CASE("openings spread evenly over idle servers") {
    fleet f;
    for (std::uint32_t i = 1; i <= 4; ++i) {
        f.members.on_report({0}, report_of(i));
    }
    std::map<support::endpoint, int> counts;
    for (std::uint64_t i = 0; i < 8000; ++i) {
        ++counts[f.choose(hash_of(i))[0]];
    }
    for (const auto& [agent, count] : counts) {
        CHECK(count > 1700);
        CHECK(count < 2300);
    }
}

TEST_CASE("load pattern: one slow server") {
    // Work piles up at one of four; it gets only the openings for which it is
    // compared with nobody: none.
    fleet f;
    for (std::uint32_t i = 1; i <= 4; ++i) {
        auto report = report_of(i);
        report.load.in_progress = i == 1 ? 6 : 1;
        f.members.on_report({0}, report);
    }
    for (std::uint64_t i = 0; i < 500; ++i) {
        CHECK(f.choose(hash_of(i))[0] != agent_at(1));
    }
}

TEST_CASE("load pattern: a data centre too busy sends openings elsewhere") {
    fleet f;
    auto busy = report_of(1, "a");
    busy.load.in_progress = 8;
    busy.load.mean_in_progress = 8'000;
    f.members.on_report({0}, busy);
    f.members.on_report({0}, report_of(2, "b"));
    CHECK(f.choose(1)[0] == agent_at(2));
    CHECK(f.choose(1)[1] == agent_at(1));
    busy.load.in_progress = 1;
    busy.load.mean_in_progress = 500;
    f.members.on_report({0}, busy);
    CHECK(f.choose(1)[0] == agent_at(1));
}

TEST_CASE("load pattern: a burst between two reports is spread") {
    // No report comes while 40 openings do; each counts at once.
    fleet f;
    for (std::uint32_t i = 1; i <= 4; ++i) {
        f.members.on_report({0}, report_of(i));
    }
    std::map<support::endpoint, int> counts;
    for (std::uint64_t i = 0; i < 40; ++i) {
        const auto chosen = f.choose(hash_of(i));
        f.members.on_opening_sent(chosen[0]);
        ++counts[chosen[0]];
    }
    for (const auto& [agent, count] : counts) {
        CHECK(count >= 8);
        CHECK(count <= 12);
    }
}

TEST_CASE("withdrawn, unable and silent agents are left out") {
    fleet f;
    f.members.on_report({0}, report_of(1, "a"));
    f.members.on_report({0}, report_of(2, "b"));
    auto unable = report_of(3, "a");
    unable.takes_openings = false;
    f.members.on_report({0}, unable);
    auto view = view_of(2);
    view.withdrawn = {{"a"}};
    f.routes.adopt(view, {1});
    CHECK(f.choose(1) == std::vector{agent_at(2)});
    CHECK(steering::choose_opening({5000}, f.settings, f.members, f.routes,
                                   {"portal"}, 1)
              .empty());
}

// Found on npwl-lb, inc-1250: a data centre without a server of the portal was
// cut off, its balancers stayed ready and turned every order away.
TEST_CASE("a balancer cut off from all agents of a service says so") {
    fleet f;
    auto view = view_of(2);
    view.config.services.resize(3);
    view.config.services[0].name = {"portal"};
    view.config.services[1].name = {"drawings"};
    view.config.services[2].name = {"nobody's"};
    f.routes.adopt(view, {1});
    f.members.on_report({0}, report_of(1, "b"));
    f.members.on_report({0}, report_of(2, "a", "drawings"));
    CHECK(steering::reaches_every_service({10}, f.members, f.routes));
    f.members.on_report({2000}, report_of(2, "a", "drawings"));
    CHECK_FALSE(steering::reaches_every_service({2000}, f.members, f.routes));
    f.members.on_report({2100}, report_of(1, "b"));
    CHECK(steering::reaches_every_service({2100}, f.members, f.routes));
}

TEST_CASE("a search begins where the opening went") {
    fleet f;
    for (std::uint32_t i = 1; i <= 12; ++i) {
        f.members.on_report({0}, report_of(i, i <= 4 ? "a" : "b"));
    }
    for (std::uint64_t i = 0; i < 300; ++i) {
        const std::vector<support::service_name> services{{"portal"}};
        const auto order = steering::search_order({10}, f.settings, f.members,
                                                  services, hash_of(i));
        CHECK(order.size() == 12);
        const auto opened = f.choose(hash_of(i))[0];
        const auto place =
            std::find(order.begin(), order.end(), opened) - order.begin();
        CHECK(place < 2);
    }
}

TEST_CASE("silent agents and those of other services are searched last") {
    fleet f;
    f.members.on_report({0}, report_of(1, "a"));
    f.members.on_report({5000}, report_of(2, "b"));
    f.members.on_report({5000}, report_of(3, "a", "drawings"));
    const std::vector<support::service_name> services{{"portal"}};
    const auto order =
        steering::search_order({5010}, f.settings, f.members, services, 1);
    CHECK(order == std::vector{agent_at(2), agent_at(3), agent_at(1)});
}
