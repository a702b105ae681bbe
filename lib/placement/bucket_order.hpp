/// The order of a service's members for one bucket.

#ifndef GUAVASTAIR_LIB_PLACEMENT_BUCKET_ORDER_HPP
#define GUAVASTAIR_LIB_PLACEMENT_BUCKET_ORDER_HPP

#include <guavastair/placement.hpp>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace guavastair::placement {

/// The weighted rendezvous score of `m` for a bucket; the highest score is
/// first. Processes compute the same score only with the same C library,
/// because of std::log.
double score(std::uint32_t bucket, const member& m);

/// Priority of a member for being listed if there are too many to list them
/// all; the first value has the highest priority.
enum class listing_class : std::uint8_t {
    /// Accepts new flows: among the first opening_limit members that are not
    /// draining.
    opening,
    /// May hold older flows: was among the first opening_limit members when it
    /// joined, not counting those that are draining now.
    former,
    /// Accepts new flows if all members before it refuse.
    reserve,
    draining,
};

/// Computes the order of a service's members, one bucket at a time. Reuses its
/// scratch memory for the next bucket.
class bucket_order {
public:
    /// `members` must be sorted by address, without duplicates, and outlive
    /// this object.
    explicit bucket_order(std::span<const member> members);

    /// Returns the indexes of the members to list for a bucket: at most
    /// max_candidates, highest score first. If there are more members, they are
    /// chosen by listing_class, then by score. Valid until the next call.
    std::span<const std::uint16_t> listed_members(std::uint32_t bucket);

    /// Returns the indexes of all members, with those most likely to hold a
    /// flow first. Valid until the next call.
    std::span<const std::uint16_t> all_members(std::uint32_t bucket);

private:
    void compute_scores(std::uint32_t bucket);
    bool is_before(std::uint16_t left, std::uint16_t right) const;
    void classify();
    void classify_group(std::span<const std::uint16_t> joined_simultaneously);
    void insert_into_best(std::uint16_t next);
    void sort_by_class(std::size_t wanted);

    std::span<const member> members;
    /// Member indexes, sorted by join time.
    std::vector<std::uint16_t> by_join_time;
    std::vector<std::uint16_t> order;
    std::vector<double> scores;
    std::vector<listing_class> classes;
    /// The members with the highest scores among those that are not draining
    /// and have been classified so far, best first.
    std::array<std::uint16_t, opening_limit> best_openers;
    std::size_t best_openers_size = 0;
};

} // namespace guavastair::placement

#endif
