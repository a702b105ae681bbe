/// News waiting to be passed on.

#ifndef GUAVASTAIR_LIB_MEMBERSHIP_UPDATE_QUEUE_HPP
#define GUAVASTAIR_LIB_MEMBERSHIP_UPDATE_QUEUE_HPP

#include "member_table.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>

namespace guavastair::membership {

/// Hands out news, the least often sent first and of these the newest first,
/// each a bounded number of times.
class update_queue {
public:
    /// The record of `id` changed.
    void add_record(support::member_id id);

    /// `observed` is news. The record goes along if it is still queued.
    void add_verdict(const verdict& observed);

    /// Whether news of `id` is still being sent.
    bool contains(support::member_id id) const;

    bool empty() const;

    /// Fills `body` with news out of `table` up to `max_size` bytes by
    /// size_bound(), and drops what has now been sent `max_sends` times.
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
    /// Counts down, so that newer rumours come first.
    std::uint64_t next_serial = UINT64_MAX;
};

} // namespace guavastair::membership

#endif
