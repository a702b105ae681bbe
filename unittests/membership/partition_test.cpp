#include "fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace guavastair::membership {

namespace {

constexpr support::duration settle_time = support::seconds(15);
constexpr std::size_t data_centres = 3;

std::size_t present_at(fleet& test_fleet, std::size_t index) {
    const auto members = test_fleet.at(index).member->members();
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), is_present));
}

} // namespace

TEST_CASE(
    "a data centre cut off from the others is unreachable until links heal") {
    for (const std::size_t size : {6, 20}) {
        CAPTURE(size);
        fleet test_fleet(size, data_centres, 1);
        test_fleet.run_until_converged(settle_time);
        REQUIRE(test_fleet.converged());
        test_fleet.cut(0, 1);
        test_fleet.cut(0, 2);
        test_fleet.run(support::seconds(6));
        for (std::size_t i = 0; i < size; ++i) {
            const bool is_inside = i % data_centres == 0;
            const auto lost = support::data_centre_name{"dc-0"};
            CHECK(test_fleet.at(i).member->is_reachable(lost) == is_inside);
        }
        // The members inside are isolated and keep their last view.
        CHECK(present_at(test_fleet, 0) == size - 1);
        // A partition must not cause a failure declaration.
        for (std::size_t i = 0; i < size; ++i) {
            for (const member_view& view : test_fleet.at(i).member->members()) {
                CHECK(view.liveness == liveness::alive);
            }
        }
        test_fleet.cut(0, 1, false);
        test_fleet.cut(0, 2, false);
        test_fleet.run(support::seconds(6));
        CHECK(test_fleet.converged());
    }
}

TEST_CASE("changes on both sides of a partition converge after it heals") {
    fleet test_fleet(20, data_centres, 1);
    test_fleet.run_until_converged(settle_time);
    test_fleet.cut(0, 1);
    test_fleet.cut(0, 2);
    test_fleet.run(support::seconds(5));
    test_fleet.kill(3);
    test_fleet.kill(4);
    test_fleet.at(6).member->set_state(test_fleet.now, member_state::draining);
    test_fleet.at(7).member->set_state(test_fleet.now, member_state::draining);
    test_fleet.replace(9);
    test_fleet.add(0);
    test_fleet.add(1);
    test_fleet.run(support::seconds(60));
    test_fleet.cut(0, 1, false);
    test_fleet.cut(0, 2, false);
    const support::duration elapsed =
        test_fleet.run_until_converged(support::seconds(60));
    MESSAGE("healed after ms: ", elapsed.ms);
    CHECK(test_fleet.converged());
    CHECK(elapsed <= support::seconds(25));
}

TEST_CASE("updates bypass a cut link through a third data centre") {
    fleet test_fleet(20, data_centres, 1);
    test_fleet.run_until_converged(settle_time);
    test_fleet.cut(0, 1);
    test_fleet.run(support::seconds(5));
    test_fleet.at(3).member->set_state(test_fleet.now, member_state::draining);
    test_fleet.run(support::seconds(30));
    const auto view =
        test_fleet.at(4).member->find(test_fleet.at(3).initial.id);
    REQUIRE(view.has_value());
    CHECK(view->record.state == member_state::draining);
}

TEST_CASE("a process isolated from all others keeps its last view") {
    for (const std::size_t size : {6, 20}) {
        CAPTURE(size);
        fleet test_fleet(size, data_centres, 1);
        test_fleet.run_until_converged(settle_time);
        REQUIRE(test_fleet.converged());
        test_fleet.isolate(4);
        test_fleet.run(support::seconds(30));
        CHECK(present_at(test_fleet, 4) == size - 1);
        CHECK(test_fleet.at(4).member->is_isolated());
        CHECK(test_fleet.count_observing_ready(4) == 0);
        test_fleet.isolate(4, false);
        test_fleet.run(support::seconds(15));
        CHECK(test_fleet.converged());
        CHECK_FALSE(test_fleet.at(4).member->is_isolated());
    }
}

TEST_CASE("a running process whose links are cut is detected") {
    // The process keeps running, but all its links are cut.
    fleet test_fleet(12, data_centres, 1);
    test_fleet.run_until_converged(settle_time);
    test_fleet.isolate(5);
    test_fleet.run(support::seconds(3));
    CHECK(test_fleet.count_observing_ready(5) == 0);
}

} // namespace guavastair::membership
