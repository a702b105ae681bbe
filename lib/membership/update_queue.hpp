/// Membership updates waiting to be sent by gossip.

#ifndef GUAVASTAIR_LIB_MEMBERSHIP_UPDATE_QUEUE_HPP
#define GUAVASTAIR_LIB_MEMBERSHIP_UPDATE_QUEUE_HPP

#include "member_table.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>

namespace guavastair::membership {

/// Queues updates about members, at most one for each member. Each is sent a
/// bounded number of times: the least often sent first, newer ones first among
/// equals.
class update_queue {
public:
    /// Queues the record of `id`, in place of any update queued for it.
    void add_record(support::member_id id);

    /// Queues `observed`. A record queued for the same member is sent with it.
    void add_verdict(const verdict& observed);

    /// Whether an update about `id` is queued.
    bool contains(support::member_id id) const;

    bool empty() const;

    /// Appends updates to `body`, with records from `table`, while size_bound()
    /// stays within `max_size` bytes. Removes each update that has now been
    /// sent `max_sends` times or whose member is gone from the table.
    void fill(message& body, const member_table& table, std::size_t max_size,
              std::size_t max_sends);

private:
    struct queued_update {
        bool has_record = false;
        bool has_verdict = false;
        verdict observed;
        std::size_t sends = 0;
        std::uint64_t serial = 0;
    };

    using rank = std::tuple<std::size_t, std::uint64_t, support::member_id>;

    static rank rank_of(support::member_id id, const queued_update& item);
    queued_update& requeue(support::member_id id);
    static void append(message& body, const queued_update& item,
                       const node_record& record);

    absl::flat_hash_map<support::member_id, queued_update> updates;
    std::set<rank> by_priority;
    /// Counts down, so that newer updates sort first.
    std::uint64_t next_serial = UINT64_MAX;
};

} // namespace guavastair::membership

#endif
