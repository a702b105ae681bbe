#include "fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace guavastair::membership {

namespace {

constexpr support::duration settle_time = support::seconds(15);
constexpr std::size_t data_centres = 3;

std::size_t present_at(fleet& all, std::size_t index) {
    const auto members = all.at(index).member->members();
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), is_present));
}

} // namespace

TEST_CASE("a data centre cut off from the others is out of reach, and heals") {
    for (const std::size_t size : {6, 20}) {
        CAPTURE(size);
        fleet all(size, data_centres, 1);
        all.run_until_converged(settle_time);
        REQUIRE(all.converged());
        all.cut(0, 1);
        all.cut(0, 2);
        all.run(support::seconds(6));
        for (std::size_t i = 0; i < size; ++i) {
            const bool is_inside = i % data_centres == 0;
            const auto lost = support::data_centre_name{"dc-0"};
            CHECK(all.at(i).member->is_reachable(lost) == is_inside);
        }
        // Those inside lost most of the fleet and keep their last view.
        CHECK(present_at(all, 0) == size - 1);
        // A partition is no death: nobody is declared failed.
        for (std::size_t i = 0; i < size; ++i) {
            for (const member_view& view : all.at(i).member->members()) {
                CHECK(view.liveness == liveness::alive);
            }
        }
        all.cut(0, 1, false);
        all.cut(0, 2, false);
        all.run(support::seconds(6));
        CHECK(all.converged());
    }
}

TEST_CASE("changes on both sides of a partition meet when it heals") {
    fleet all(20, data_centres, 1);
    all.run_until_converged(settle_time);
    all.cut(0, 1);
    all.cut(0, 2);
    all.run(support::seconds(5));
    all.kill(3);
    all.kill(4);
    all.at(6).member->set_state(all.now, member_state::draining);
    all.at(7).member->set_state(all.now, member_state::draining);
    all.replace(9);
    all.add(0);
    all.add(1);
    all.run(support::seconds(60));
    all.cut(0, 1, false);
    all.cut(0, 2, false);
    const support::duration taken =
        all.run_until_converged(support::seconds(60));
    MESSAGE("healed after ms: ", taken.ms);
    CHECK(all.converged());
    CHECK(taken <= support::seconds(25));
}

TEST_CASE("one link between data centres is cut: news takes the third way") {
    fleet all(20, data_centres, 1);
    all.run_until_converged(settle_time);
    all.cut(0, 1);
    all.run(support::seconds(5));
    all.at(3).member->set_state(all.now, member_state::draining);
    all.run(support::seconds(30));
    const auto view = all.at(4).member->find(all.at(3).initial.id);
    REQUIRE(view.has_value());
    CHECK(view->record.state == member_state::draining);
}

TEST_CASE("a process cut off from most others keeps its last view") {
    for (const std::size_t size : {6, 20}) {
        CAPTURE(size);
        fleet all(size, data_centres, 1);
        all.run_until_converged(settle_time);
        REQUIRE(all.converged());
        all.cut_off(4);
        all.run(support::seconds(30));
        CHECK(present_at(all, 4) == size - 1);
        CHECK(all.at(4).member->is_isolated());
        CHECK(all.holders_of_ready(4) == 0);
        all.cut_off(4, false);
        all.run(support::seconds(15));
        CHECK(all.converged());
        CHECK_FALSE(all.at(4).member->is_isolated());
    }
}

TEST_CASE("a silent process that still sends is detected") {
    // Half-open: nothing reaches it, so it never answers.
    fleet all(12, data_centres, 1);
    all.run_until_converged(settle_time);
    all.cut_off(5);
    all.run(support::seconds(3));
    CHECK(all.holders_of_ready(5) == 0);
}

} // namespace guavastair::membership
