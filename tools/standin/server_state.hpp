/// The simulated load, capacity and counters of the server stand-in.

#ifndef GUAVASTAIR_TOOLS_STANDIN_SERVER_STATE_HPP
#define GUAVASTAIR_TOOLS_STANDIN_SERVER_STATE_HPP

#include "server.hpp"

#include <deque>
#include <mutex>
#include <optional>
#include <unordered_set>

namespace guavastair::standin {

/// The state that /health and /load report.
struct server_report {
    bool healthy = true;
    int running = 0;
    int capacity = 1;
};

/// Load, warm-up state and counters of a stand-in server. Thread-safe.
class server_state {
public:
    explicit server_state(const server_options& initial_options);

    /// Starts a request. Returns its service time, or nullopt if the request is
    /// rejected.
    std::optional<support::duration> begin_request();
    void end();

    void count_order(const std::string& id);
    void count_cancelled();
    void count_feed();

    void drain();
    void turn_cold();
    void stop();
    bool is_stopping() const;
    support::duration read_delay() const {
        return this->options.read_delay;
    }

    server_report report() const;
    server_counters counters() const;

private:
    struct past_report {
        support::instant at;
        server_report report;
    };

    int capacity(support::instant now) const;
    void record_report(support::instant now);

    server_options options;
    support::steady_clock clock;
    mutable std::mutex lock;
    support::instant cold_since;
    bool is_draining = false;
    bool is_stopped = false;
    int running = 0;
    server_counters counts;
    std::unordered_set<std::string> orders;
    std::deque<past_report> past_reports;
};

} // namespace guavastair::standin

#endif
