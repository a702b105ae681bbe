/// The selection of probe targets, the probes in flight, and the outcomes of
/// recent probes.

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

/// Iterates over a changing set of members in random order. Each member comes
/// once per round, which bounds the time between two probes of a member.
class member_rotation {
public:
    /// Inserts a new member at a random position in the rest of the round.
    void add(support::member_id id, std::mt19937_64& random);

    /// The next member of `live` other than `self`, or nothing if there is
    /// none.
    std::optional<support::member_id>
    next(const std::set<support::member_id>& live, support::member_id self,
         std::mt19937_64& random);

private:
    std::vector<support::member_id> remaining;
};

/// One probe in flight.
struct probe {
    support::member_id target;
    support::instant sent;
    /// A probe of another data centre only checks that the data centre is
    /// reachable. Its failure raises no suspicion.
    bool is_remote = false;
    bool has_requested_indirect = false;
    /// Members that were sent a ping_request.
    std::size_t helpers = 0;
    std::size_t nacks = 0;
};

/// A probe in flight that another member requested by a ping_request.
struct requested_probe {
    support::endpoint requester;
    /// Of the ping_request; the reply to it carries this number.
    std::uint32_t sequence = 0;
    support::member_id target;
    support::instant sent;
};

/// Probes in flight, by the sequence number of their ping.
struct probe_table {
    std::map<std::uint32_t, probe> own;
    std::map<std::uint32_t, requested_probe> requested;
};

/// The latest probe outcome of each member of the local data centre. A process
/// whose own link is down gets no answer from most members.
class probe_history {
public:
    void add_result(support::member_id target, bool answered,
                    support::instant now);

    /// Removes outcomes older than 3 s.
    void expire(support::instant now);

    /// Removes the outcome of a member that failed.
    void drop(support::member_id target);

    void clear();

    /// The number of members with an outcome, and of those that answered.
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
