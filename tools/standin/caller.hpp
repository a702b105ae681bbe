/// A stand-in for callers. It runs TCP in user space through the fabric and
/// sends HTTP requests, including feeds, whose responses are checked byte for
/// byte.

#ifndef GUAVASTAIR_TOOLS_STANDIN_CALLER_HPP
#define GUAVASTAIR_TOOLS_STANDIN_CALLER_HPP

#include <guavastair/net.hpp>
#include <guavastair/support.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace guavastair::standin {

/// What callers request.
enum class caller_mode : std::uint8_t {
    /// GET generated content.
    content,
    /// POST an order with a unique id.
    order,
    /// GET a feed of numbered lines, one feed per connection.
    feed,
};

std::optional<caller_mode> parse_caller_mode(absl::string_view text);

struct caller_options {
    /// UDP address on which the fabric receives callers' packets.
    support::endpoint fabric;
    /// Source address inside the packets. Callers that run at the same time
    /// need different addresses.
    support::ipv4_address address;
    support::endpoint service;
    caller_mode mode = caller_mode::content;
    std::size_t connections = 1;
    /// Connections opened per second at the start.
    std::size_t opened_per_second = 1000;
    /// Number of requests after which a connection is closed and reopened; 0
    /// for no limit.
    std::size_t requests_per_connection = 10;
    /// Number of requests after which the run ends; 0 for no limit.
    std::uint64_t max_requests = 0;
    support::duration duration = support::seconds(10);
    /// Pause between a response and the next request.
    support::duration pause;
    /// Bytes of content per request.
    std::uint64_t content_size = 10'000;
    /// Bytes in the body of an order.
    std::uint64_t upload_size = 0;
    std::uint64_t feed_lines = 100;
    support::duration feed_interval = support::milliseconds(100);
    /// A request without a response for this long counts as lost.
    support::duration timeout = support::seconds(30);
    /// A response after more than this counts as late.
    support::duration late_after = support::seconds(2);
    /// First local port. A restarted caller needs a different range.
    std::uint16_t first_port = 10'000;
};

struct caller_summary {
    std::uint64_t flows_opened = 0;
    /// Flows that could not be established.
    std::uint64_t flows_refused = 0;
    /// Flows that were reset, ended or timed out while a request was in flight.
    std::uint64_t flows_broken = 0;
    /// Flows that ended between two requests.
    std::uint64_t flows_ended_idle = 0;
    std::uint64_t requests = 0;
    std::uint64_t done = 0;
    /// Requests rejected without being run (status 429 or 503).
    std::uint64_t refused = 0;
    /// Requests with an unknown outcome (status 502 or 504).
    std::uint64_t unknown = 0;
    /// Requests with any other status.
    std::uint64_t failed = 0;
    std::uint64_t late = 0;
    /// Requests without a response.
    std::uint64_t lost = 0;
    /// Response bytes that differ from the expected body. A body that is too
    /// short adds one.
    std::uint64_t wrong_bytes = 0;
    std::uint64_t bytes = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    /// Longest gap between two arrivals of feed data.
    double longest_gap_ms = 0;
};

std::string to_json(const caller_summary& summary);

/// Callers on an event loop.
class caller {
public:
    /// Starts immediately. `done` is called once, after the run has ended and
    /// every connection is finished.
    static absl::StatusOr<std::unique_ptr<caller>>
    open(net::event_loop& loop, const caller_options& options,
         std::function<void()> done);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// Sends no new requests. Requests in flight are completed.
    void stop();

    caller_summary summary() const;

    /// Whether the peers have acknowledged the end of all flows.
    bool is_fully_closed() const;

    /// Number of established connections.
    std::size_t open_flows() const;

private:
    struct implementation;
    explicit caller(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::standin

#endif
