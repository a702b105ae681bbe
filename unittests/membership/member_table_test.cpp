#include "../../lib/membership/member_table.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace guavastair::membership {

namespace {

node_record record_of(std::uint64_t id, std::uint32_t incarnation) {
    node_record record;
    record.id = {id};
    record.name = {"node-" + std::to_string(id)};
    record.data_centre = {"dc-" + std::to_string(id % 3)};
    record.control = {{static_cast<std::uint32_t>(id)}, 4000};
    record.state = member_state::ready;
    record.incarnation = incarnation;
    return record;
}

constexpr std::uint64_t self_id = 1000;

} // namespace

TEST_CASE("tables that merge the same records in any order are equal") {
    CHECK(rc::check([] {
        member_table forward(record_of(self_id, 1));
        member_table backward(record_of(self_id, 1));
        const auto count = *rc::gen::inRange<std::size_t>(0, 40);
        std::vector<node_record> updates(count);
        for (node_record& item : updates) {
            item = record_of(*rc::gen::inRange<std::uint64_t>(1, 12),
                             *rc::gen::inRange<std::uint32_t>(1, 5));
        }
        for (const node_record& item : updates) {
            forward.merge(item, {0});
        }
        std::reverse(updates.begin(), updates.end());
        for (const node_record& item : updates) {
            backward.merge(item, {0});
        }
        RC_ASSERT(forward.bucket_hashes(16) == backward.bucket_hashes(16));
        RC_ASSERT(forward.live_count() == backward.live_count());
        for (const auto& [id, entry] : forward.all()) {
            RC_ASSERT(backward.find(id)->record == entry.record);
        }
    }));
}

TEST_CASE("a bucket has the versions of its live members") {
    member_table table(record_of(self_id, 1));
    for (std::uint64_t id = 1; id <= 100; ++id) {
        table.merge(record_of(id, 3), {0});
    }
    table.apply({{5}, 3, liveness::failed, {self_id}}, {0});
    for (const std::size_t count : {1, 4, 256}) {
        std::size_t total = 0;
        for (std::size_t bucket = 0; bucket < count; ++bucket) {
            for (const auto& item : table.versions_in(bucket, count)) {
                CHECK(member_table::bucket_of(item.member, count) == bucket);
                CHECK(item.member.value != 5);
                ++total;
            }
        }
        CHECK(total == 100);
        CHECK(table.live_count() == total);
    }
}

TEST_CASE("failed is final for an incarnation") {
    member_table table(record_of(self_id, 1));
    table.merge(record_of(1, 3), {0});
    CHECK(table.apply({{1}, 3, liveness::failed, {self_id}}, {0}));
    CHECK(table.merge(record_of(1, 3), {0}).outcome == merge_outcome::stale);
    CHECK_FALSE(table.apply({{1}, 3, liveness::suspect, {self_id}}, {0}));
    CHECK_FALSE(table.find({1})->is_live());
    CHECK(table.merge(record_of(1, 4), {0}).outcome == merge_outcome::updated);
    CHECK(table.find({1})->is_live());
}

TEST_CASE("a suspicion of a later incarnation does not block its record") {
    member_table table(record_of(self_id, 1));
    table.merge(record_of(1, 3), {0});
    CHECK_FALSE(table.apply({{1}, 4, liveness::suspect, {self_id}}, {0}));
    node_record later = record_of(1, 4);
    later.state = member_state::draining;
    table.merge(later, {0});
    CHECK(table.find({1})->record.state == member_state::draining);
}

TEST_CASE("a member that started later takes over a name or an address") {
    member_table table(record_of(self_id, 1));
    table.merge(record_of(1, 3), {0});
    node_record same_name = record_of(2, 5);
    same_name.name = {"node-1"};
    const merge_result taken = table.merge(same_name, {0});
    REQUIRE(taken.replaced.size() == 1);
    CHECK(taken.replaced.front().value == 1);
    CHECK_FALSE(table.find({1})->is_live());
    node_record earlier = record_of(3, 4);
    earlier.control = same_name.control;
    const merge_result refused = table.merge(earlier, {0});
    CHECK(refused.outcome == merge_outcome::superseded);
    CHECK(refused.holder.value == 2);
    CHECK(table.find({3}) == nullptr);
}

} // namespace guavastair::membership
