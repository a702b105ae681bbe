/// HTTP/1.1 request processing for one flow of an agent. The input is bytes and
/// events; the output is a list of actions.
///
/// Requests are processed in order, one at a time. Each admitted request uses a
/// server connection of its own, is sent to the server at most once and is
/// never retried. The engine does no I/O and reads no clock: its owner executes
/// the actions in order and reports the resulting events.

#ifndef GUAVASTAIR_REQUEST_HPP
#define GUAVASTAIR_REQUEST_HPP

#include <guavastair/admission.hpp>
#include <guavastair/support.hpp>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavastair::request {

/// Header field with the request timeout in milliseconds. Callers send how long
/// they wait; the server receives the remaining time.
inline constexpr absl::string_view request_timeout_field = "Request-Timeout-Ms";

/// Header field that identifies an operation, so that repeated requests do not
/// run it again.
inline constexpr absl::string_view idempotency_key_field = "Idempotency-Key";

/// Request settings from the service's document.
struct flow_settings {
    support::service_name service;
    /// Maximum time from the request head to the response head.
    support::duration request_timeout = support::seconds(30);
    /// Subtracted from the remaining time that is forwarded to the server.
    support::duration hop_allowance = support::milliseconds(5);
    /// Maximum time from a request's first byte to the end of its head.
    support::duration head_timeout = support::seconds(10);
    /// Maximum time without progress in a request body or in a response that
    /// is not a feed.
    support::duration progress_timeout = support::seconds(30);
    /// Maximum idle time between two requests.
    support::duration idle_timeout = support::seconds(300);
    /// Maximum time that a draining flow waits for another request. It covers
    /// a request that is in flight when draining starts, including one
    /// retransmission after a loss.
    support::duration drain_grace = support::seconds(5);
    /// A response without a length that lasts at least this long becomes a
    /// feed. A feed occupies no slot and has no time limit. A response without
    /// a length of type text/event-stream is a feed as soon as its head is
    /// sent.
    support::duration feed_after = support::seconds(5);
    /// Maximum size of a request or response head, in bytes.
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    /// Bytes of caller input that are buffered while a request is in progress.
    std::size_t max_buffered_bytes = std::size_t{64} * 1024;
    /// Maximum number of body bytes of a refused request that are read and
    /// discarded to keep the flow open.
    std::size_t max_dropped_bytes = std::size_t{64} * 1024;
};

// ---------------------------------------------------------------- actions

/// Open a connection to the server. The owner reports the result through
/// server_connected() or server_failed().
struct connect_server {};

/// Send bytes on the open server connection.
struct send_to_server {
    std::string bytes;
};

/// Close the server connection. With `cancel` it is reset, so that the server
/// aborts the work. The owner reports no further events of this connection.
struct close_server {
    bool cancel = false;
};

/// Send bytes to the caller.
struct send_to_caller {
    std::string bytes;
};

/// Close the caller's connection. With `reset` it is aborted immediately, so
/// that the caller detects that a response in progress is truncated. Otherwise
/// it is closed after all pending bytes were sent.
struct close_caller {
    bool reset = false;
};

/// Call timer() at `at`. Replaces a timer that is set already.
struct set_timer {
    support::instant at;
};

struct stop_timer {};

/// A decision about one request, for the log.
struct decision {
    admission::request_verdict verdict = admission::request_verdict::run;
    /// Reason for a refusal, or how an admitted request failed.
    std::optional<support::error_kind> error;
    std::string method;
    /// Request path without the query.
    std::string path;
    /// Status of the agent's own response to the caller; 0 if it sent none.
    int http_status = 0;
};

using action =
    std::variant<connect_server, send_to_server, close_server, send_to_caller,
                 close_caller, set_timer, stop_timer, decision>;
using actions = std::vector<action>;

// ------------------------------------------------------------------- flow

/// The request engine of one flow. `owner` identifies the flow in the wakeups
/// of the controller and must be unique among the agent's flows. The controller
/// must outlive the flow.
///
/// The flow does not call controller::flow_opened or flow_closed; the owner of
/// the caller's connection does. After every call the owner executes the
/// returned actions, then collects controller::take_wakeups() and delivers each
/// wakeup to its flow.
class flow {
public:
    flow(flow_settings settings, admission::controller& server,
         std::uint64_t owner, support::instant now);
    /// Cancels the request in progress and releases what it holds in the
    /// controller.
    ~flow();
    flow(flow&&) noexcept;
    flow& operator=(flow&&) = delete;

    /// Processes bytes from the caller. They may be split at any position.
    actions caller_bytes(support::instant now, absl::string_view bytes);

    /// The caller closed its side or is unreachable. The request in progress is
    /// cancelled. An operation with a key continues if its request was sent
    /// completely and its response is not a feed, so that a repeated request
    /// can get the stored response.
    actions caller_closed(support::instant now);

    actions server_connected(support::instant now);

    /// The connection could not be opened; the request was not sent.
    actions server_failed(support::instant now);

    /// Processes bytes from the server. They may be split at any position.
    actions server_bytes(support::instant now, absl::string_view bytes);

    /// The server closed the connection. `clean` is false if the connection was
    /// reset or lost.
    actions server_closed(support::instant now, bool clean);

    /// The flow's wait for a slot or for another request's operation ended.
    actions wait_ended(support::instant now, const admission::wakeup& wake);

    /// The timer expired.
    actions timer(support::instant now);

    /// Starts draining: the flow closes after the request in progress, or after
    /// drain_grace if it is idle. Feeds continue until they end or the owner
    /// closes them.
    actions drain(support::instant now);

    /// Whether the owner may deliver more caller bytes. While this is false,
    /// the owner must leave them unread in the connection.
    bool wants_caller_bytes() const;

    /// Whether no request is in progress and no input is buffered.
    bool idle() const;

    /// Whether the response in progress is a feed.
    bool is_feeding() const;

    /// Whether the flow has ended and may be destroyed; later calls return no
    /// actions. After caller_closed() an operation with a key keeps the flow
    /// open until the server has answered.
    bool closed() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace guavastair::request

#endif
