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

TEST_CASE("agents of the own data centre precede all others") {
    fleet f;
    f.members.on_report({0}, report_of(1, "b"));
    f.members.on_report({0}, report_of(2, "a"));
    f.members.on_report({0}, report_of(3, "c"));
    for (std::uint64_t i = 0; i < 50; ++i) {
        const auto candidates = f.choose(hash_of(i));
        REQUIRE(candidates.size() == 3);
        CHECK(candidates[0] == agent_at(2));
    }
}

// Guards against sending opening packets to agents that the store lists but
// that are not running yet: 876 were sent that way after a power outage.
TEST_CASE("load pattern: the store lists agents that are not running yet") {
    fleet f;
    std::vector<guavastair::peer::agent_report> listed;
    for (std::uint32_t i = 1; i <= 6; ++i) {
        listed.push_back(report_of(i, i <= 3 ? "a" : "b"));
    }
    f.members.set_listed({0}, listed);
    // No agent has answered, so all listed agents are candidates.
    CHECK(f.choose(hash_of(1)).size() == 6);
    // The only agent that has answered, in another data centre, gets all
    // openings.
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
    // One of four servers is overloaded. Two agents are compared for each
    // opening, so it is never selected.
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

TEST_CASE("load pattern: an overloaded data centre spills openings to others") {
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
    // Between two reports, 40 openings arrive; each adds to the agent's load
    // at once.
    fleet f;
    for (std::uint32_t i = 1; i <= 4; ++i) {
        f.members.on_report({0}, report_of(i));
    }
    std::map<support::endpoint, int> counts;
    for (std::uint64_t i = 0; i < 40; ++i) {
        const auto candidates = f.choose(hash_of(i));
        f.members.on_opening_sent(candidates[0]);
        ++counts[candidates[0]];
    }
    for (const auto& [agent, count] : counts) {
        CHECK(count >= 8);
        CHECK(count <= 12);
    }
}

TEST_CASE("withdrawn, unavailable and silent agents are excluded") {
    fleet f;
    f.members.on_report({0}, report_of(1, "a"));
    f.members.on_report({0}, report_of(2, "b"));
    auto unavailable = report_of(3, "a");
    unavailable.takes_openings = false;
    f.members.on_report({0}, unavailable);
    auto view = view_of(2);
    view.withdrawn = {{"a"}};
    f.routes.adopt(view, {1});
    CHECK(f.choose(1) == std::vector{agent_at(2)});
    CHECK(steering::choose_opening({5000}, f.settings, f.members, f.routes,
                                   {"portal"}, 1)
              .empty());
}

// Guards against a partitioned balancer that stays ready: balancers of a data
// centre without a server of the portal were cut off from all such servers and
// rejected every order.
TEST_CASE("a balancer detects that it reaches no agent of a service") {
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

TEST_CASE("a search asks the agent that got the opening among the first two") {
    fleet f;
    for (std::uint32_t i = 1; i <= 12; ++i) {
        f.members.on_report({0}, report_of(i, i <= 4 ? "a" : "b"));
    }
    for (std::uint64_t i = 0; i < 300; ++i) {
        const std::vector<support::service_name> services{{"portal"}};
        const auto order = steering::search_order({10}, f.settings, f.members,
                                                  services, hash_of(i));
        CHECK(order.size() == 12);
        const auto opening_target = f.choose(hash_of(i))[0];
        const auto position =
            std::find(order.begin(), order.end(), opening_target) -
            order.begin();
        CHECK(position < 2);
    }
}

TEST_CASE("agents of other services and silent agents are searched last") {
    fleet f;
    f.members.on_report({0}, report_of(1, "a"));
    f.members.on_report({5000}, report_of(2, "b"));
    f.members.on_report({5000}, report_of(3, "a", "drawings"));
    const std::vector<support::service_name> services{{"portal"}};
    const auto order =
        steering::search_order({5010}, f.settings, f.members, services, 1);
    CHECK(order == std::vector{agent_at(2), agent_at(3), agent_at(1)});
}
