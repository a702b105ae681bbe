#include "naive_order.hpp"

#include <guavastair/placement.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace placement = guavastair::placement;
namespace support = guavastair::support;

using placement::candidate;
using placement::candidate_list;
using placement::member;

/// Returns a flow hash in `bucket`.
static std::uint64_t hash_in_bucket(std::uint64_t bucket) {
    return bucket << 32;
}

static member make_member(std::uint32_t number) {
    member result;
    result.id = {0x1000ULL + number};
    result.data = {{0x0a000000U + number}, 7000};
    result.data_centre = {number % 2 == 0 ? "north" : "south"};
    return result;
}

static placement::service_members make_service(std::vector<member> members) {
    return {{"orders"}, {{0xc0000201}, 443}, std::move(members)};
}

static std::vector<member> make_members(std::uint32_t count) {
    std::vector<member> members;
    for (std::uint32_t i = 0; i < count; ++i) {
        members.push_back(make_member(i));
    }
    return members;
}

static std::vector<candidate> to_vector(const candidate_list& list) {
    return {list.begin(), list.end()};
}

static std::vector<member> arbitrary_members(int max_count) {
    const auto count = *rc::gen::inRange(0, max_count);
    std::vector<member> members;
    for (int i = 0; i < count; ++i) {
        member m = make_member(static_cast<std::uint32_t>(i));
        m.data.address.value = *rc::gen::arbitrary<std::uint32_t>();
        m.data.port = static_cast<std::uint16_t>(i + 1);
        m.weight = *rc::gen::inRange<std::uint32_t>(0, 9);
        m.joined = *rc::gen::inRange<std::uint64_t>(0, 20);
        m.draining = *rc::gen::inRange(0, 4) == 0;
        members.push_back(m);
    }
    return members;
}

TEST_CASE("a table lists the same candidates as the naive implementation") {
    CHECK(rc::check("same candidates", [] {
        const std::vector<member> members = arbitrary_members(30);
        const placement::service_table table(make_service(members));
        for (int i = 0; i < 20; ++i) {
            const auto hash = *rc::gen::arbitrary<std::uint64_t>();
            const auto expected = naive::candidates(members, hash);
            RC_ASSERT(to_vector(table.candidates(hash)) == to_vector(expected));
        }
    }));
}

TEST_CASE("the full order equals the naive listing order") {
    CHECK(rc::check("same order", [] {
        const std::vector<member> members = arbitrary_members(40);
        const placement::service_table table(make_service(members));
        const auto hash = *rc::gen::arbitrary<std::uint64_t>();
        std::vector<candidate> expected;
        for (const member& m : naive::listing_order(members, hash)) {
            expected.push_back({m.id, m.data});
        }
        RC_ASSERT(table.full_order(hash) == expected);
    }));
}

TEST_CASE("a draining member does not change the order") {
    std::vector<member> members = make_members(8);
    const placement::service_table before(make_service(members));
    members[2].draining = true;
    members[5].draining = true;
    const placement::service_table after(make_service(members));
    for (std::uint64_t b = 0; b < placement::bucket_count; ++b) {
        CHECK(to_vector(before.candidates(hash_in_bucket(b))) ==
              to_vector(after.candidates(hash_in_bucket(b))));
    }
}

TEST_CASE("three members that accept new flows are always listed") {
    std::vector<member> members = make_members(40);
    for (std::size_t i = 3; i < members.size(); ++i) {
        members[i].draining = true;
    }
    const placement::service_table table(make_service(members));
    for (std::uint64_t b = 0; b < placement::bucket_count; ++b) {
        const auto list = table.candidates(hash_in_bucket(b));
        CHECK(std::count_if(list.begin(), list.end(), [](const candidate& c) {
                  return c.id.value < 0x1003;
              }) == 3);
    }
}

TEST_CASE("a table identifies its members by id and address") {
    const std::vector<member> members = make_members(5);
    const placement::service_table table(make_service(members));
    CHECK(table.contains({members[3].id, members[3].data}));
    CHECK_FALSE(table.contains({{0xfeed}, members[3].data}));
    CHECK_FALSE(table.contains({members[3].id, {{0x0a000063}, 7000}}));
}

TEST_CASE("the order does not depend on the sequence of the members") {
    CHECK(rc::check("shuffled members", [] {
        std::vector<member> members = arbitrary_members(20);
        const placement::service_table table(make_service(members));
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        std::shuffle(members.begin(), members.end(), random);
        const placement::service_table other(make_service(members));
        for (std::uint64_t b = 0; b < placement::bucket_count; b += 7) {
            RC_ASSERT(to_vector(table.candidates(hash_in_bucket(b))) ==
                      to_vector(other.candidates(hash_in_bucket(b))));
        }
    }));
}

