#include "bucket_order.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <numeric>

namespace guavastair::placement {

/// Seed of the scores. All processes must use the same seed, because another
/// seed results in another order.
static constexpr std::uint64_t score_seed = 0x706c6163656d656e;

static double uniform(std::uint64_t hash) {
    constexpr int dropped_bits = 11;
    constexpr double step = 0x1.0p-53;
    return (static_cast<double>(hash >> dropped_bits) + 0.5) * step;
}

double score(std::uint32_t bucket, const member& m) {
    const std::array<std::uint32_t, 3> input{bucket, m.data.address.value,
                                             m.data.port};
    const std::uint64_t hash =
        XXH3_64bits_withSeed(input.data(), sizeof(input), score_seed);
    return static_cast<double>(m.weight) / -std::log(uniform(hash));
}

bucket_order::bucket_order(std::span<const member> members)
    : members(members), by_join_time(members.size()), order(members.size()),
      scores(members.size()), classes(members.size()) {
    std::iota(this->by_join_time.begin(), this->by_join_time.end(),
              std::uint16_t{0});
    std::iota(this->order.begin(), this->order.end(), std::uint16_t{0});
    std::stable_sort(this->by_join_time.begin(), this->by_join_time.end(),
                     [this](std::uint16_t left, std::uint16_t right) {
                         return this->members[left].joined <
                                this->members[right].joined;
                     });
}

std::span<const std::uint16_t>
bucket_order::listed_members(std::uint32_t bucket) {
    this->compute_scores(bucket);
    const std::size_t count = std::min(max_candidates, this->members.size());
    if (this->members.size() > max_candidates) {
        this->classify();
        this->sort_by_class(count);
    }
    const auto first = this->order.begin();
    std::sort(first, first + static_cast<std::ptrdiff_t>(count),
              [this](std::uint16_t left, std::uint16_t right) {
                  return this->is_before(left, right);
              });
    return {this->order.data(), count};
}

std::span<const std::uint16_t> bucket_order::all_members(std::uint32_t bucket) {
    this->compute_scores(bucket);
    this->classify();
    this->sort_by_class(this->members.size());
    return this->order;
}

void bucket_order::compute_scores(std::uint32_t bucket) {
    for (std::size_t i = 0; i < this->members.size(); ++i) {
        this->scores[i] = score(bucket, this->members[i]);
    }
}

bool bucket_order::is_before(std::uint16_t left, std::uint16_t right) const {
    if (this->scores[left] != this->scores[right]) {
        return this->scores[left] > this->scores[right];
    }
    return left < right;
}

void bucket_order::classify() {
    const auto joined_at = [this](std::size_t i) {
        return this->members[this->by_join_time[i]].joined;
    };
    this->best_openers_size = 0;
    std::size_t begin = 0;
    while (begin < this->by_join_time.size()) {
        std::size_t end = begin + 1;
        while (end < this->by_join_time.size() &&
               joined_at(end) == joined_at(begin)) {
            ++end;
        }
        this->classify_group({this->by_join_time.data() + begin, end - begin});
        begin = end;
    }
    for (std::size_t i = 0; i < this->best_openers_size; ++i) {
        this->classes[this->best_openers[i]] = listing_class::opening;
    }
}

void bucket_order::classify_group(
    std::span<const std::uint16_t> joined_simultaneously) {
    for (const std::uint16_t index : joined_simultaneously) {
        if (!this->members[index].draining) {
            this->insert_into_best(index);
        }
    }
    for (const std::uint16_t index : joined_simultaneously) {
        const bool is_first =
            this->best_openers_size < opening_limit ||
            !this->is_before(this->best_openers[this->best_openers_size - 1],
                             index);
        const listing_class otherwise = this->members[index].draining
                                            ? listing_class::draining
                                            : listing_class::reserve;
        this->classes[index] = is_first ? listing_class::former : otherwise;
    }
}

void bucket_order::insert_into_best(std::uint16_t next) {
    if (this->best_openers_size < opening_limit) {
        this->best_openers[this->best_openers_size] = next;
        ++this->best_openers_size;
    } else if (this->is_before(
                   next, this->best_openers[this->best_openers_size - 1])) {
        this->best_openers[this->best_openers_size - 1] = next;
    }
    for (std::size_t i = this->best_openers_size - 1; i > 0; --i) {
        if (this->is_before(this->best_openers[i], this->best_openers[i - 1])) {
            std::swap(this->best_openers[i], this->best_openers[i - 1]);
        }
    }
}

void bucket_order::sort_by_class(std::size_t wanted) {
    const auto comes_first = [this](std::uint16_t left, std::uint16_t right) {
        if (this->classes[left] != this->classes[right]) {
            return this->classes[left] < this->classes[right];
        }
        return this->is_before(left, right);
    };
    const auto begin = this->order.begin();
    std::partial_sort(begin, begin + static_cast<std::ptrdiff_t>(wanted),
                      this->order.end(), comes_first);
}

} // namespace guavastair::placement
