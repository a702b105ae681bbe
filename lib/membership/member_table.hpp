/// The member records that a process holds, with the indexes that the protocol
/// needs.

#ifndef GUAVASTAIR_LIB_MEMBERSHIP_MEMBER_TABLE_HPP
#define GUAVASTAIR_LIB_MEMBERSHIP_MEMBER_TABLE_HPP

#include <guavastair/membership.hpp>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace guavastair::membership {

/// Largest number of buckets into which anti-entropy divides the members.
inline constexpr std::size_t max_buckets = 1024;

/// The record of one other member and its observed liveness.
struct member_entry {
    node_record record;
    membership::liveness liveness = liveness::alive;
    /// When this entry last changed. The age of a tombstone counts from here.
    support::instant changed_at;

    bool is_live() const {
        return this->liveness != liveness::failed &&
               this->record.state != member_state::left;
    }
};

enum class merge_outcome : std::uint8_t {
    added,
    updated,
    /// The table already holds this version.
    unchanged,
    /// The table holds a newer version, or this one was declared failed.
    stale,
    /// A live member with a higher (incarnation, id) has its name or control
    /// address.
    superseded,
};

struct merge_result {
    merge_outcome outcome = merge_outcome::unchanged;
    /// Live members with the same name or control address, now marked failed.
    std::vector<support::member_id> replaced;
    /// For merge_outcome::superseded: the member that has the name or address.
    support::member_id holder;
};

/// The record of this process and those of all other members. Keeps the live
/// members of each data centre and the bucket hashes of anti-entropy up to
/// date.
class member_table {
public:
    explicit member_table(node_record self);

    const node_record& self() const;
    void set_self(node_record record);

    /// Stores `record` if it is newer than the one held.
    merge_result merge(const node_record& record, support::instant now);

    /// Applies an observation. True if the entry changed. A suspicion counts
    /// only for the incarnation held, a failure also for a later one.
    bool apply(const verdict& observed, support::instant now);

    const member_entry* find(support::member_id id) const;

    /// The live member with this control address, or null.
    const member_entry* find_live(support::endpoint control) const;

    /// Removes the entry, if there is one.
    void forget(support::member_id id);

    const absl::flat_hash_map<support::member_id, member_entry>& all() const;

    /// Live members of one data centre, this one included.
    const std::set<support::member_id>&
    live_in(const support::data_centre_name& data_centre) const;

    /// Data centres with live members.
    std::vector<support::data_centre_name> data_centres() const;

    /// Live members of all data centres, this one included.
    std::size_t live_count() const;

    /// Hashes of the live records in `count` buckets, a power of two of at most
    /// max_buckets.
    std::vector<std::uint32_t> bucket_hashes(std::size_t count) const;

    /// Versions of the live records in one of `count` buckets.
    std::vector<record_version> versions_in(std::size_t bucket,
                                            std::size_t count) const;

    static std::size_t bucket_of(support::member_id id, std::size_t count);

private:
    void insert_live(const node_record& record);
    void erase_live(const node_record& record);
    void add_to_index(const node_record& record);
    void remove_from_index(const node_record& record);
    void mark_failed(support::member_id id, support::instant now);
    std::vector<support::member_id>
    conflicting_members(const node_record& record) const;

    node_record self_record;
    absl::flat_hash_map<support::member_id, member_entry> entries;
    absl::flat_hash_map<std::string, support::member_id> by_name;
    absl::flat_hash_map<support::endpoint, support::member_id> by_control;
    std::map<support::data_centre_name, std::set<support::member_id>> live;
    std::size_t live_member_count = 0;
    std::array<std::uint64_t, max_buckets> hashes{};
    std::array<std::set<support::member_id>, max_buckets> bucket_members;
};

} // namespace guavastair::membership

#endif
