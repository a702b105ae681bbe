#include "member_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavastair::membership {

namespace {

std::uint64_t hash_of(support::member_id id) {
    return XXH3_64bits(&id.value, sizeof id.value);
}

std::uint64_t hash_of(const node_record& record) {
    return XXH3_64bits_withSeed(&record.id.value, sizeof record.id.value,
                                record.incarnation);
}

/// Whether `left` was started or changed later than `right`, a different member
/// with the same name or address. Ids break ties.
bool supersedes(const node_record& left, const node_record& right) {
    return std::pair(left.incarnation, left.id) >
           std::pair(right.incarnation, right.id);
}

} // namespace

member_table::member_table(node_record self) : self_record(std::move(self)) {
    this->insert_live(this->self_record);
}

const node_record& member_table::self() const {
    return this->self_record;
}

void member_table::set_self(node_record record) {
    this->erase_live(this->self_record);
    this->self_record = std::move(record);
    this->insert_live(this->self_record);
}

std::size_t member_table::bucket_of(support::member_id id, std::size_t count) {
    assert(count > 0 && count <= max_buckets && "too many buckets");
    return (hash_of(id) % max_buckets) / (max_buckets / count);
}

void member_table::insert_live(const node_record& record) {
    const std::size_t bucket = bucket_of(record.id, max_buckets);
    this->live[record.data_centre].insert(record.id);
    this->bucket_members[bucket].insert(record.id);
    this->hashes[bucket] += hash_of(record);
    ++this->live_member_count;
}

void member_table::erase_live(const node_record& record) {
    const std::size_t bucket = bucket_of(record.id, max_buckets);
    const auto live_members = this->live.find(record.data_centre);
    assert(live_members != this->live.end() &&
           "a live member has a data centre");
    live_members->second.erase(record.id);
    if (live_members->second.empty()) {
        this->live.erase(live_members);
    }
    this->bucket_members[bucket].erase(record.id);
    this->hashes[bucket] -= hash_of(record);
    --this->live_member_count;
}

void member_table::add_to_index(const node_record& record) {
    this->by_name[record.name.value] = record.id;
    this->by_control[record.control] = record.id;
}

void member_table::remove_from_index(const node_record& record) {
    const auto name = this->by_name.find(record.name.value);
    if (name != this->by_name.end() && name->second == record.id) {
        this->by_name.erase(name);
    }
    const auto control = this->by_control.find(record.control);
    if (control != this->by_control.end() && control->second == record.id) {
        this->by_control.erase(control);
    }
}

void member_table::mark_failed(support::member_id id, support::instant now) {
    member_entry& entry = this->entries.at(id);
    if (entry.is_live()) {
        this->erase_live(entry.record);
    }
    entry.liveness = liveness::failed;
    entry.changed_at = now;
}

/// The live members other than `record` that have its name or control address.
std::vector<support::member_id>
member_table::conflicting_members(const node_record& record) const {
    std::vector<support::member_id> ids;
    const auto add = [&](support::member_id id) {
        const member_entry* entry = this->find(id);
        if (id != record.id && entry != nullptr && entry->is_live()) {
            ids.push_back(id);
        }
    };
    const auto name = this->by_name.find(record.name.value);
    if (name != this->by_name.end()) {
        add(name->second);
    }
    const auto control = this->by_control.find(record.control);
    if (control != this->by_control.end() &&
        (ids.empty() || ids.front() != control->second)) {
        add(control->second);
    }
    return ids;
}

