/// The parts that balancers and agents share: settings, event loop, log,
/// signals, UDP sockets, messages between peers, and the detection of pauses of
/// the process.

#ifndef GUAVASTAIR_LIB_RELAY_PROCESS_CONTEXT_HPP
#define GUAVASTAIR_LIB_RELAY_PROCESS_CONTEXT_HPP

#include "settings.hpp"
#include "store_client.hpp"

#include <guavastair/line_log.hpp>
#include <guavastair/net.hpp>
#include <guavastair/peer.hpp>
#include <guavastair/relay.hpp>

#include <functional>
#include <memory>
#include <string>

namespace guavastair::relay {

/// Socket options for callers' and servers' packets, bound to `local`.
net::udp_options packet_socket_options(support::endpoint local);

/// The clock, loop, log and settings of one process.
class process_context {
public:
    process_context(platform::settings initial_settings,
                    const run_options& options);
    ~process_context();
    process_context(const process_context&) = delete;
    process_context& operator=(const process_context&) = delete;

    support::instant now() const {
        return this->loop.now();
    }

    /// Writes a log line. `event` is the event that `content` begins with.
    void log(logging::level severity, absl::string_view event,
             const logging::line& content);

    /// Calls `on_stop` on SIGTERM or SIGINT. Reloads the settings file on
    /// SIGHUP and whenever the file changes. Fails with error_kind::internal
    /// if the signal pipe cannot be created.
    absl::Status handle_signals(std::function<void()> on_stop);

    /// Calls `callback` with the length of the pause after the process has not
    /// run, or its VM was suspended, for at least one second.
    void watch_for_pauses(std::function<void(support::duration)> callback);

    std::uint64_t lines_written() const;
    std::uint64_t lines_dropped() const;

    /// The endpoint on the packet fabric that receives packets for the caller
    /// of `key`.
    support::endpoint caller_address(const flow::flow_key& key) const;

    /// Returns a random number for choices that must differ between processes.
    std::uint64_t random();

    platform::settings settings;
    ablation::mechanisms enabled;
    support::steady_clock clock;
    net::event_loop loop;
    platform::call_counts store_calls;

private:
    void check_for_pause();
    void check_settings_file();
    void reload(absl::string_view cause);

    line_log::writer writer;
    int signal_pipe = -1;
    std::function<void(support::duration)> on_pause;
    support::instant last_pause_check;
    std::int64_t last_suspended_ms = 0;
    /// Last modification time of the settings file when it was last read, in
    /// ns since the Unix epoch.
    std::int64_t settings_mtime_ns = 0;
};

/// A UDP socket on the process's event loop. Queued datagrams are sent at the
/// end of each round of the loop.
class udp_channel {
public:
    using receive_callback = std::function<void(const net::datagram&)>;

    explicit udp_channel(process_context& context);

    /// Opens the socket. `callback` receives every datagram.
    absl::Status open(const net::udp_options& options,
                      receive_callback callback);

    /// Returns the socket. open() must have succeeded.
    net::udp_socket& socket();

private:
    void receive();

    process_context& context;
    receive_callback on_datagram;
    std::unique_ptr<net::udp_socket> bound_socket;
};

/// Sends and receives messages between processes of the system.
class peer_link {
public:
    using receive_callback =
        std::function<void(support::endpoint from, const peer::message&)>;

    explicit peer_link(process_context& context);

    /// Opens the socket. `callback` receives every message that can be decoded.
    absl::Status open(receive_callback callback);

    /// Queues a message, which is sent at the end of the loop's round.
    void send(support::endpoint to, const peer::message& body);

    /// Number of received messages that could not be decoded.
    std::uint64_t malformed_messages() const;

private:
    void receive(const net::datagram& received);

    process_context& context;
    receive_callback on_message;
    udp_channel channel;
    std::uint64_t malformed_count = 0;
};

} // namespace guavastair::relay

#endif