TEST_CASE("a member that joins or leaves does not move other members") {
    CHECK(rc::check("minimal disruption", [] {
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 24);
        const std::vector<member> with = make_members(count + 1);
        std::vector<member> without = with;
        const auto changed_index =
            *rc::gen::inRange<std::size_t>(0, with.size());
        without.erase(without.begin() +
                      static_cast<std::ptrdiff_t>(changed_index));
        const placement::service_table table_with(make_service(with));
        const placement::service_table table_without(make_service(without));
        for (std::uint64_t b = 0; b < placement::bucket_count; ++b) {
            auto before = to_vector(table_with.candidates(hash_in_bucket(b)));
            const auto after =
                to_vector(table_without.candidates(hash_in_bucket(b)));
            std::erase_if(before, [&](const candidate& c) {
                return c.id == with[changed_index].id;
            });
            RC_ASSERT(std::equal(before.begin(), before.end(), after.begin()));
        }
    }));
}

/// Returns how often each of `members` is the first candidate, over all
/// buckets.
static std::vector<double> first_counts(const std::vector<member>& members) {
    const placement::service_table table(make_service(members));
    std::vector<double> counts(members.size());
    for (std::uint64_t b = 0; b < placement::bucket_count; ++b) {
        const candidate first = table.candidates(hash_in_bucket(b))[0];
        counts[first.id.value - 0x1000] += 1;
    }
    return counts;
}

TEST_CASE("a member is first in proportion to its weight") {
    std::vector<member> members = make_members(10);
    double total = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].weight = static_cast<std::uint32_t>(i);
        total += static_cast<double>(i);
    }
    const std::vector<double> counts = first_counts(members);
    for (std::size_t i = 0; i < members.size(); ++i) {
        const double share = static_cast<double>(members[i].weight) / total;
        const double expected = share * placement::bucket_count;
        const double deviation = std::sqrt(expected * (1 - share));
        CHECK(std::abs(counts[i] - expected) <= 4 * deviation);
    }
}

TEST_CASE("a member that restarts at the same address keeps its position") {
    const std::vector<member> members = make_members(12);
    std::vector<member> restarted = members;
    restarted[3].id = {0xfeed};
    const placement::service_table before(make_service(members));
    const placement::service_table after(make_service(restarted));
    for (std::uint64_t b = 0; b < placement::bucket_count; ++b) {
        const auto old_list = before.candidates(hash_in_bucket(b));
        const auto new_list = after.candidates(hash_in_bucket(b));
        for (std::size_t i = 0; i < old_list.size; ++i) {
            CHECK(old_list[i].data == new_list[i].data);
        }
    }
}

TEST_CASE("the member that joined later wins if two share an address") {
    member former = make_member(1);
    former.joined = 10;
    member present = former;
    present.id = {0xfeed};
    present.joined = 20;
    const placement::service_table table(make_service({present, former}));
    const auto list = table.candidates(0);
    REQUIRE(list.size == 1);
    CHECK(list[0].id == present.id);
}

/// Grows a service from 3 to `last` members. At each size, the first
/// opening_limit members of the order may become owners of new flows. Returns
/// the share of these owners, over every eighth bucket, that a search of
/// `depth` candidates does not reach after the growth.
static double unreached_share(std::uint32_t last, std::size_t depth) {
    std::vector<member> members = make_members(last);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].joined = i + 1;
    }
    const placement::service_table table(make_service(members));
    double first_owners = 0;
    double unreached = 0;
    for (std::uint64_t b = 0; b < placement::bucket_count; b += 8) {
        const auto order = table.full_order(hash_in_bucket(b));
        for (std::uint32_t size = 3; size <= last; ++size) {
            const std::vector<member> members_then(members.begin(),
                                                   members.begin() + size);
            const auto ranked = naive::ranking(members_then, hash_in_bucket(b));
            for (std::size_t i = 0; i < placement::opening_limit; ++i) {
                const candidate first_owner{ranked[i].id, ranked[i].data};
                const auto end =
                    order.begin() +
                    static_cast<std::ptrdiff_t>(std::min(depth, order.size()));
                unreached += std::find(order.begin(), end, first_owner) == end;
                first_owners += 1;
            }
        }
    }
    return unreached / first_owners;
}

TEST_CASE("a growing service keeps the first owners of its flows reachable") {
    CHECK(unreached_share(16, 2 * placement::max_candidates) == 0.0);
    const double share = unreached_share(64, 2 * placement::max_candidates);
    MESSAGE("share of first owners out of reach after growth from 3 to 64: ",
            share);
    CHECK(share <= 0.01);
}

TEST_CASE("members in withdrawn data centres are removed") {
    const std::vector<support::data_centre_name> withdrawn{{"south"}};
    const auto left = placement::without_data_centres(
        make_service(make_members(6)), withdrawn);
    REQUIRE(left.members.size() == 3);
    for (const member& m : left.members) {
        CHECK(m.data_centre.value == "north");
    }
}
