/// Sockets and timers of the shells: UDP in batches, an event loop, and TCP in
/// user space.
///
/// Everything here belongs to the thread that runs the event loop, except
/// event_loop::post and event_loop::stop.

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

/// `address` as the system calls take it.
sockaddr_in to_sockaddr(support::endpoint address);

// ---------------------------------------------------------- event loop

/// What a descriptor is watched for, or ready for.
struct readiness {
    bool readable = false;
    bool writable = false;
    /// Error or hang-up. Always watched for.
    bool failed = false;
};

/// Identifies a timer of one event loop. Never used twice.
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

    /// `clock` tells when timers are due and must outlive the loop.
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

    /// Stops watching; no further call is made for `descriptor`. Call before
    /// the descriptor is closed.
    void unwatch(int descriptor);

    /// Calls `call` once, `delay` from now or soon after.
    timer_id call_after(support::duration delay, callback call);

    /// Calls `call` every `period`, first after one period. A late round
    /// makes one call, not several.
    timer_id call_every(support::duration period, callback call);

    /// Forgets a timer; an unknown one is ignored.
    void cancel(timer_id timer);

    /// Calls `call` at the end of every round, before the loop waits: the
    /// place to send what a round has queued. Stays for the loop's life or
    /// until cancel().
    timer_id call_each_round(callback call);

    /// Hands `call` to the loop's thread and wakes it. From any thread.
    void post(callback call);

    /// Runs until stop().
    void run();

    /// Waits at most `longest_wait` for something to do and does it once.
    /// For tests and for loops driven from outside.
    void run_once(support::duration longest_wait);

    /// Makes run() return after the present round. From any thread and from
    /// signal handlers. A stop before run() makes run() return at once.
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

/// How a udp_socket is opened.
struct udp_options {
    /// Address to bind. Port 0 lets the system choose.
    support::endpoint local;
    /// Datagrams in one system call.
    std::size_t batch = 64;
    /// Kernel buffers asked for in each direction, in bytes; the system may
    /// grant less.
    int kernel_buffer_size = 4 * 1024 * 1024;
};

/// What a udp_socket has done since it was opened.
struct udp_counters {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    /// Larger than max_datagram_size.
    std::uint64_t truncated = 0;
    /// Given up because the kernel's buffer was full.
    std::uint64_t send_overflow = 0;
    /// Refused by the system for another reason.
    std::uint64_t send_failed = 0;
    /// System calls that received or sent something.
    std::uint64_t receive_calls = 0;
    std::uint64_t send_calls = 0;
};

/// A non-blocking UDP socket that receives and sends in batches
/// (recvmmsg, sendmmsg) out of buffers allocated when it is opened.
class udp_socket {
public:
    /// Fails with error_kind::address_in_use if the address is taken and with
    /// error_kind::invalid_input if it is not one of this machine's; both name
    /// the address.
    static absl::StatusOr<udp_socket> open(const udp_options& options);

    udp_socket(udp_socket&&) noexcept;
    udp_socket& operator=(udp_socket&&) noexcept;
    ~udp_socket();

    int descriptor() const;

    /// The bound address, with the port that the system chose.
    support::endpoint local() const;

    /// The next batch; empty when nothing waits. Flushes first, because
    /// queued payloads may point into the buffers of the last batch.
    std::span<const datagram> receive();

    /// Queues `head` followed by `payload` as one datagram. `head` is copied
    /// and may have up to max_head_size bytes. `payload` is not copied and
    /// must stay valid until flush() or the next receive().
    void queue(support::endpoint to, std::span<const std::byte> head,
               std::span<const std::byte> payload);

    /// Queues a copy of `bytes`, at most max_datagram_size.
    void queue_copy(support::endpoint to, std::span<const std::byte> bytes);

    /// Sends what is queued. Datagrams that the kernel has no room for are
    /// dropped and counted: the fabric loses packets too.
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

/// What the owner of a connection hears. After on_failed no further call is
/// made, and the connection must not be used again.
class tcp_handler {
public:
    virtual ~tcp_handler() = default;

    /// An outgoing connection is established. Not called for accepted ones.
    virtual void on_connected(tcp_connection& connection);

    /// New bytes wait in peek().
    virtual void on_readable(tcp_connection& connection) = 0;

    /// The peer has acknowledged bytes, so write() takes more.
    virtual void on_writable(tcp_connection& connection) = 0;

    /// The peer will send nothing more. Called once, after the last byte was
    /// consumed.
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

    /// The first received bytes not yet consumed; empty if there are none.
    /// Unconsumed bytes close the window towards the peer.
    std::span<const std::byte> peek() const;

