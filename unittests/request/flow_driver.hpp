/// Drives one flow on a manual clock: records the sent bytes and the open
/// connections, and delivers wakeups and timers.

#ifndef GUAVASTAIR_UNITTESTS_REQUEST_FLOW_DRIVER_HPP
#define GUAVASTAIR_UNITTESTS_REQUEST_FLOW_DRIVER_HPP

#include <guavastair/request.hpp>

#include <optional>
#include <string>
#include <vector>

namespace request_test {

namespace admission = guavastair::admission;
namespace request = guavastair::request;
namespace support = guavastair::support;

/// Settings of a warm server with `slots` slots.
admission::controller_settings uncontended_settings(int slots);

/// A controller that has been running for one minute.
admission::controller make_controller(const admission::controller_settings& s);

class flow_driver {
public:
    flow_driver(admission::controller& controller, std::uint64_t owner,
                request::flow_settings settings = {});

    void caller(absl::string_view bytes);
    void caller_disconnects();
    void connected();
    void connect_fails();
    void server(absl::string_view bytes);
    void server_closes(bool clean);
    void drain();
    /// Advances the clock and fires the timer if it is due.
    void advance(support::duration span);
    /// Delivers the controller's wakeups for this flow; discards all others.
    void wake();
    void wake(const admission::wakeup& wakeup);

    /// Opens the requested server connection and delivers the response `bytes`.
    void answer(absl::string_view bytes);

    /// Bytes that were sent on the latest server connection.
    const std::string& to_server() const;

    admission::controller& server_controller;
    request::flow engine;
    std::uint64_t owner;
    support::instant now;
    std::string to_caller;
    /// The sent bytes of each requested server connection.
    std::vector<std::string> connections;
    bool connecting = false;
    bool server_open = false;
    bool server_cancelled = false;
    bool caller_open = true;
    bool caller_reset = false;
    std::vector<request::decision> decisions;
    std::optional<support::instant> timer;

private:
    void run(const request::actions& actions);
    void run_one(const request::action& action);
};

} // namespace request_test

#endif
