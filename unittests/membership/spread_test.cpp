#include "fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace guavastair::membership {

namespace {

constexpr support::duration settle_time = support::seconds(15);
constexpr std::size_t data_centres = 3;

/// Number of other live processes that do not hold `index` in `state`.
std::size_t count_without_state(fleet& test_fleet, std::size_t index,
                                member_state state) {
    std::size_t count = 0;
    for (std::size_t i = 0; i < test_fleet.size(); ++i) {
        if (i == index || test_fleet.at(i).is_dead) {
            continue;
        }
        const auto view =
            test_fleet.at(i).member->find(test_fleet.at(index).initial.id);
        count += view.has_value() && view->record.state == state ? 0 : 1;
    }
    return count;
}

} // namespace

TEST_CASE("a fleet whose processes start together converges") {
    for (const std::size_t size : {2, 6, 12, 20}) {
        CAPTURE(size);
        fleet test_fleet(size, data_centres, 1);
        const support::duration elapsed =
            test_fleet.run_until_converged(settle_time);
        MESSAGE(size, " processes joined after ms: ", elapsed.ms);
        CHECK(test_fleet.converged());
    }
}

TEST_CASE("all members hold a draining one as draining within 2 s") {
    for (const double loss : {0.0, 0.1}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(loss);
            CAPTURE(seed);
            fleet test_fleet(20, data_centres, seed);
            test_fleet.run_until_converged(settle_time);
            test_fleet.link.loss = loss;
            const std::size_t leaving = seed * 3;
            // The test drops the messages of set_state(), so the change
            // spreads only through later ticks.
            test_fleet.at(leaving).member->set_state(test_fleet.now,
                                                     member_state::draining);
            test_fleet.run(support::seconds(2));
            CHECK(count_without_state(test_fleet, leaving,
                                      member_state::draining) == 0);
        }
    }
}

TEST_CASE("a member that left is not declared failed") {
    fleet test_fleet(12, data_centres, 1);
    test_fleet.run_until_converged(settle_time);
    test_fleet.at(4).member->set_state(test_fleet.now, member_state::left);
    test_fleet.run(support::seconds(1));
    test_fleet.kill(4);
    test_fleet.run(support::seconds(5));
    CHECK(count_without_state(test_fleet, 4, member_state::left) == 0);
    CHECK(test_fleet.converged());
}

TEST_CASE("the applied revision is announced") {
    fleet test_fleet(12, data_centres, 1);
    test_fleet.run_until_converged(settle_time);
    for (std::size_t i = 0; i < test_fleet.size(); ++i) {
        test_fleet.at(i).member->set_revision({70}, {70});
    }
    test_fleet.run(support::seconds(3));
    for (std::size_t i = 0; i < test_fleet.size(); ++i) {
        for (const member_view& view : test_fleet.at(i).member->members()) {
            CHECK(view.record.applied.value == 70);
        }
    }
}

TEST_CASE("steady traffic stays under 4 KB/s at each process") {
    constexpr std::int64_t span_seconds = 60;
    constexpr std::uint64_t limit = 4000;
    for (const std::size_t size : {6, 12, 20}) {
        fleet test_fleet(size, data_centres, 1);
        test_fleet.run(settle_time);
        test_fleet.count_bytes = true;
        test_fleet.run(support::seconds(span_seconds));
        std::uint64_t most = 0;
        for (std::size_t i = 0; i < test_fleet.size(); ++i) {
            const process& item = test_fleet.at(i);
            most = std::max(most, item.sent_bytes + item.received_bytes);
        }
        MESSAGE(size, " processes, most bytes/s sent and received: ",
                most / span_seconds);
        CHECK(most / span_seconds < limit);
    }
}

TEST_CASE("every message fits in a datagram") {
    fleet test_fleet(60, data_centres, 1);
    for (int i = 0; i < 200; ++i) {
        for (std::size_t j = 0; j < test_fleet.size(); ++j) {
            for (const action& item :
                 test_fleet.at(j).member->tick(test_fleet.now)) {
                const auto* sent = std::get_if<send_message>(&item);
                if (sent != nullptr) {
                    CHECK(size_bound(sent->body) <= max_datagram_size - 42);
                }
            }
        }
        test_fleet.run(support::milliseconds(50));
    }
}

TEST_CASE("a process joins a large fleet by messages of bounded size") {
    constexpr std::size_t size = 240;
    fleet test_fleet(size, data_centres, 1);
    test_fleet.introduce_all();
    test_fleet.run(support::seconds(5));
    const std::size_t joiner = test_fleet.add(0);
    test_fleet.run(support::seconds(5));
    CHECK(test_fleet.at(joiner).member->members().size() == size);
    CHECK(test_fleet.largest_message <= max_datagram_size - wire::seal_size);
}

TEST_CASE("tombstones are removed after their lifetime") {
    options settings;
    settings.tombstone_lifetime = support::seconds(30);
    fleet test_fleet(6, data_centres, 1, settings);
    test_fleet.run_until_converged(settle_time);
    const support::member_id dead = test_fleet.at(3).initial.id;
    test_fleet.kill(3);
    test_fleet.run(support::seconds(10));
    CHECK(test_fleet.at(0).member->find(dead).has_value());
    test_fleet.run(support::seconds(120));
    for (const std::size_t i : {0, 1, 2, 4, 5}) {
        CHECK_FALSE(test_fleet.at(i).member->find(dead).has_value());
    }
}

} // namespace guavastair::membership
