/// What both processes consist of: event loop, log, messages with peers, the
/// operators' view, signals, and noticing that the process stood still.

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

/// Options of a socket for packets at `local`.
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

    /// Writes a log line; `event` is its first pair.
    void log(logging::level severity, absl::string_view event,
             const logging::line& content);

    /// Calls `on_stop` at SIGTERM or SIGINT. At SIGHUP, and when the file has
    /// changed without it, the settings are read again.
    absl::Status handle_signals(std::function<void()> on_stop);

    /// Calls `call` with the length of the gap when the process has stood
    /// still, or its VM slept, for longer than a second.
    void watch_for_pauses(std::function<void(support::duration)> callback);

    std::uint64_t lines_written() const;
    std::uint64_t lines_dropped() const;

    /// Where packets for the caller of `key` are sent.
    support::endpoint caller_address(const flow::flow_key& key) const;

    /// A random number for choices that must differ between processes.
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
    /// When the settings file was last written, in ns since the Unix epoch.
    std::int64_t settings_mtime_ns = 0;
};

/// A UDP socket on the process's loop. What is queued leaves at the end of the
/// round.
class udp_channel {
public:
    using receive_callback = std::function<void(const net::datagram&)>;

    explicit udp_channel(process_context& context);

    /// Opens the socket; `call` hears every datagram.
    absl::Status open(const net::udp_options& options,
                      receive_callback callback);

    /// The open socket.
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

    /// Opens the socket; `call` hears every message that can be read.
    absl::Status open(receive_callback callback);

    /// Queues a message; it leaves at the end of the round.
    void send(support::endpoint to, const peer::message& body);

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