    /// Gives back the first `count` bytes of peek() and opens the window.
    void consume(std::size_t count);

    /// Copies as many of `bytes` as the send buffer has room for, and says
    /// how many. They leave at the end of the round or when a segment is full.
    std::size_t write(std::span<const std::byte> bytes);

    /// Room in the send buffer, in bytes.
    std::size_t writable_size() const;

    /// Bytes written but not yet acknowledged by the peer.
    std::size_t unacknowledged_size() const;

    /// Sends FIN after what was written. Reading goes on.
    void shutdown_write();

    /// Ends the use of the connection: no further call is made to the handler.
    /// Written bytes and FIN are still delivered; what the peer sends is
    /// dropped until it ends too, or is reset after
    /// tcp_stack_options::linger. To be called once both directions ended.
    void close();

    /// Sends a reset and forgets the connection.
    void abort();

private:
    friend class tcp_stack;
    struct implementation;
    explicit tcp_connection(std::unique_ptr<implementation> state);
    ~tcp_connection();
    std::unique_ptr<implementation> self;
};

/// How a tcp_stack behaves.
struct tcp_stack_options {
    /// The stack's only address.
    support::ipv4_address address;
    /// Largest IPv4 packet sent, in bytes. The segment size announced to
    /// peers is 40 less. With the largest frame header (120 bytes) and the
    /// outer IPv4 and UDP headers (28 bytes) a packet stays under 1500 bytes.
    std::uint16_t mtu = 1350;
    /// Silence after which an established connection is probed, and how often
    /// and how many times before it counts as dead.
    support::duration keepalive_idle = support::seconds(60);
    support::duration keepalive_interval = support::seconds(10);
    std::uint32_t keepalive_probes = 4;
    /// How long a closed connection whose bytes were all acknowledged waits
    /// for the peer to end.
    support::duration linger = support::seconds(20);
    /// How long an ended connection still answers late packets of its peer.
    support::duration time_wait = support::seconds(10);
};

/// What a tcp_stack has done since it was made.
struct tcp_stack_counters {
    std::uint64_t packets_in = 0;
    std::uint64_t packets_out = 0;
    /// Not a whole IPv4 packet to this stack's address.
    std::uint64_t bad_packets = 0;
    std::uint64_t accepted = 0;
    std::uint64_t connected = 0;
    std::uint64_t failed = 0;
};

/// TCP in user space (lwIP) for one address: whole IPv4 packets go in and come
/// out, connections are used through tcp_connection.
///
/// lwIP keeps its state process-wide and is driven here without its own
/// thread. So all stacks of a process belong to one thread, each needs an
/// address of its own, and lwIP is initialised once, with the first stack.
class tcp_stack {
public:
    /// Takes one whole IPv4 packet; the bytes are valid during the call.
    using packet_sink = std::function<void(std::span<const std::byte>)>;

    /// Says who handles an accepted connection; null refuses it with a reset.
    /// The handler must outlive the connection.
    using accept_callback = std::function<tcp_handler*(tcp_connection&)>;

    /// `loop` drives the timers, `output` takes what the stack sends. Both
    /// must outlive the stack.
    tcp_stack(event_loop& loop, const tcp_stack_options& options,
              packet_sink output);

    /// Forgets all connections without a word to peers or handlers.
    ~tcp_stack();
    tcp_stack(const tcp_stack&) = delete;
    tcp_stack& operator=(const tcp_stack&) = delete;

    /// Accepts connections to `port`. Fails with error_kind::address_in_use.
    absl::Status listen(std::uint16_t port, accept_callback accept);

    /// Opens a connection; on_connected or on_failed follows. `local_port` 0
    /// lets the stack choose.
    absl::StatusOr<tcp_connection*> connect(support::endpoint peer,
                                            tcp_handler& handler,
                                            std::uint16_t local_port = 0);

    /// Takes in one whole IPv4 packet. A malformed one is counted and dropped.
    void input(std::span<const std::byte> packet);

    /// Hears when nothing of a connection is left: it was reset, or both ends
    /// have closed and late packets are no longer answered. Called once for
    /// each accepted or connected one, also after on_failed.
    using release_callback =
        std::function<void(support::endpoint local, support::endpoint peer)>;
    void set_release_callback(release_callback on_release);

    /// Connections that handlers hold now.
    std::size_t connection_count() const;

    /// Connections that are closed but not yet released.
    std::size_t closing_count() const;

    /// Closed connections whose peer has not yet acknowledged every byte and
    /// the end. A process that ends earlier cuts their answers.
    std::size_t undelivered_count() const;

    const tcp_stack_counters& counters() const;

private:
    friend class tcp_connection;
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::net

#endif
