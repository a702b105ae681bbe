/// Members under suspicion, and when each suspicion ends.

#ifndef GUAVASTAIR_LIB_MEMBERSHIP_SUSPICION_TABLE_HPP
#define GUAVASTAIR_LIB_MEMBERSHIP_SUSPICION_TABLE_HPP

#include <guavastair/membership.hpp>

#include <map>
#include <set>
#include <vector>

namespace guavastair::membership {

/// Bounds of the time that a suspicion lasts.
struct suspicion_limits {
    support::duration shortest;
    support::duration longest;
    /// Independent accusers beyond the first that make it the shortest.
    std::size_t confirmations = 0;
};

/// One member under suspicion.
struct suspicion {
    std::uint32_t incarnation = 0;
    support::instant start;
    support::instant deadline;
    std::set<support::member_id> accusers;
    suspicion_limits limits;
};

/// Keeps one deadline for each suspect. Independent accusers bring it nearer,
/// as Lifeguard does: a lone accuser may be the faulty one.
class suspicion_table {
public:
    /// Notes that `observed.accuser` suspects `observed.member`. True if this
    /// is a new suspicion or a further accuser that counts.
    bool add(const verdict& observed, support::instant now,
             suspicion_limits limits);

    /// The member was refuted, failed or forgotten.
    void drop(support::member_id id);

    /// Moves every deadline by `span`, for time in which this process or its
    /// links stood still.
    void postpone(support::duration span);

    /// Suspects whose time is up.
    std::vector<support::member_id> expired(support::instant now) const;

    const std::map<support::member_id, suspicion>& all() const;

private:
    std::map<support::member_id, suspicion> suspects;
};

} // namespace guavastair::membership

#endif
