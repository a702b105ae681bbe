/// Answers that the agent gives itself.

#ifndef GUAVASTAIR_LIB_REQUEST_LOCAL_RESPONSES_HPP
#define GUAVASTAIR_LIB_REQUEST_LOCAL_RESPONSES_HPP

#include <guavastair/admission.hpp>
#include <guavastair/support.hpp>

#include <absl/strings/string_view.h>

#include <string>

namespace guavastair::request {

/// What to tell a caller whose request failed.
struct failure {
    support::error_kind kind = support::error_kind::internal;
    std::string message;
    /// When to come back; only told if the kind says so.
    support::duration retry_after;
};

/// How the caller's connection limits an answer.
struct response_options {
    bool is_http_1_0 = false;
    bool head_only = false;
    bool close = false;
};

/// The whole answer to a request that failed, from the closed table of error
/// kinds: a small JSON object with error, outcome, message and, where it is of
/// use, retry_after_s.
std::string write_failure(const failure& reported, response_options options);

/// The whole answer to a repeat of an operation that is done.
std::string write_replay(const admission::stored_response& stored,
                         response_options options);

/// "HTTP/1.1 100 Continue".
absl::string_view write_continue();

} // namespace guavastair::request

#endif
