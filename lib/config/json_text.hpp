/// Parses JSON with comments into POCO values.

#ifndef GUAVASTAIR_LIB_CONFIG_JSON_TEXT_HPP
#define GUAVASTAIR_LIB_CONFIG_JSON_TEXT_HPP

#include <absl/strings/string_view.h>
#include <Poco/Dynamic/Var.h>

#include <string>

namespace guavastair::config {

/// Replaces each line comment, from "//" to the end of the line, with spaces.
/// Strings and block comments are unchanged; POCO's parser skips block
/// comments.
std::string blank_line_comments(absl::string_view text);

/// Parses JSON with comments. Throws Poco::Exception on invalid syntax, on
/// nesting deeper than 16 levels and on a key that appears twice in one object.
Poco::Dynamic::Var parse_json(absl::string_view text);

} // namespace guavastair::config

#endif
