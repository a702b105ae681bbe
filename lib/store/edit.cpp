#include "edit.hpp"

#include <algorithm>

namespace guavastair::store {

bool record::exists() const {
    const bool is_deleted = this->stored.has_value() && this->stored->deleted;
    return this->entry.version != 0 && !is_deleted;
}

record make_record(const std::string& key,
                   const std::vector<key_value>& entries) {
    record result;
    result.entry.key = key;
    for (const key_value& entry : entries) {
        if (entry.key != key) {
            continue;
        }
        result.entry = entry;
        auto stored = parse_stored_document(entry.value);
        if (stored.ok()) {
            result.stored = *std::move(stored);
        }
    }
    return result;
}

/// Whether the edit ids in `present` include every edit since `base`.
static bool history_covers(const record& base, const record& present) {
    if (!present.stored.has_value()) {
        return false;
    }
    const bool is_same_key =
        base.entry.version == 0 ||
        base.entry.create_revision == present.entry.create_revision;
    const std::int64_t writes = present.entry.version - base.entry.version;
    const auto remembered =
        static_cast<std::int64_t>(present.stored->edits.size());
    return is_same_key && writes <= remembered;
}

edit_outcome determine_outcome(const edit& item, const record& base,
                               const record& present) {
    if (present.entry.mod_revision == base.entry.mod_revision) {
        return edit_outcome::record_unchanged;
    }
    if (present.stored.has_value()) {
        const auto& edits = present.stored->edits;
        if (!edits.empty() && edits.back() == item.id) {
            return edit_outcome::accepted;
        }
        if (std::find(edits.begin(), edits.end(), item.id) != edits.end()) {
            return edit_outcome::superseded;
        }
    }
    // A write that was sent for `base` can no longer take effect because a key
    // never returns to an older revision.
    if (!item.has_uncertain_write || history_covers(base, present)) {
        return edit_outcome::conflict;
    }
    return edit_outcome::unknown;
}

std::vector<edit_id> append_to_history(const record& base, const edit_id& id) {
    std::vector<edit_id> edits;
    if (base.stored.has_value()) {
        edits = base.stored->edits;
    }
    edits.push_back(id);
    if (edits.size() > max_remembered_edits) {
        edits.erase(edits.begin(), edits.end() - max_remembered_edits);
    }
    return edits;
}

} // namespace guavastair::store
