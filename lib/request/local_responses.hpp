/// Responses that the agent generates itself.

#ifndef GUAVASTAIR_LIB_REQUEST_LOCAL_RESPONSES_HPP
#define GUAVASTAIR_LIB_REQUEST_LOCAL_RESPONSES_HPP

#include <guavastair/admission.hpp>
#include <guavastair/support.hpp>

#include <absl/strings/string_view.h>

#include <string>

namespace guavastair::request {

/// Description of a failed request for the response to its caller.
struct failure {
    support::error_kind kind = support::error_kind::internal;
    std::string message;
    /// Time until a retry is useful. Sent only for error kinds with a retry
    /// time.
    support::duration retry_after;
};

/// Properties of the request and connection that a response depends on.
struct response_options {
    bool is_http_1_0 = false;
    bool head_only = false;
    bool close = false;
};

/// The complete response to a failed request, according to the table of error
/// kinds. The body is a JSON object with error, outcome, message and, for kinds
/// with a retry time, retry_after_s.
std::string write_failure(const failure& reported, response_options options);

/// The complete response to a repeated request whose operation has completed.
std::string write_replay(const admission::stored_response& stored,
                         response_options options);

/// The interim response "HTTP/1.1 100 Continue".
absl::string_view write_continue();

} // namespace guavastair::request

#endif
