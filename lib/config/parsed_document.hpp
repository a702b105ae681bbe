/// The parsed form of a document in a document set.

#ifndef GUAVASTAIR_LIB_CONFIG_PARSED_DOCUMENT_HPP
#define GUAVASTAIR_LIB_CONFIG_PARSED_DOCUMENT_HPP

#include <guavastair/config.hpp>

namespace guavastair::config {

/// The latest version of one document, with its parsed content.
struct parsed_document {
    support::revision revision;
    bool deleted = false;
    std::string text;
    /// Null for a data centre, a deleted document and an unusable service
    /// document.
    std::shared_ptr<const service_document> service;
    /// True only for a data centre that is withdrawn.
    bool withdrawn = false;
    std::vector<problem> problems;
};

/// Parses a change. Invalid text is not an error: it is recorded in `problems`.
/// The result depends only on the change, so all processes agree on it.
parsed_document parse_change(const change& from);

/// Returns the change that parse_change() parsed.
change to_change(const document_key& key, const parsed_document& document);

} // namespace guavastair::config

#endif
