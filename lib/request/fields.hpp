/// Parsing and validation of the header fields of one message.

#ifndef GUAVASTAIR_LIB_REQUEST_FIELDS_HPP
#define GUAVASTAIR_LIB_REQUEST_FIELDS_HPP

#include "head.hpp"

#include <Poco/Net/MessageHeader.h>

#include <string>
#include <vector>

namespace guavastair::request {

/// A head split into its first line and its fields. All members are views into
/// the parsed bytes.
struct raw_head {
    absl::string_view first_line;
    struct field {
        absl::string_view name;
        absl::string_view value;
    };
    std::vector<field> fields;
};

/// Splits a complete head. Rejects everything that two HTTP parsers may
/// interpret differently: line ends other than CRLF, control characters, folded
/// lines, white space around a field name. Also rejects more than 100 fields.
/// Fails with error_kind::invalid_input.
absl::StatusOr<raw_head> split_head(absl::string_view bytes);

/// Replaces the fields of `message` by the fields of `raw`, unchanged. POCO's
/// parser decodes encoded words, which would let a caller inject line ends.
void set_fields(const raw_head& raw, Poco::Net::MessageHeader& message);

/// The values of all fields named `name`.
std::vector<std::string> values_of(const Poco::Net::MessageHeader& message,
                                   absl::string_view name);

/// Whether the list field `name` contains `token`, ignoring case.
bool has_token(const Poco::Net::MessageHeader& message, absl::string_view name,
               absl::string_view token);

/// Removes the fields that apply to one connection only, and those listed in
/// Connection, except for Host, Content-Type and the fields of this library.
void remove_connection_fields(Poco::Net::MessageHeader& message);

/// Parses and removes Content-Length and Transfer-Encoding. Returns nullopt if
/// neither field is present. Fails with error_kind::invalid_input if both are
/// present, one is repeated or a value is invalid.
absl::StatusOr<std::optional<body_framing>>
extract_body_framing(Poco::Net::MessageHeader& message);

/// Whether `text` is a token (RFC 9110).
bool is_token(absl::string_view text);

} // namespace guavastair::request

#endif
