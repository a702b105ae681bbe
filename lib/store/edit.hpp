/// One operator's edit on its way into the store.

#ifndef GUAVASTAIR_LIB_STORE_EDIT_HPP
#define GUAVASTAIR_LIB_STORE_EDIT_HPP

#include <guavastair/store.hpp>

namespace guavastair::store {

/// A document's record in the store when an edit reads it.
struct record {
    /// Zero revisions and version for a key that does not exist.
    key_value entry;
    /// Nothing if the key does not exist or was written by other tools.
    std::optional<stored_document> stored;

    /// Whether there is a document, read or not.
    bool exists() const;
};

record make_record(const std::string& key,
                   const std::vector<key_value>& entries);

/// An edit with its id. It keeps count of whether one of its writes may have
/// taken effect without an answer.
struct edit {
    edit_id id;
    std::string key;
    /// Whether the outcome of a write so far is unknown.
    bool has_uncertain_write = false;
};

/// What a write that did not go through means.
enum class edit_outcome : std::uint8_t {
    /// The edit is in the store.
    accepted,
    /// It is in the store and another has followed it.
    superseded,
    /// It is not and will never be in the store.
    conflict,
    /// The record has not moved: another condition failed.
    record_unchanged,
    /// It cannot be told.
    unknown,
};

/// Judges `item`, made for `base`, by the record that the store holds now.
edit_outcome determine_outcome(const edit& item, const record& base,
                               const record& present);

/// The history of `base` with `id` after it.
std::vector<edit_id> append_to_history(const record& base, const edit_id& id);

} // namespace guavastair::store

#endif
