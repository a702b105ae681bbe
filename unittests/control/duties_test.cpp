#include "../../lib/control/duties.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace guavastair::control {

namespace {

constexpr duty_counts counts{2, 3};

membership::member_view member_of(std::uint64_t id, bool may_watch) {
    membership::member_view view;
    view.record.id = {id};
    view.record.data_centre = {"east"};
    view.record.state = membership::member_state::ready;
    view.record.may_watch_store = may_watch;
    return view;
}

} // namespace

TEST_CASE("members with the same view assign every duty without overlap") {
    CHECK(rc::check([] {
        std::vector<membership::member_view> members;
        std::size_t candidates = 0;
        const auto size = *rc::gen::inRange<std::uint64_t>(1, 12);
        for (std::uint64_t id = 1; id <= size; ++id) {
            auto view = member_of(id, *rc::gen::arbitrary<bool>());
            const bool is_failed = *rc::gen::inRange(0, 4) == 0;
            if (is_failed) {
                view.liveness = membership::liveness::failed;
            }
            candidates += view.record.may_watch_store && !is_failed ? 1 : 0;
            members.push_back(view);
        }
        std::size_t watchers = 0;
        std::vector<std::size_t> slots;
        for (const membership::member_view& own : members) {
            if (own.liveness == membership::liveness::failed) {
                continue;
            }
            auto others = members;
            std::erase(others, own);
            const duties result = choose_duties(own.record, others, counts);
            watchers += result.watches ? 1 : 0;
            if (result.beacon_slot.has_value()) {
                slots.push_back(*result.beacon_slot);
            }
        }
        RC_ASSERT(watchers == std::min(candidates, counts.watchers));
        RC_ASSERT(slots.size() == std::min(candidates, counts.beacons));
        std::sort(slots.begin(), slots.end());
        RC_ASSERT(std::unique(slots.begin(), slots.end()) == slots.end());
    }));
}

TEST_CASE("members of another data centre do not affect the duties") {
    auto far = member_of(9, true);
    far.record.data_centre = {"west"};
    const std::vector<membership::member_view> members{far, far};
    const duties result =
        choose_duties(member_of(1, true).record, members, {1, 1});
    CHECK(result.watches);
    CHECK(result.beacon_slot == 0);
}

TEST_CASE("a member that has left has no duties") {
    auto own = member_of(1, true);
    own.record.state = membership::member_state::left;
    CHECK(choose_duties(own.record, {}, counts) == duties{});
}

} // namespace guavastair::control
