#ifndef GUAVASTAIR_LIB_AGENT_SERVER_LINK_HPP
#define GUAVASTAIR_LIB_AGENT_SERVER_LINK_HPP

#include <guavastair/net.hpp>
#include <guavastair/support.hpp>

#include <cstddef>
#include <functional>
#include <span>

namespace guavastair::agent {

/// Result of a read from the server.
struct server_read {
    enum class state : std::uint8_t { bytes, would_block, end, lost };

    state result = state::would_block;
    std::size_t size = 0;
};

/// Result of a write to the server.
struct server_write {
    std::size_t size = 0;
    /// The write failed, usually because the server reset the connection.
    bool lost = false;
};

/// One non-blocking TCP connection from the agent to its backend server.
class server_link {
public:
    /// Receives the events of a link. Called from the event loop only.
    class listener {
    public:
        virtual ~listener() = default;
        virtual void on_server_connected() = 0;
        /// The connection failed or was not open within the time limit.
        virtual void on_server_unreachable() = 0;
        /// Data, the end of the stream or an error can be read.
        virtual void on_server_readable() = 0;
        /// The link can be written again after a short write.
        virtual void on_server_writable() = 0;
    };

    server_link(net::event_loop& events, listener& link_listener);
    /// Closes the connection without a reset.
    ~server_link();
    server_link(const server_link&) = delete;
    server_link& operator=(const server_link&) = delete;

    /// Starts connecting. on_server_connected or on_server_unreachable is
    /// called later, never from within this function.
    void connect(support::endpoint server, support::duration timeout);

    /// Closes the connection, with a reset if `cancel`. No further events are
    /// reported. The link may connect again.
    void close(bool cancel);

    bool is_open() const;

    server_read read(std::span<std::byte> into);
    server_write write(std::span<const std::byte> bytes);
    void shutdown_write();

    /// Enables or disables on_server_readable. It is disabled initially.
    /// on_server_writable is enabled by a short write.
    void want_readable(bool wanted);

private:
    void on_ready(net::readiness ready);
    void finish_connect();
    void fail_connect();
    void apply_interest();

    net::event_loop& loop;
    listener& event_listener;
    int descriptor = -1;
    bool is_connecting = false;
    bool is_watched = false;
    /// Whether the system reported a hang-up. It is reported continuously, so a
    /// link with a hang-up is not watched while no event is wanted.
    bool has_hung_up = false;
    bool readable_wanted = false;
    bool writable_wanted = false;
    net::timer_id connect_timer;
};

} // namespace guavastair::agent

#endif
