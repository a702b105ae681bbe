#include "parsed_document.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace guavastair::config {

using support::revision;

namespace {

/// Orders documents by the revision of their latest write.
struct revised_key {
    support::revision revision;
    document_key key;

    auto operator<=>(const revised_key&) const = default;
};

constexpr std::array<absl::string_view, 3> apply_result_names{"applied",
                                                              "stale", "gap"};

} // namespace

absl::string_view to_string(apply_result value) {
    return apply_result_names[static_cast<std::size_t>(value)];
}

struct document_set::state {
    std::size_t max_tombstones = 0;
    revision newest_revision;
    /// All deletions after this revision are still recorded.
    revision tombstones_complete_since;
    std::map<document_key, parsed_document> documents;
    std::set<revised_key> by_revision;
    std::set<revised_key> tombstones;

    void put(const change& item);
    void erase_document(const document_key& key);
    void delete_unlisted(const change_set& changes);
    void evict_old_tombstones();
    change_set full_change_set() const;
};

void document_set::state::erase_document(const document_key& key) {
    const auto found = this->documents.find(key);
    if (found == this->documents.end()) {
        return;
    }
    const revised_key row{found->second.revision, key};
    this->by_revision.erase(row);
    this->tombstones.erase(row);
    this->documents.erase(found);
}

void document_set::state::put(const change& item) {
    this->erase_document(item.key);
    this->documents.emplace(item.key, parse_change(item));
    const revised_key row{item.revision, item.key};
    this->by_revision.insert(row);
    if (item.deleted) {
        this->tombstones.insert(row);
    }
}

/// Deletes the documents that a full change set does not list.
void document_set::state::delete_unlisted(const change_set& changes) {
    std::set<document_key> listed_keys;
    for (const change& item : changes.entries) {
        listed_keys.insert(item.key);
    }
    std::vector<document_key> dropped;
    for (const auto& [key, document] : this->documents) {
        if (!document.deleted && !listed_keys.contains(key)) {
            dropped.push_back(key);
        }
    }
    for (const document_key& key : dropped) {
        this->put({key, changes.to, true, ""});
    }
}

void document_set::state::evict_old_tombstones() {
    while (this->tombstones.size() > this->max_tombstones) {
        const revised_key oldest = *this->tombstones.begin();
        this->tombstones_complete_since =
            std::max(this->tombstones_complete_since, oldest.revision);
        this->erase_document(oldest.key);
    }
}

change_set document_set::state::full_change_set() const {
    change_set result{
        this->tombstones_complete_since, this->newest_revision, true, {}};
    for (const revised_key& row : this->by_revision) {
        const parsed_document& document = this->documents.at(row.key);
        result.entries.push_back(to_change(row.key, document));
    }
    return result;
}

document_set::document_set(std::size_t max_tombstones)
    : self(std::make_unique<state>()) {
    this->self->max_tombstones = max_tombstones;
}

document_set::~document_set() = default;
document_set::document_set(document_set&& other) noexcept = default;
document_set& document_set::operator=(document_set&& other) noexcept = default;

revision document_set::complete_up_to() const {
    return this->self->newest_revision;
}

apply_result document_set::apply(const change_set& changes) {
    const revision current = this->self->newest_revision;
    if (changes.to <= current) {
        return apply_result::stale;
    }
    if (!changes.full && changes.from > current) {
        return apply_result::gap;
    }
    for (const change& item : changes.entries) {
        if (item.revision > current && item.revision <= changes.to) {
            this->self->put(item);
        }
    }
    if (changes.full) {
        this->self->delete_unlisted(changes);
        this->self->tombstones_complete_since =
            std::max(this->self->tombstones_complete_since, changes.from);
    }
    this->self->newest_revision = changes.to;
    this->self->evict_old_tombstones();
    return apply_result::applied;
}

change_set document_set::changes_since(revision from) const {
    if (from >= this->self->newest_revision) {
        return {from, from, false, {}};
    }
    if (from < this->self->tombstones_complete_since) {
        return this->self->full_change_set();
    }
    change_set result{from, this->self->newest_revision, false, {}};
    const revised_key first{{from.value + 1}, {}};
    auto row = this->self->by_revision.lower_bound(first);
    for (; row != this->self->by_revision.end(); ++row) {
        const parsed_document& document = this->self->documents.at(row->key);
        result.entries.push_back(to_change(row->key, document));
    }
    return result;
}

std::shared_ptr<const service_document>
document_set::find(const support::service_name& name) const {
    const auto found =
        this->self->documents.find({document_kind::service, name.value});
    if (found == this->self->documents.end()) {
        return nullptr;
    }
    return found->second.service;
}

std::vector<std::shared_ptr<const service_document>>
document_set::services() const {
    std::vector<std::shared_ptr<const service_document>> result;
    std::set<support::endpoint> used_addresses;
    for (const auto& [key, document] : this->self->documents) {
        if (document.service != nullptr &&
            used_addresses.insert(document.service->address).second) {
            result.push_back(document.service);
        }
    }
    return result;
}

std::vector<support::data_centre_name>
document_set::withdrawn_data_centres() const {
    std::vector<support::data_centre_name> result;
    for (const auto& [key, document] : this->self->documents) {
        if (document.withdrawn) {
            result.push_back({key.name});
        }
    }
    return result;
}

std::optional<revision>
document_set::revision_of(const document_key& key) const {
    const auto found = this->self->documents.find(key);
    if (found == this->self->documents.end() || found->second.deleted) {
        return std::nullopt;
    }
    return found->second.revision;
}

std::vector<problem> document_set::problems() const {
    std::vector<problem> result;
    for (const auto& [key, document] : this->self->documents) {
        result.insert(result.end(), document.problems.begin(),
                      document.problems.end());
    }
    return result;
}

std::size_t document_set::size() const {
    return this->self->documents.size() - this->self->tombstones.size();
}

} // namespace guavastair::config
