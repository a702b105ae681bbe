#include "stored_change.hpp"

namespace guavastair::store {

static void append_change(const key_value& entry, bool key_is_deleted,
                          std::vector<config::change>& out) {
    const auto key = config::parse_store_key(entry.key);
    if (!key.has_value()) {
        return;
    }
    config::change item{*key, entry.mod_revision, key_is_deleted, ""};
    if (!key_is_deleted) {
        auto stored = parse_stored_document(entry.value);
        item.deleted = stored.ok() && stored->deleted;
        item.text = stored.ok() ? stored->text : entry.value;
    }
    out.push_back(std::move(item));
}

std::vector<config::change> to_changes(const std::vector<key_value>& entries) {
    std::vector<config::change> changes;
    for (const key_value& entry : entries) {
        append_change(entry, false, changes);
    }
    return changes;
}

std::vector<config::change> to_changes(const std::vector<watch_event>& events) {
    std::vector<config::change> changes;
    for (const watch_event& event : events) {
        append_change(event.entry, event.deleted, changes);
    }
    return changes;
}

} // namespace guavastair::store