merge_result member_table::merge(const node_record& record,
                                 support::instant now) {
    merge_result result;
    const auto existing = this->entries.find(record.id);
    const bool is_known = existing != this->entries.end();
    if (is_known && record.incarnation <= existing->second.record.incarnation) {
        const bool is_same_version =
            record.incarnation == existing->second.record.incarnation &&
            existing->second.liveness != liveness::failed;
        result.outcome =
            is_same_version ? merge_outcome::unchanged : merge_outcome::stale;
        return result;
    }
    const bool is_leaving = record.state == member_state::left;
    if (!is_known && is_leaving) {
        return result;
    }
    const std::vector<support::member_id> conflicts =
        this->conflicting_members(record);
    for (const support::member_id id : conflicts) {
        if (!is_leaving && supersedes(this->find(id)->record, record)) {
            result.outcome = merge_outcome::superseded;
            result.holder = id;
            return result;
        }
    }
    for (const support::member_id id : conflicts) {
        if (!is_leaving) {
            this->mark_failed(id, now);
            result.replaced.push_back(id);
        }
    }
    member_entry& entry = this->entries[record.id];
    if (is_known) {
        if (entry.is_live()) {
            this->erase_live(entry.record);
        }
        this->remove_from_index(entry.record);
    }
    entry = {record, liveness::alive, now};
    if (entry.is_live()) {
        this->add_to_index(record);
        this->insert_live(record);
    }
    result.outcome = is_known ? merge_outcome::updated : merge_outcome::added;
    return result;
}

bool member_table::apply(const verdict& observed, support::instant now) {
    const auto existing = this->entries.find(observed.member);
    if (existing == this->entries.end()) {
        return false;
    }
    member_entry& entry = existing->second;
    // A suspicion of a later incarnation must not raise the incarnation held:
    // the record of that incarnation would then be rejected as already present.
    const bool is_newer = observed.incarnation > entry.record.incarnation &&
                          observed.liveness == liveness::failed;
    const bool is_worse = observed.incarnation == entry.record.incarnation &&
                          observed.liveness > entry.liveness;
    if ((!is_newer && !is_worse) || observed.liveness == liveness::alive) {
        return false;
    }
    const bool was_live = entry.is_live();
    if (was_live) {
        this->erase_live(entry.record);
    }
    entry.record.incarnation = observed.incarnation;
    entry.liveness = observed.liveness;
    entry.changed_at = now;
    if (entry.is_live()) {
        this->insert_live(entry.record);
    }
    return true;
}

const member_entry* member_table::find(support::member_id id) const {
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? nullptr : &found->second;
}

const member_entry* member_table::find_live(support::endpoint control) const {
    const auto found = this->by_control.find(control);
    if (found == this->by_control.end()) {
        return nullptr;
    }
    const member_entry* entry = this->find(found->second);
    return entry != nullptr && entry->is_live() ? entry : nullptr;
}

void member_table::forget(support::member_id id) {
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return;
    }
    if (found->second.is_live()) {
        this->erase_live(found->second.record);
    }
    this->remove_from_index(found->second.record);
    this->entries.erase(found);
}

const absl::flat_hash_map<support::member_id, member_entry>&
member_table::all() const {
    return this->entries;
}

const std::set<support::member_id>&
member_table::live_in(const support::data_centre_name& data_centre) const {
    static const std::set<support::member_id> no_members;
    const auto found = this->live.find(data_centre);
    return found == this->live.end() ? no_members : found->second;
}

std::vector<support::data_centre_name> member_table::data_centres() const {
    std::vector<support::data_centre_name> names;
    names.reserve(this->live.size());
    for (const auto& [name, members] : this->live) {
        names.push_back(name);
    }
    return names;
}

std::size_t member_table::live_count() const {
    return this->live_member_count;
}

std::vector<std::uint32_t>
member_table::bucket_hashes(std::size_t count) const {
    std::vector<std::uint64_t> sums(count);
    for (std::size_t fine_bucket = 0; fine_bucket < max_buckets;
         ++fine_bucket) {
        sums[fine_bucket / (max_buckets / count)] += this->hashes[fine_bucket];
    }
    std::vector<std::uint32_t> result;
    result.reserve(count);
    for (const std::uint64_t sum : sums) {
        result.push_back(static_cast<std::uint32_t>(sum));
    }
    return result;
}

std::vector<record_version> member_table::versions_in(std::size_t bucket,
                                                      std::size_t count) const {
    std::vector<record_version> result;
    const std::size_t width = max_buckets / count;
    for (std::size_t fine_bucket = bucket * width;
         fine_bucket < (bucket + 1) * width; ++fine_bucket) {
        for (const support::member_id id : this->bucket_members[fine_bucket]) {
            const std::uint32_t incarnation =
                id == this->self_record.id ? this->self_record.incarnation
                                           : this->find(id)->record.incarnation;
            result.push_back({id, incarnation});
        }
    }
    return result;
}

} // namespace guavastair::membership
