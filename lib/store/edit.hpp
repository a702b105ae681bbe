/// The state of one operator's edit and how the outcome of its write is
/// determined.

#ifndef GUAVASTAIR_LIB_STORE_EDIT_HPP
#define GUAVASTAIR_LIB_STORE_EDIT_HPP

#include <guavastair/store.hpp>

namespace guavastair::store {

/// A document's record as read from the store.
struct record {
    /// Revisions and version are 0 if the key does not exist.
    key_value entry;
    /// Not set if the key does not exist or another tool wrote a value in a
    /// different format.
    std::optional<stored_document> stored;

    /// Whether the key holds a document, including one in a different format.
    bool exists() const;
};

record make_record(const std::string& key,
                   const std::vector<key_value>& entries);

/// An edit with its id, and whether one of its writes may have taken effect
/// although no response arrived.
struct edit {
    edit_id id;
    std::string key;
    /// Whether the outcome of any write sent so far is unknown.
    bool has_uncertain_write = false;
};

/// The outcome of an edit whose write failed its conditions.
enum class edit_outcome : std::uint8_t {
    /// The edit was written, by an earlier attempt.
    accepted,
    /// The edit was written, and a later edit has replaced it.
    superseded,
    /// The edit was not written and never will be.
    conflict,
    /// The record has not changed; a different condition failed.
    record_unchanged,
    /// The record no longer shows whether the edit was written.
    unknown,
};

/// Determines the outcome of `item`, which was made for `base`, from the
/// record `present` that the store holds now.
edit_outcome determine_outcome(const edit& item, const record& base,
                               const record& present);

/// Returns the edit ids of `base` followed by `id`, without the oldest ones
/// beyond max_remembered_edits.
std::vector<edit_id> append_to_history(const record& base, const edit_id& id);

} // namespace guavastair::store

#endif
