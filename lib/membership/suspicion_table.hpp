/// Suspected members and the deadline of each suspicion.

#ifndef GUAVASTAIR_LIB_MEMBERSHIP_SUSPICION_TABLE_HPP
#define GUAVASTAIR_LIB_MEMBERSHIP_SUSPICION_TABLE_HPP

#include <guavastair/membership.hpp>

#include <map>
#include <set>
#include <vector>

namespace guavastair::membership {

/// Bounds of the duration of a suspicion.
struct suspicion_limits {
    support::duration shortest;
    support::duration longest;
    /// Independent accusers beyond the first that shorten it to `shortest`. If
    /// 0, it lasts for `shortest` from the start.
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

/// Holds one deadline for each suspect. As in Lifeguard, further independent
/// accusers bring the deadline forward, because a single accuser may itself be
/// the faulty one.
class suspicion_table {
public:
    /// Records that `observed.accuser` suspects `observed.member`. True if this
    /// starts a suspicion or adds an accuser that shortens it. Ignores older
    /// incarnations, and accusers beyond `limits.confirmations`.
    bool add(const verdict& observed, support::instant now,
             suspicion_limits limits);

    /// Removes a suspect that refuted the suspicion, failed or was forgotten.
    void drop(support::member_id id);

    /// Moves every deadline by `span`, the time for which this process was
    /// paused or isolated.
    void postpone(support::duration span);

    /// Suspects whose deadline has passed.
    std::vector<support::member_id> expired(support::instant now) const;

    const std::map<support::member_id, suspicion>& all() const;

private:
    std::map<support::member_id, suspicion> suspects;
};

} // namespace guavastair::membership

#endif
