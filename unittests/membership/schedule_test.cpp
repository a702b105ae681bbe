#include "fleet.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace guavastair::membership {

namespace {

constexpr std::size_t size = 9;
constexpr std::size_t data_centres = 3;

enum class event : std::uint8_t {
    kill,
    replace,
    pause,
    drain,
    make_ready,
    cut,
    heal,
    isolate,
    lossy,
    wait,
};

constexpr int event_count = 10;

void apply(fleet& test_fleet, event kind, std::size_t index) {
    switch (kind) {
    case event::kill:
        // Only one of the three members of each data centre may be killed.
        if (index < data_centres) {
            test_fleet.kill(index);
        }
        break;
    case event::replace:
        test_fleet.replace(index);
        break;
    case event::pause:
        test_fleet.pause(index, support::seconds(4));
        break;
    case event::drain:
        test_fleet.at(index).member->set_state(test_fleet.now,
                                               member_state::draining);
        break;
    case event::make_ready:
        test_fleet.at(index).member->set_state(test_fleet.now,
                                               member_state::ready);
        break;
    case event::cut:
        test_fleet.cut(index % data_centres, (index + 1) % data_centres);
        break;
    case event::heal:
        test_fleet.cut(index % data_centres, (index + 1) % data_centres, false);
        break;
    case event::isolate:
        test_fleet.isolate(index);
        break;
    case event::lossy:
        test_fleet.link.loss = 0.3;
        test_fleet.link.duplication = 0.3;
        test_fleet.link.max_delay = support::milliseconds(300);
        break;
    case event::wait:
        break;
    }
}

void heal_everything(fleet& test_fleet) {
    test_fleet.link = {};
    for (std::size_t i = 0; i < data_centres; ++i) {
        test_fleet.cut(i, (i + 1) % data_centres, false);
    }
    for (std::size_t i = 0; i < size; ++i) {
        test_fleet.isolate(i, false);
    }
}

} // namespace

TEST_CASE("views converge after any sequence of faults") {
    CHECK(rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        fleet test_fleet(size, data_centres, seed);
        test_fleet.run(support::seconds(3));
        const int events = *rc::gen::inRange(1, 10);
        for (int i = 0; i < events; ++i) {
            const auto kind =
                static_cast<event>(*rc::gen::inRange(0, event_count));
            apply(test_fleet, kind, *rc::gen::inRange<std::size_t>(0, size));
            test_fleet.run(support::milliseconds(*rc::gen::inRange(10, 6000)));
        }
        heal_everything(test_fleet);
        test_fleet.run_until_converged(support::seconds(90));
        RC_ASSERT(test_fleet.converged());
    }));
}

} // namespace guavastair::membership
