/// A stand-in for a backend server: HTTP with slots, service time, cold start,
/// load shedding, feeds, and endpoints that report or misreport its state.

#ifndef GUAVASTAIR_TOOLS_STANDIN_SERVER_HPP
#define GUAVASTAIR_TOOLS_STANDIN_SERVER_HPP

#include <guavastair/support.hpp>

#include <absl/strings/string_view.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace guavastair::standin {

/// The byte at `offset` of the content that servers send and callers check.
std::uint8_t content_byte(std::uint64_t offset);

/// `size` bytes of the content from `offset` on.
std::string content(std::uint64_t offset, std::size_t size);

struct server_options {
    /// TCP address to listen on. Port 0 lets the system choose.
    support::endpoint listen;
    /// Concurrent requests of a warm server.
    int slots = 5;
    /// Concurrent requests of a cold server.
    int cold_slots = 1;
    /// Time from cold to warm; 0 for a server that is always warm.
    support::duration warm_up;
    /// Duration of a request while the load is within the capacity.
    support::duration service_time = support::milliseconds(5);
    /// Requests are rejected with 503 while the number of running requests is
    /// at least this many times the current capacity.
    int shed_factor = 4;
    /// Age of the state that /health and /load report.
    support::duration report_lag;
    /// Whether /health and /load always report an idle, healthy server.
    bool misreport = false;
    /// Delay before a request body is read.
    support::duration read_delay;
    /// Maximum number of threads; each serves one connection.
    int max_connections = 2100;
};

struct server_counters {
    std::uint64_t requests = 0;
    std::uint64_t orders_run = 0;
    /// Orders whose id this server had already run.
    std::uint64_t orders_doubled = 0;
    std::uint64_t refused = 0;
    /// Requests that were accepted beyond the server's capacity.
    std::uint64_t overloaded = 0;
    /// Maximum number of concurrent requests.
    std::uint64_t most_running = 0;
    /// Requests whose caller disconnected while they ran.
    std::uint64_t cancelled = 0;
    std::uint64_t feeds = 0;
};

/// An HTTP server that runs on its own threads until destroyed.
///
/// GET /content?size=N       N bytes of the content
/// POST /order?id=X          runs X and answers "ran X"; a body must be content
/// GET /feed?lines=N&interval_ms=M   N numbered lines, then closes
/// GET /health, /load, /counters
/// POST /drain, /cold        changes the server's state
class server {
public:
    explicit server(const server_options& options);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    support::endpoint local() const;
    server_counters counters() const;

    /// Makes the server cold again.
    void turn_cold();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

/// `counters` as one JSON object.
std::string to_json(const server_counters& counters);

} // namespace guavastair::standin

#endif
