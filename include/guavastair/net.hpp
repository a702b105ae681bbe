/// Event loop with timers, batched UDP sockets, and TCP in user space.
///
/// Everything here must be called on the thread that runs the event loop,
/// except event_loop::post and event_loop::stop.

#ifndef GUAVASTAIR_NET_HPP
#define GUAVASTAIR_NET_HPP

#include <guavastair/support.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>

struct sockaddr_in;

namespace guavastair::net {

/// Converts `address` to the form that system calls take.
sockaddr_in to_sockaddr(support::endpoint address);

// ---------------------------------------------------------- event loop

/// Events that a descriptor is watched for, or is ready for.
struct readiness {
    bool readable = false;
    bool writable = false;
    /// Error or hang-up. Always watched for.
    bool failed = false;
};

/// Identifies a timer of one event loop. Ids are never reused.
struct timer_id {
    std::uint64_t value = 0;

    auto operator<=>(const timer_id&) const = default;
};

/// Waits for descriptors (epoll, level-triggered), timers and work posted from
/// other threads. One thread runs it.
///
/// Callbacks may call every function of the loop, also to remove the
/// descriptor or the timer that they belong to.
class event_loop {
public:
    using io_callback = std::function<void(readiness)>;
    using callback = std::function<void()>;

    /// `clock` decides when timers are due. It must outlive the loop.
    explicit event_loop(const support::clock& clock);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    support::instant now() const;

    /// Calls `call` whenever `descriptor` is ready for `interest`. Fails with
    /// error_kind::internal if the system refuses the descriptor.
    absl::Status watch(int descriptor, readiness interest, io_callback call);

    /// Replaces the interest of a watched descriptor.
    void set_interest(int descriptor, readiness interest);

    /// Stops watching `descriptor`: its callback is not called again. Must be
    /// called before the descriptor is closed.
    void unwatch(int descriptor);

    /// Calls `call` once, `delay` from now or shortly after.
    timer_id call_after(support::duration delay, callback call);

    /// Calls `call` every `period`, for the first time after one period. If
    /// the loop is late by several periods, it makes one call.
    timer_id call_every(support::duration period, callback call);

    /// Cancels a timer. An unknown id is ignored.
    void cancel(timer_id timer);

    /// Calls `call` at the end of every round of the loop, before it waits.
    /// Callers use it to send what they queued during the round. The callback
    /// stays registered until cancel() or the end of the loop.
    timer_id call_each_round(callback call);

    /// Queues `call` to run on the loop's thread and wakes the loop. May be
    /// called from any thread.
    void post(callback call);

    /// Runs until stop().
    void run();

    /// Runs one round: waits at most `longest_wait` for events, then handles
    /// them. For tests and for callers that drive the loop themselves.
    void run_once(support::duration longest_wait);

    /// Makes run() return after the current round. May be called from any
    /// thread and from signal handlers. If called before run(), run() returns
    /// immediately.
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

// ----------------------------------------------------------------- UDP

/// Largest datagram that a udp_socket receives or copies, in bytes. Larger
/// ones are dropped and counted as truncated.
inline constexpr std::size_t max_datagram_size = 2048;

/// One received datagram. `payload` is valid until the next receive().
struct datagram {
    support::endpoint peer;
    std::span<const std::byte> payload;
};

/// Settings of a udp_socket.
struct udp_options {
    /// Address to bind. With port 0 the system chooses the port.
    support::endpoint local;
    /// Largest number of datagrams in one system call.
    std::size_t batch = 64;
    /// Requested size of the kernel buffer of each direction, in bytes. The
    /// system may grant less.
    int kernel_buffer_size = 4 * 1024 * 1024;
};

/// Counters of a udp_socket since it was opened.
struct udp_counters {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    /// Datagrams dropped because they were larger than max_datagram_size.
    std::uint64_t truncated = 0;
    /// Datagrams dropped because the kernel's send buffer was full.
    std::uint64_t send_overflow = 0;
    /// Datagrams that the system rejected for another reason.
    std::uint64_t send_failed = 0;
    /// System calls that received or sent at least one datagram.
    std::uint64_t receive_calls = 0;
    std::uint64_t send_calls = 0;
};

/// A non-blocking UDP socket that receives and sends in batches
/// (recvmmsg, sendmmsg). Its buffers are allocated when it is opened.
class udp_socket {
public:
    /// Fails with error_kind::address_in_use if the address is taken and with
    /// error_kind::invalid_input if it is not local to this machine. Both
    /// messages contain the address.
    static absl::StatusOr<udp_socket> open(const udp_options& options);

