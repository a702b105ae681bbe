/// Heads of HTTP/1.1 messages: where they end, whether they are well formed,
/// and what they say about the body that follows.

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

/// How a body's end is found.
enum class framing : std::uint8_t { none, length, chunked, until_close };

struct body_framing {
    framing kind = framing::none;
    /// For framing::length, in bytes.
    std::uint64_t length = 0;
};

/// A request's head with everything that the flow has to know about it. The
/// message holds only what may be passed on to the server, without the fields
/// that describe the body or the connection.
struct request_head {
    Poco::Net::HTTPRequest message;
    body_framing body;
    bool keep_alive = false;
    bool expects_continue = false;
    bool is_http_1_0 = false;
    /// From Request-Timeout-Ms.
    std::optional<support::duration> timeout;
    /// From Idempotency-Key, on methods that are not idempotent.
    std::optional<std::string> operation;
};

/// An answer's head, likewise.
struct response_head {
    Poco::Net::HTTPResponse message;
    body_framing body;
    /// 100 to 999. POCO's own type for it ends at 511.
    int status = 0;
    /// Interim (1xx): the real answer follows.
    bool interim = false;
    bool event_stream = false;
};

/// Finds the end of heads in a growing buffer without reading a byte twice.
class head_scanner {
public:
    /// Size of the head at the front of `bytes` with its empty line; nothing
    /// while it is incomplete. `bytes` only grows between calls.
    std::optional<std::size_t> find(absl::string_view bytes);

    void reset();

private:
    std::size_t scanned = 0;
};

/// Reads a whole request head. Fails with error_kind::invalid_input.
absl::StatusOr<request_head> parse_request_head(absl::string_view bytes);

/// Reads a whole answer head to a request with `method`. Fails with
/// error_kind::request_outcome_unknown.
absl::StatusOr<response_head> parse_response_head(absl::string_view bytes,
                                                  const std::string& method);

/// The head as bytes, with the fields that describe `body`.
std::string write_head(Poco::Net::HTTPRequest message, body_framing body);
std::string write_head(Poco::Net::HTTPResponse message, body_framing body);

} // namespace guavastair::request

#endif
