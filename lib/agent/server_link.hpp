#ifndef GUAVASTAIR_LIB_AGENT_SERVER_LINK_HPP
#define GUAVASTAIR_LIB_AGENT_SERVER_LINK_HPP

#include <guavastair/net.hpp>
#include <guavastair/support.hpp>

#include <cstddef>
#include <functional>
#include <span>

namespace guavastair::agent {

/// What a read from the server brought.
struct server_read {
    enum class state : std::uint8_t { bytes, would_block, end, lost };

    state result = state::would_block;
    std::size_t size = 0;
};

/// What a write to the server did.
struct server_write {
    std::size_t size = 0;
    /// The server has reset the connection.
    bool lost = false;
};

/// One non-blocking TCP connection from the agent to its backend server.
class server_link {
public:
    /// Hears of a link. Calls come from the event loop only.
    class listener {
    public:
        virtual ~listener() = default;
        virtual void on_server_connected() = 0;
        /// The server could not be reached in time.
        virtual void on_server_unreachable() = 0;
        /// The link may be read.
        virtual void on_server_readable() = 0;
        /// The link may be written again.
        virtual void on_server_writable() = 0;
    };

    server_link(net::event_loop& events, listener& link_listener);
    /// Closes the connection without a reset.
    ~server_link();
    server_link(const server_link&) = delete;
    server_link& operator=(const server_link&) = delete;

    /// Begins to connect. on_server_connected or on_server_unreachable
    /// follows, never from within this call.
    void connect(support::endpoint server, support::duration timeout);

    /// Closes the connection, with a reset if `cancel`; the link may then
    /// connect again. No call follows.
    void close(bool cancel);

    bool is_open() const;

    server_read read(std::span<std::byte> into);
    server_write write(std::span<const std::byte> bytes);
    void shutdown_write();

    /// Chooses which calls are made. A link begins with both off and turns
    /// `writable` on by itself after a short write.
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
    /// The system reports a hang-up for ever, so an unread link that has one
    /// is not watched.
    bool has_hung_up = false;
    bool readable_wanted = false;
    bool writable_wanted = false;
    net::timer_id connect_timer;
};

} // namespace guavastair::agent

#endif
