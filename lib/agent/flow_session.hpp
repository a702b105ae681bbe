#ifndef GUAVASTAIR_LIB_AGENT_FLOW_SESSION_HPP
#define GUAVASTAIR_LIB_AGENT_FLOW_SESSION_HPP

#include "server_link.hpp"

#include <guavastair/agent.hpp>
#include <guavastair/net.hpp>

#include <cstddef>
#include <memory>
#include <span>

namespace guavastair::agent {

class flow_session;

/// What all flows of an agent share.
struct session_host {
    net::event_loop& loop;
    const agent_options& options;
    agent_observer& observer;
    admission::controller& admission;
    agent_counters& counters;
    /// Memory that a session may use until it returns to the loop.
    std::span<std::byte> scratch;
    /// Forgets `session` at the end of the round. Called once.
    std::function<void(flow_session&, flow_end)> remove_session;
    /// Passes on the wakeups that the controller has for waiting requests.
    std::function<void()> deliver_wakeups;
};

/// One established flow: the caller's connection and the way to the server.
class flow_session : public net::tcp_handler, public server_link::listener {
public:
    flow_session(session_host& shared, net::tcp_connection& connection);

    support::endpoint caller() const {
        return this->peer;
    }

    /// The agent is draining.
    virtual void drain() = 0;

    /// Resets the caller.
    void reset_for_stop();

    /// Ends a wait in the admission controller.
    virtual void wait_ended(const admission::wakeup& wake);

    void on_failed(net::tcp_connection& connection,
                   const absl::Status& reason) override;

protected:
    /// Whether the flow is over; nothing is done for it any more.
    bool is_over() const {
        return this->connection == nullptr;
    }

    /// Closes the caller's connection in order and forgets the flow.
    void finish();

    /// Resets the caller's connection and forgets the flow.
    void reset_caller(flow_end end);

    /// The caller is gone: gives up the work.
    virtual void abandon() = 0;

    session_host& host;
    net::tcp_connection* connection;
    server_link server;

private:
    void remove_session(flow_end end);

    support::endpoint peer;
};

std::unique_ptr<flow_session> make_tcp_session(session_host& shared,
                                               net::tcp_connection& connection);

/// `owner` names the session towards the admission controller.
std::unique_ptr<flow_session> make_http_session(session_host& shared,
                                                net::tcp_connection& connection,
                                                std::uint64_t owner);

} // namespace guavastair::agent

#endif
