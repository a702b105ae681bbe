/// Conversion of store entries and watch events to document changes.

#ifndef GUAVASTAIR_LIB_STORE_STORED_CHANGE_HPP
#define GUAVASTAIR_LIB_STORE_STORED_CHANGE_HPP

#include <guavastair/store.hpp>

namespace guavastair::store {

/// Omits keys that do not belong to a document. A value that is not a stored
/// document, as other tools may write, becomes the document's text unchanged.
std::vector<config::change> to_changes(const std::vector<key_value>& entries);
std::vector<config::change> to_changes(const std::vector<watch_event>& events);

} // namespace guavastair::store

#endif
