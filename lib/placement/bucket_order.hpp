/// The order of a service's members for one bucket.

#ifndef GUAVASTAIR_LIB_PLACEMENT_BUCKET_ORDER_HPP
#define GUAVASTAIR_LIB_PLACEMENT_BUCKET_ORDER_HPP

#include <guavastair/placement.hpp>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace guavastair::placement {

/// The weighted rendezvous score of `m` for a bucket; the highest is first.
/// Equal in every process that runs the same C library.
double score(std::uint32_t bucket, const member& m);

/// Who is listed first where not all members can be.
enum class listing_class : std::uint8_t {
    /// Takes new flows: among the first opening_limit that are not draining.
    opening,
    /// May hold flows from the past: was among the first opening_limit when it
    /// joined, not counting those that drain now.
    former,
    /// Takes new flows if all before it refuse.
    reserve,
    draining,
};

/// Works out buckets of one service one after the other. Keeps its scratch
/// memory between them.
class bucket_order {
public:
    /// `members` must be sorted by address, without duplicates, and outlive
    /// this object.
    explicit bucket_order(std::span<const member> members);

    /// Indexes of the members to list for a bucket, at most max_candidates,
    /// highest score first. If not all can be listed they are chosen in the
    /// order of listing_class. Valid until the next call.
    std::span<const std::uint16_t> listed_members(std::uint32_t bucket);

    /// Indexes of all members, those likeliest to hold a flow first. Valid
    /// until the next call.
    std::span<const std::uint16_t> all_members(std::uint32_t bucket);

private:
    void compute_scores(std::uint32_t bucket);
    bool is_before(std::uint16_t left, std::uint16_t right) const;
    void classify();
    void classify_group(std::span<const std::uint16_t> joined_simultaneously);
    void insert_into_best(std::uint16_t next);
    void sort_by_class(std::size_t wanted);

    std::span<const member> members;
    /// Member indexes in the order of joining.
    std::vector<std::uint16_t> by_join_time;
    std::vector<std::uint16_t> order;
    std::vector<double> scores;
    std::vector<listing_class> classes;
    /// The best of those that joined so far and are not draining.
    std::array<std::uint16_t, opening_limit> best_openers;
    std::size_t best_openers_size = 0;
};

} // namespace guavastair::placement

#endif
