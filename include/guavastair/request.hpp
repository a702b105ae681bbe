/// The HTTP/1.1 requests of one flow inside an agent: bytes and events in,
/// actions out.
///
/// Requests are answered in order, one at a time. Each request that is
/// admitted gets a server connection of its own, is offered to the server
/// once, and is never retried. No I/O, no clock: the shell carries out the
/// actions in their order and reports what happens.

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

/// Header field in which callers say how long they wait and in which the
/// server is told what is left, in milliseconds.
inline constexpr absl::string_view request_timeout_field = "Request-Timeout-Ms";

/// Header field that names an operation, so that repeats do not run again.
inline constexpr absl::string_view idempotency_key_field = "Idempotency-Key";

/// What the service's document says about its requests.
struct flow_settings {
    support::service_name service;
    /// Longest time from the request's head to the answer's head.
    support::duration request_timeout = support::seconds(30);
    /// Taken off the time left when it is passed on to the server.
    support::duration hop_allowance = support::milliseconds(5);
    /// Longest time from a request's first byte to the end of its head.
    support::duration head_timeout = support::seconds(10);
    /// Longest silence inside a request's body or an answer that is no feed.
    support::duration progress_timeout = support::seconds(30);
    /// Longest time between two requests.
    support::duration idle_timeout = support::seconds(300);
    /// Longest time that a draining flow waits for a next request: one that
    /// was on its way, even if it was lost and is sent again, gets an answer.
    support::duration drain_grace = support::seconds(5);
    /// An answer without a length that goes on for this long is a feed. A feed
    /// holds no slot and has no time limit. An answer of type
    /// text/event-stream is a feed from its head on.
    support::duration feed_after = support::seconds(5);
    /// Largest head of a request or answer, in bytes.
    std::size_t max_head_bytes = std::size_t{16} * 1024;
    /// Bytes of caller input that are buffered while a request is in progress.
    std::size_t max_buffered_bytes = std::size_t{64} * 1024;
    /// Body of a refused request that is read and dropped to keep the flow.
    std::size_t max_dropped_bytes = std::size_t{64} * 1024;
};

// ---------------------------------------------------------------- actions

/// Open a connection to the server. Answered by server_connected() or
/// server_failed().
struct connect_server {};

/// Send bytes on the open server connection.
struct send_to_server {
    std::string bytes;
};

/// Close the server connection; with `cancel` as a reset, so that the server
/// gives up the work. Nothing about this connection is to be reported any
/// more.
struct close_server {
    bool cancel = false;
};

/// Send bytes to the caller.
struct send_to_caller {
    std::string bytes;
};

/// Close the caller's connection: with `reset` at once, so that an answer in
/// progress is seen to be cut short, otherwise after everything was sent.
struct close_caller {
    bool reset = false;
};

/// Call timer() at `at`; replaces the timer set before.
struct set_timer {
    support::instant at;
};

/// Stop the timer.
struct stop_timer {};

/// One decision, for the log.
struct decision {
    admission::request_verdict verdict = admission::request_verdict::run;
    /// Why the request was not admitted, or how it failed later.
    std::optional<support::error_kind> error;
    std::string method;
    /// Without the query.
    std::string path;
    /// Status sent to the caller; 0 when none was sent.
    int http_status = 0;
};

using action =
    std::variant<connect_server, send_to_server, close_server, send_to_caller,
                 close_caller, set_timer, stop_timer, decision>;
using actions = std::vector<action>;

// ------------------------------------------------------------------- flow

/// The engine of one flow. `owner` is the number under which the controller
/// reports wakeups for this flow; it must be unique among the agent's flows.
/// The controller must outlive the flow.
///
/// The flow does not call controller::flow_opened or flow_closed; whoever owns
/// the caller's connection does. After every call the shell carries out the
/// actions, then collects controller::take_wakeups() and passes each on.
class flow {
public:
    flow(flow_settings settings, admission::controller& server,
         std::uint64_t owner, support::instant now);
    /// Gives up whatever is in progress, as caller_closed() does.
    ~flow();
    flow(flow&&) noexcept;
    flow& operator=(flow&&) = delete;

    /// Bytes from the caller, split anywhere.
    actions caller_bytes(support::instant now, absl::string_view bytes);

    /// The caller closed its side or vanished: work in progress is cancelled,
    /// but for an operation with a key, whose outcome is awaited for repeats.
    actions caller_closed(support::instant now);

    actions server_connected(support::instant now);

    /// The connection could not be opened; the request was not offered.
    actions server_failed(support::instant now);

    /// Bytes from the server, split anywhere.
    actions server_bytes(support::instant now, absl::string_view bytes);

    /// The server closed the connection; `clean` unless it was reset or lost.
    actions server_closed(support::instant now, bool clean);

    /// A wait in the controller has ended.
    actions wait_ended(support::instant now, const admission::wakeup& wake);

    /// The timer's time has come.
    actions timer(support::instant now);

    /// The server is leaving: the request in progress is finished, then the
    /// flow closes. Feeds go on until they end or the shell closes them.
    actions drain(support::instant now);

    /// Whether the shell may deliver more caller bytes; while false it leaves
    /// them unread.
    bool wants_caller_bytes() const;

    /// Whether nothing is in progress: no request, no answer.
    bool idle() const;

    /// Whether the answer in progress is a feed.
    bool is_feeding() const;

    /// Whether the flow is over and may be destroyed; every later call returns
    /// no action. After caller_closed() this may take until the server has
    /// answered.
    bool closed() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace guavastair::request

#endif