    udp_socket(udp_socket&&) noexcept;
    udp_socket& operator=(udp_socket&&) noexcept;
    ~udp_socket();

    int descriptor() const;

    /// The bound address. The port is the actual one, also if the system chose
    /// it.
    support::endpoint local() const;

    /// Receives the next batch; empty if no datagram is pending. Flushes
    /// first, because queued payloads may point into the buffers of the
    /// previous batch.
    std::span<const datagram> receive();

    /// Queues `head` followed by `payload` as one datagram. `head` is copied
    /// and may have up to max_head_size bytes. `payload` is not copied and
    /// must stay valid until flush() or the next receive().
    void queue(support::endpoint to, std::span<const std::byte> head,
               std::span<const std::byte> payload);

    /// Queues a copy of `bytes`, at most max_datagram_size.
    void queue_copy(support::endpoint to, std::span<const std::byte> bytes);

    /// Sends the queued datagrams. Those that do not fit the kernel's send
    /// buffer are dropped and counted. Callers must tolerate loss anyway,
    /// because the packet fabric loses packets too.
    void flush();

    const udp_counters& counters() const;

    static constexpr std::size_t max_head_size = 256;

private:
    struct implementation;
    explicit udp_socket(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> self;
};

// ------------------------------------------------------ TCP, user space

class tcp_connection;

/// Callbacks to the owner of a connection. After on_failed no further callback
/// is made and the connection must not be used again.
class tcp_handler {
public:
    virtual ~tcp_handler() = default;

    /// An outgoing connection is established. Not called for accepted
    /// connections.
    virtual void on_connected(tcp_connection& connection);

    /// New bytes are available through peek().
    virtual void on_readable(tcp_connection& connection) = 0;

    /// The peer has acknowledged bytes, so the send buffer has room again.
    virtual void on_writable(tcp_connection& connection) = 0;

    /// The peer has closed its direction (FIN). Called once, after the last
    /// byte was consumed.
    virtual void on_end(tcp_connection& connection) = 0;

    /// The connection was reset by the peer, timed out or could not be
    /// established. `reason` carries error_kind::peer_unreachable or
    /// error_kind::cancelled (reset).
    virtual void on_failed(tcp_connection& connection,
                           const absl::Status& reason) = 0;
};

/// One TCP connection of a tcp_stack. The stack owns it; it lives until
/// close(), abort() or on_failed.
class tcp_connection {
public:
    tcp_connection(const tcp_connection&) = delete;
    tcp_connection& operator=(const tcp_connection&) = delete;

    support::endpoint local() const;
    support::endpoint peer() const;

    /// The first contiguous block of received, unconsumed bytes; empty if there
    /// are none. Unconsumed bytes shrink the window advertised to the peer.
    std::span<const std::byte> peek() const;

    /// Releases the first `count` bytes of peek() and reopens the window by as
    /// much.
    void consume(std::size_t count);

    /// Copies as many of `bytes` as fit the send buffer and returns their
    /// number. They are sent at the end of the round or when a segment is full.
    std::size_t write(std::span<const std::byte> bytes);

    /// Free space in the send buffer, in bytes.
    std::size_t writable_size() const;

    /// Bytes written but not yet acknowledged by the peer.
    std::size_t unacknowledged_size() const;

    /// Sends FIN after the bytes written so far. Reading remains possible.
    void shutdown_write();

    /// Detaches the handler, which gets no further callback, and sends FIN.
    /// Written bytes are still delivered. Bytes from the peer are discarded
    /// until it closes too; if it does not, the connection is reset after
    /// tcp_stack_options::linger. Meant to be called once both directions
    /// have ended.
    void close();

