/// Whom to probe next, which probes are under way, and how the last ones went.

#ifndef GUAVASTAIR_LIB_MEMBERSHIP_PROBES_HPP
#define GUAVASTAIR_LIB_MEMBERSHIP_PROBES_HPP

#include <guavastair/membership.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace guavastair::membership {

/// Goes through a changing set of members in a random order, each once before
/// any comes again, so that the time between two probes of a member is bounded.
class member_rotation {
public:
    /// Puts a new member at a random place among those still to come.
    void add(support::member_id id, std::mt19937_64& random);

    /// The next member of `live` other than `self`.
    std::optional<support::member_id>
    next(const std::set<support::member_id>& live, support::member_id self,
         std::mt19937_64& random);

private:
    std::vector<support::member_id> remaining;
};

/// One probe under way.
struct probe {
    support::member_id target;
    support::instant sent;
    /// A probe across data centres only tells whether the other one is within
    /// reach; it raises no suspicion.
    bool is_remote = false;
    bool has_requested_indirect = false;
    std::size_t helpers = 0;
    std::size_t nacks = 0;
};

/// A probe made for another member's ping_request.
struct requested_probe {
    support::endpoint requester;
    std::uint32_t sequence = 0;
    support::member_id target;
    support::instant sent;
};

/// Probes under way, by the sequence number of their ping.
struct probe_table {
    std::map<std::uint32_t, probe> own;
    std::map<std::uint32_t, requested_probe> requested;
};

/// The outcomes of this process's latest probes inside its data centre: a
/// process whose own link is down gets no answer from most members.
class probe_history {
public:
    void add_result(support::member_id target, bool answered,
                    support::instant now);

    /// Drops outcomes that are too old to count.
    void expire(support::instant now);

    /// The member is no longer there to answer.
    void drop(support::member_id target);

    void clear();

    /// Members probed lately, and how many of them answered their last probe.
    std::size_t probed() const;
    std::size_t answered() const;

private:
    struct result {
        bool answered = false;
        support::instant at;
    };
    std::map<support::member_id, result> results;
};

} // namespace guavastair::membership

#endif
