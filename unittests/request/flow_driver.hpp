/// Drives one flow on a manual clock: keeps what it sent and which connections
/// are open, and passes wakeups and timers on.

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

/// A warm, roomy server.
admission::controller_settings uncontended_settings(int slots);

/// Agents in tests have been up for a minute.
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
    /// Moves the clock and fires the timer if it is due.
    void advance(support::duration span);
    /// Collects the controller's wakeups for this flow.
    void wake();
    void wake(const admission::wakeup& wakeup);

    /// Answers the request that is waiting for a connection.
    void answer(absl::string_view bytes);

    /// What was sent on the present or latest server connection.
    const std::string& to_server() const;

    admission::controller& server_controller;
    request::flow engine;
    std::uint64_t owner;
    support::instant now;
    std::string to_caller;
    /// One string for each connection that was asked for.
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
