/// Header fields of one message, checked byte by byte.

#ifndef GUAVASTAIR_LIB_REQUEST_FIELDS_HPP
#define GUAVASTAIR_LIB_REQUEST_FIELDS_HPP

#include "head.hpp"

#include <Poco/Net/MessageHeader.h>

#include <string>
#include <vector>

namespace guavastair::request {

/// A head cut into its first line and its fields. Views into the bytes read.
struct raw_head {
    absl::string_view first_line;
    struct field {
        absl::string_view name;
        absl::string_view value;
    };
    std::vector<field> fields;
};

/// Cuts a whole head. Refuses whatever two readers might read differently: a
/// line end other than CRLF, control characters, folded lines, white space
/// round a name. Fails with error_kind::invalid_input.
absl::StatusOr<raw_head> split_head(absl::string_view bytes);

/// Puts the fields of `raw` into `message` unchanged. POCO decodes encoded
/// words while reading, which would let a caller smuggle line ends in.
void set_fields(const raw_head& raw, Poco::Net::MessageHeader& message);

/// Every value of the field `name`.
std::vector<std::string> values_of(const Poco::Net::MessageHeader& message,
                                   absl::string_view name);

/// Whether the list field `name` has the member `token`.
bool has_token(const Poco::Net::MessageHeader& message, absl::string_view name,
               absl::string_view token);

/// Removes the fields that concern one connection only.
void remove_connection_fields(Poco::Net::MessageHeader& message);

/// Reads Content-Length and Transfer-Encoding and removes them. No shape means
/// that neither is there. Fails with error_kind::invalid_input when they
/// contradict each other or cannot be read.
absl::StatusOr<std::optional<body_framing>>
extract_body_framing(Poco::Net::MessageHeader& message);

/// Whether every byte of `text` may stand in a token (RFC 9110).
bool is_token(absl::string_view text);

} // namespace guavastair::request

#endif
