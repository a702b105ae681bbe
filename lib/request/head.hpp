/// Heads of HTTP/1.1 messages: finding their end, validating them and
/// determining the framing of the body.

#ifndef GUAVASTAIR_LIB_REQUEST_HEAD_HPP
#define GUAVASTAIR_LIB_REQUEST_HEAD_HPP

#include <guavastair/admission.hpp>
#include <guavastair/support.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace guavastair::request {

/// How the end of a body is determined.
enum class framing : std::uint8_t { none, length, chunked, until_close };

struct body_framing {
    framing kind = framing::none;
    /// For framing::length, in bytes.
    std::uint64_t length = 0;
};

/// A parsed request head. `message` contains only the fields that may be
/// forwarded to the server, without those that describe the body or the
/// connection.
struct request_head {
    Poco::Net::HTTPRequest message;
    body_framing body;
    bool keep_alive = false;
    bool expects_continue = false;
    bool is_http_1_0 = false;
    /// Value of Request-Timeout-Ms.
    std::optional<support::duration> timeout;
    /// Value of Idempotency-Key. Not set for idempotent methods.
    std::optional<std::string> operation;
};

/// A parsed response head, with the same restriction on `message`.
struct response_head {
    Poco::Net::HTTPResponse message;
    body_framing body;
    /// 100 to 999. POCO's status type only covers values up to 511.
    int status = 0;
    /// Whether this is an interim (1xx) response; the final response follows.
    bool interim = false;
    bool event_stream = false;
};

/// Finds the end of a head in a growing buffer. Bytes that were searched are
/// not searched again, except for the last three.
class head_scanner {
public:
    /// Size of the head at the front of `bytes` including its empty line, or
    /// nullopt while it is incomplete. Between calls bytes may only be
    /// appended; otherwise call reset().
    std::optional<std::size_t> find(absl::string_view bytes);

    void reset();

private:
    std::size_t scanned = 0;
};

/// Parses a complete request head. Fails with error_kind::invalid_input.
absl::StatusOr<request_head> parse_request_head(absl::string_view bytes);

/// Parses the complete response head to a request with `method`. Fails with
/// error_kind::request_outcome_unknown.
absl::StatusOr<response_head> parse_response_head(absl::string_view bytes,
                                                  const std::string& method);

/// Serializes the head with the fields that describe `body`.
std::string write_head(Poco::Net::HTTPRequest message, body_framing body);
std::string write_head(Poco::Net::HTTPResponse message, body_framing body);

} // namespace guavastair::request

#endif
