#include "naive_order.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace naive {

namespace placement = guavastair::placement;

static double naive_score(const placement::member& m, std::uint64_t flow_hash) {
    struct {
        std::uint32_t bucket;
        std::uint32_t address;
        std::uint32_t port;
    } input{static_cast<std::uint32_t>(flow_hash >> 32) % 1024,
            m.data.address.value, m.data.port};
    const XXH64_hash_t hash =
        XXH3_64bits_withSeed(&input, sizeof(input), 0x706c6163656d656eULL);
    const double u =
        (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0;
    return -static_cast<double>(m.weight) / std::log(u);
}

member_list ranking(member_list members, std::uint64_t flow_hash) {
    std::sort(members.begin(), members.end(),
              [flow_hash](const auto& left, const auto& right) {
                  const double a = naive_score(left, flow_hash);
                  const double b = naive_score(right, flow_hash);
                  return a != b ? a > b : left.data < right.data;
              });
    return members;
}

/// Counts the members of `ranked` that come before `m`, are not draining and
/// joined no later than `time`.
static std::size_t count_preferred(const placement::member& m,
                                   const member_list& ranked,
                                   std::uint64_t time) {
    const auto end = std::find(ranked.begin(), ranked.end(), m);
    return static_cast<std::size_t>(
        std::count_if(ranked.begin(), end, [time](const auto& other) {
            return !other.draining && other.joined <= time;
        }));
}

static int class_of(const placement::member& m, const member_list& ranked) {
    if (!m.draining && count_preferred(m, ranked, UINT64_MAX) < 3) {
        return 0;
    }
    if (count_preferred(m, ranked, m.joined) < 3) {
        return 1;
    }
    return m.draining ? 3 : 2;
}

member_list listing_order(const member_list& members, std::uint64_t flow_hash) {
    const member_list ranked = ranking(members, flow_hash);
    member_list result;
    for (int wanted = 0; wanted < 4; ++wanted) {
        for (const placement::member& m : ranked) {
            if (class_of(m, ranked) == wanted) {
                result.push_back(m);
            }
        }
    }
    return result;
}

placement::candidate_list candidates(const member_list& members,
                                     std::uint64_t flow_hash) {
    member_list listed = listing_order(members, flow_hash);
    listed.resize(std::min(listed.size(), placement::max_candidates));
    placement::candidate_list result;
    for (const placement::member& m : ranking(listed, flow_hash)) {
        result.items[result.size++] = {m.id, m.data};
    }
    return result;
}

} // namespace naive
