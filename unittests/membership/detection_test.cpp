#include "fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace guavastair::membership {

namespace {

constexpr support::duration settle_time = support::seconds(15);
constexpr support::duration detection_limit = support::seconds(3);
constexpr std::size_t data_centres = 3;

struct deployment {
    std::size_t size;
    std::uint64_t seeds;
};

/// The fleet sizes of the two current users, and a smaller one. Each runs with
/// several random seeds.
constexpr deployment deployments[] = {{6, 10}, {12, 5}, {20, 5}};

std::uint64_t total_declared(fleet& test_fleet) {
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < test_fleet.size(); ++i) {
        total += test_fleet.at(i).member->count().declared_failed;
    }
    return total;
}

} // namespace

TEST_CASE("no member holds a dead one as ready after 3 s") {
    for (const deployment& setup : deployments) {
        for (std::uint64_t seed = 1; seed <= setup.seeds; ++seed) {
            CAPTURE(setup.size);
            CAPTURE(seed);
            fleet test_fleet(setup.size, data_centres, seed);
            test_fleet.run_until_converged(settle_time);
            REQUIRE(test_fleet.converged());
            const std::size_t dead = seed % setup.size;
            test_fleet.kill(dead);
            test_fleet.run(detection_limit);
            CHECK(test_fleet.count_observing_ready(dead) == 0);
            test_fleet.run(support::seconds(2));
            CHECK(test_fleet.converged());
        }
    }
}

TEST_CASE("no member holds a dead one as ready after 3 s with 5% loss") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        fleet test_fleet(20, data_centres, seed);
        test_fleet.link.loss = 0.05;
        test_fleet.run(settle_time);
        const std::size_t dead = seed;
        test_fleet.kill(dead);
        test_fleet.run(detection_limit);
        CHECK(test_fleet.count_observing_ready(dead) == 0);
    }
}

TEST_CASE("a member alone in its data centre is detected when it dies") {
    fleet test_fleet(3, data_centres, 1);
    test_fleet.run_until_converged(settle_time);
    REQUIRE(test_fleet.converged());
    test_fleet.kill(2);
    test_fleet.run(detection_limit);
    CHECK(test_fleet.count_observing_ready(2) == 0);
}

TEST_CASE("no member is declared failed in a fleet without faults") {
    for (const deployment& setup : deployments) {
        fleet test_fleet(setup.size, data_centres, 1);
        test_fleet.run(support::seconds(60));
        CHECK(test_fleet.converged());
        CHECK(total_declared(test_fleet) == 0);
    }
}

TEST_CASE("false failure declarations are rare and refuted with 10% loss and "
          "jitter") {
    constexpr std::size_t size = 20;
    fleet test_fleet(size, data_centres, 1);
    test_fleet.run_until_converged(settle_time);
    test_fleet.link.loss = 0.1;
    test_fleet.link.max_delay = support::milliseconds(120);
    test_fleet.run(support::seconds(120));
    const std::uint64_t declared = total_declared(test_fleet);
    MESSAGE("false declarations in 120 s: ", declared);
    // On average one in 12 s over the whole fleet.
    CHECK(declared <= 10);
    test_fleet.link = {};
    test_fleet.run(support::seconds(10));
    CHECK(test_fleet.converged());
}

TEST_CASE(
    "a process paused for longer than the suspicion duration refutes it") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        fleet test_fleet(12, data_centres, seed);
        test_fleet.run_until_converged(settle_time);
        const std::size_t paused = seed;
        test_fleet.pause(paused, support::seconds(8));
        test_fleet.run(support::seconds(7));
        CHECK(test_fleet.count_observing_ready(paused) == 0);
        test_fleet.run(support::seconds(4));
        CHECK(test_fleet.converged());
        // Its probes that timed out in the pause must not count as failures of
        // other members.
        CHECK(test_fleet.at(paused).member->count().declared_failed == 0);
    }
}

TEST_CASE("a pause during a suspicion does not cause a failure declaration") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        fleet test_fleet(12, data_centres, seed);
        test_fleet.run_until_converged(settle_time);
        test_fleet.isolate(4);
        test_fleet.run(support::milliseconds(1200));
        for (const std::size_t neighbour : {1, 7, 10}) {
            test_fleet.pause(neighbour, support::seconds(6));
        }
        test_fleet.isolate(4, false);
        test_fleet.run(support::seconds(10));
        for (const std::size_t neighbour : {1, 7, 10}) {
            const counters count = test_fleet.at(neighbour).member->count();
            CHECK(count.declared_failed == 0);
        }
        CHECK(test_fleet.converged());
    }
}

TEST_CASE(
    "a replacement process is discovered and the former one not present") {
    fleet test_fleet(20, data_centres, 1);
    test_fleet.run_until_converged(settle_time);
    std::vector<support::member_id> former;
    for (std::size_t i = 0; i < 6; ++i) {
        const std::size_t index = i * 3 + 1;
        former.push_back(test_fleet.at(index).initial.id);
        test_fleet.replace(index);
    }
    const support::duration elapsed =
        test_fleet.run_until_converged(support::seconds(10));
    MESSAGE("30% replaced, converged after ms: ", elapsed.ms);
    CHECK(elapsed <= detection_limit);
    for (std::size_t i = 0; i < test_fleet.size(); ++i) {
        for (const support::member_id id : former) {
            const auto view = test_fleet.at(i).member->find(id);
            CHECK((!view.has_value() || !is_present(*view)));
        }
    }
}

TEST_CASE("a replacement with a lower incarnation reclaims its name") {
    fleet test_fleet(12, data_centres, 1);
    test_fleet.run_until_converged(settle_time);
    // Each change raises the incarnation of the former process, here far
    // beyond the start time of its replacement.
    for (int i = 0; i < 200; ++i) {
        const auto state =
            i % 2 == 0 ? member_state::draining : member_state::ready;
        test_fleet.at(5).member->set_state(test_fleet.now, state);
    }
    test_fleet.run(support::seconds(3));
    REQUIRE(test_fleet.converged());
    test_fleet.replace(5);
    test_fleet.run(support::seconds(10));
    CHECK(test_fleet.converged());
}

} // namespace guavastair::membership
