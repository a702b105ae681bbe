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

/// State that all flows of an agent share.
struct session_host {
    net::event_loop& loop;
    const agent_options& options;
    agent_observer& observer;
    admission::controller& admission;
    agent_counters& counters;
    /// Temporary buffer; its content is valid until control returns to the
    /// loop.
    std::span<std::byte> scratch;
    /// Destroys `session` at the end of the round. Called once per session.
    std::function<void(flow_session&, flow_end)> remove_session;
    /// Delivers the controller's wakeups to the waiting requests.
    std::function<void()> deliver_wakeups;
};

/// One established flow: the caller's connection and the link to the server.
class flow_session : public net::tcp_handler, public server_link::listener {
public:
    flow_session(session_host& shared, net::tcp_connection& connection);

    support::endpoint caller() const {
        return this->peer;
    }

    /// Called when the agent starts draining.
    virtual void drain() = 0;

    /// Resets the caller's connection when the time limit of a planned stop
    /// expires.
    void reset_for_stop();

    /// A wait in the admission controller ended.
    virtual void wait_ended(const admission::wakeup& wake);

    void on_failed(net::tcp_connection& connection,
                   const absl::Status& reason) override;

protected:
    /// Whether the flow has ended; no further work is done for it.
    bool is_over() const {
        return this->connection == nullptr;
    }

    /// Closes the caller's connection gracefully and removes the session.
    void finish();

    /// Resets the caller's connection and removes the session.
    void reset_caller(flow_end end);

    /// Cancels the work in progress because the caller's connection has ended.
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

/// `owner` identifies the session in the admission controller.
std::unique_ptr<flow_session> make_http_session(session_host& shared,
                                                net::tcp_connection& connection,
                                                std::uint64_t owner);

} // namespace guavastair::agent

#endif