    /// Sends a reset and releases the connection.
    void abort();

private:
    friend class tcp_stack;
    struct implementation;
    explicit tcp_connection(std::unique_ptr<implementation> state);
    ~tcp_connection();
    std::unique_ptr<implementation> self;
};

/// Settings of a tcp_stack.
struct tcp_stack_options {
    /// The single address of the stack.
    support::ipv4_address address;
    /// Largest IPv4 packet sent, in bytes. The maximum segment size advertised
    /// to peers is 40 less. With the largest frame header (120 bytes) and the
    /// outer IPv4 and UDP headers (28 bytes) a packet stays under 1500 bytes.
    std::uint16_t mtu = 1350;
    /// Idle time after which an established connection is probed, the interval
    /// of the probes, and the number of unanswered probes after which the
    /// connection fails.
    support::duration keepalive_idle = support::seconds(60);
    support::duration keepalive_interval = support::seconds(10);
    std::uint32_t keepalive_probes = 4;
    /// How long a closed connection whose bytes were all acknowledged waits
    /// for the peer's FIN.
    support::duration linger = support::seconds(20);
    /// How long a connection stays in TIME_WAIT, where it still answers late
    /// packets of its peer.
    support::duration time_wait = support::seconds(10);
};

/// Counters of a tcp_stack since its construction.
struct tcp_stack_counters {
    std::uint64_t packets_in = 0;
    std::uint64_t packets_out = 0;
    /// Packets dropped by input(): malformed, fragmented, larger than
    /// max_datagram_size, not TCP, not addressed to this stack, sent from its
    /// own address, or without memory for a buffer.
    std::uint64_t bad_packets = 0;
    std::uint64_t accepted = 0;
    std::uint64_t connected = 0;
    std::uint64_t failed = 0;
};

/// TCP in user space (lwIP) for one address. Consumes and produces complete
/// IPv4 packets; connections are used through tcp_connection.
///
/// lwIP keeps its state process-wide and is driven here without its own
/// thread. So all stacks of a process belong to one thread, each needs an
/// address of its own, and lwIP is initialised once, with the first stack.
class tcp_stack {
public:
    /// Receives one complete IPv4 packet. The bytes are valid during the call.
    using packet_sink = std::function<void(std::span<const std::byte>)>;

    /// Returns the handler of an accepted connection; null rejects it with a
    /// reset. The handler must outlive the connection.
    using accept_callback = std::function<tcp_handler*(tcp_connection&)>;

    /// `loop` drives the timers. `output` receives the packets that the stack
    /// sends. Both must outlive the stack.
    tcp_stack(event_loop& loop, const tcp_stack_options& options,
              packet_sink output);

    /// Drops all connections; neither peers nor handlers are notified.
    ~tcp_stack();
    tcp_stack(const tcp_stack&) = delete;
    tcp_stack& operator=(const tcp_stack&) = delete;

    /// Accepts connections to `port`. Fails with error_kind::address_in_use.
    absl::Status listen(std::uint16_t port, accept_callback accept);

    /// Opens a connection; on_connected or on_failed follows. With
    /// `local_port` 0 the stack chooses a port. Fails with
    /// error_kind::invalid_input if `peer` has the stack's own address, and
    /// with error_kind::address_in_use if lwIP rejects the local port or the
    /// connection.
    absl::StatusOr<tcp_connection*> connect(support::endpoint peer,
                                            tcp_handler& handler,
                                            std::uint16_t local_port = 0);

    /// Processes one complete IPv4 packet. A malformed one is counted and
    /// dropped.
    void input(std::span<const std::byte> packet);

    /// Called when all state of a connection is released: it was reset, or both
    /// ends have closed and TIME_WAIT is over. Called once for each accepted or
    /// opened connection, also after on_failed.
    using release_callback =
        std::function<void(support::endpoint local, support::endpoint peer)>;
    void set_release_callback(release_callback on_release);

    /// Connections that have a handler.
    std::size_t connection_count() const;

    /// Connections that are closed but not yet released.
    std::size_t closing_count() const;

    /// Closed connections whose peer has not yet acknowledged every byte and
    /// the FIN. If the process exits earlier, their responses are truncated.
    std::size_t undelivered_count() const;

    const tcp_stack_counters& counters() const;

private:
    friend class tcp_connection;
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::net

#endif
