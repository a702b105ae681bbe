#include "process_context.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <random>

namespace guavastair::relay {

/// Time between two checks for a pause of the process.
static constexpr support::duration pause_check_interval =
    support::milliseconds(250);
/// Shorter pauses are ignored.
static constexpr support::duration min_pause = support::seconds(1);

/// Time between two checks for a change of the settings file.
static constexpr support::duration settings_check_interval =
    support::seconds(2);

/// Maximum number of datagrams per system call, for sockets of peer messages
/// and of packets. Bounds the memory of a socket's buffers.
static constexpr std::size_t peer_batch_size = 16;
static constexpr std::size_t packet_batch_size = 32;
/// Size of the kernel's buffer for such a socket in each direction, in bytes.
static constexpr int peer_kernel_buffer_bytes = 1 << 20;
static constexpr int packet_kernel_buffer_bytes = 4 << 20;

/// Write end of the pipe through which signal handlers wake the event loop.
static int signal_write_end = -1;

static void on_signal(int number) {
    const int saved_errno = errno;
    const auto byte = static_cast<char>(number);
    [[maybe_unused]] const auto size = write(signal_write_end, &byte, 1);
    errno = saved_errno;
}

static std::int64_t clock_ms(clockid_t clock_id) {
    constexpr std::int64_t ms_per_second = 1000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    timespec reading{};
    clock_gettime(clock_id, &reading);
    return reading.tv_sec * ms_per_second + reading.tv_nsec / ns_per_ms;
}

/// Time for which the VM has been suspended since it booted.
static std::int64_t total_suspended_ms() {
    return clock_ms(CLOCK_BOOTTIME) - clock_ms(CLOCK_MONOTONIC);
}

process_context::process_context(platform::settings initial_settings,
                                 const run_options& options)
    : settings(std::move(initial_settings)), enabled(options.enabled),
      loop(this->clock),
      writer({.node = this->settings.node,
              .lines_per_event = options.log_lines_per_event},
             STDOUT_FILENO) {
    this->loop.call_each_round([this] { this->writer.flush(); });
}

process_context::~process_context() {
    this->writer.flush();
    if (this->signal_pipe >= 0) {
        close(this->signal_pipe);
    }
}

void process_context::log(logging::level severity, absl::string_view event,
                          const logging::line& content) {
    this->writer.write(this->now(), clock_ms(CLOCK_REALTIME), severity, event,
                       content);
}

/// Last modification time of the settings file in ns since the Unix epoch, or 0
/// if it is not accessible.
static std::int64_t settings_file_mtime_ns() {
    constexpr std::int64_t ns_per_second = 1'000'000'000;
    struct stat status {};
    if (stat(platform::settings_path().c_str(), &status) != 0) {
        return 0;
    }
    return status.st_mtim.tv_sec * ns_per_second + status.st_mtim.tv_nsec;
}

void process_context::check_settings_file() {
    const std::int64_t mtime_ns = settings_file_mtime_ns();
    if (mtime_ns != this->settings_mtime_ns && mtime_ns != 0) {
        this->reload("file_changed");
    }
}

void process_context::reload(absl::string_view cause) {
    this->settings_mtime_ns = settings_file_mtime_ns();
    auto loaded = platform::load_settings(this->settings.role);
    logging::line line("reload");
    line.add("cause", cause);
    if (!loaded.ok()) {
        line.add("outcome", "refused").add("why", loaded.status().message());
        this->log(logging::level::error, "reload", line);
        return;
    }
    if (*loaded == this->settings) {
        line.add("outcome", "unchanged");
    } else if (platform::can_reload(this->settings, *loaded)) {
        this->settings = *std::move(loaded);
        line.add("outcome", "applied")
            .add("of", this->settings.service)
            .add("seeds", this->settings.seeds.size());
    } else {
        line.add("outcome", "needs_restart");
    }
    this->log(logging::level::info, "reload", line);
}

absl::Status process_context::handle_signals(std::function<void()> on_stop) {
    std::array<int, 2> pipe_ends{};
    if (pipe2(pipe_ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        return support::make_error(support::error_kind::internal,
                                   std::strerror(errno));
    }
    this->signal_pipe = pipe_ends[0];
    signal_write_end = pipe_ends[1];
    struct sigaction action {};
    action.sa_handler = on_signal;
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaction(number, &action, nullptr);
    }
    std::signal(SIGPIPE, SIG_IGN);
    this->settings_mtime_ns = settings_file_mtime_ns();
    this->loop.call_every(settings_check_interval,
                          [this] { this->check_settings_file(); });
    return this->loop.watch(
        this->signal_pipe, {.readable = true},
        [this, on_stop = std::move(on_stop)](net::readiness) {
            char number = 0;
            while (read(this->signal_pipe, &number, 1) == 1) {
                if (number == SIGHUP) {
                    this->reload("signal");
                } else {
                    on_stop();
                }
            }
        });
}

void process_context::watch_for_pauses(
    std::function<void(support::duration)> callback) {
    this->on_pause = std::move(callback);
    this->last_pause_check = this->now();
    this->last_suspended_ms = total_suspended_ms();
    this->loop.call_every(pause_check_interval,
                          [this] { this->check_for_pause(); });
}

void process_context::check_for_pause() {
    const support::instant current_time = this->now();
    const std::int64_t suspended_ms = total_suspended_ms();
    const support::duration pause =
        current_time - this->last_pause_check - pause_check_interval +
        support::duration{suspended_ms - this->last_suspended_ms};
    this->last_pause_check = current_time;
    this->last_suspended_ms = suspended_ms;
    if (pause < min_pause) {
        return;
    }
    logging::line line("resumed");
    line.add("gap_ms", pause.ms);
    this->log(logging::level::warn, "resumed", line);
    this->on_pause(pause);
}

std::uint64_t process_context::lines_written() const {
    return this->writer.written();
}

std::uint64_t process_context::lines_dropped() const {
    return this->writer.dropped_lines();
}

std::uint64_t process_context::random() {
    std::random_device device;
    constexpr int word_bits = 32;
    return (std::uint64_t{device()} << word_bits) | device();
}

net::udp_options packet_socket_options(support::endpoint local) {
    net::udp_options options;
    options.local = local;
    options.batch = packet_batch_size;
    options.kernel_buffer_size = packet_kernel_buffer_bytes;
    return options;
}

support::endpoint
process_context::caller_address(const flow::flow_key& key) const {
    return {key.caller.address, this->settings.packets.port};
}

// ---------------------------------------------------------- udp_channel

udp_channel::udp_channel(process_context& shared_context)
    : context(shared_context) {}

absl::Status udp_channel::open(const net::udp_options& options,
                               receive_callback callback) {
    this->on_datagram = std::move(callback);
    auto socket = net::udp_socket::open(options);
    if (!socket.ok()) {
        return socket.status();
    }
    this->bound_socket = std::make_unique<net::udp_socket>(*std::move(socket));
    this->context.loop.call_each_round([this] { this->bound_socket->flush(); });
    return this->context.loop.watch(
        this->bound_socket->descriptor(), {.readable = true},
        [this](net::readiness) { this->receive(); });
}

net::udp_socket& udp_channel::socket() {
    return *this->bound_socket;
}

void udp_channel::receive() {
    while (true) {
        const std::span<const net::datagram> batch =
            this->bound_socket->receive();
        if (batch.empty()) {
            return;
        }
        for (const net::datagram& each : batch) {
            this->on_datagram(each);
        }
    }
}

// ------------------------------------------------------------ peer_link

peer_link::peer_link(process_context& shared_context)
    : context(shared_context), channel(shared_context) {}

absl::Status peer_link::open(receive_callback callback) {
    this->on_message = std::move(callback);
    net::udp_options options;
    options.local = this->context.settings.peers;
    options.batch = peer_batch_size;
    options.kernel_buffer_size = peer_kernel_buffer_bytes;
    return this->channel.open(options, [this](const net::datagram& received) {
        this->receive(received);
    });
}

void peer_link::receive(const net::datagram& received) {
    alignas(8) std::array<std::byte, peer::max_message_size> aligned;
    const std::size_t size = received.payload.size();
    if (size > aligned.size()) {
        ++this->malformed_count;
        return;
    }
    std::memcpy(aligned.data(), received.payload.data(), size);
    const auto body = peer::decode(std::span(aligned).first(size));
    if (body.ok()) {
        this->on_message(received.peer, *body);
        return;
    }
    ++this->malformed_count;
    logging::line line("message_refused");
    line.add("from", received.peer).add("why", body.status().message());
    this->context.log(logging::level::warn, "message_refused", line);
}

void peer_link::send(support::endpoint to, const peer::message& body) {
    alignas(8) std::array<std::byte, peer::max_message_size> buffer;
    const std::size_t size = peer::encode(body, buffer);
    this->channel.socket().queue_copy(to, std::span(buffer).first(size));
}

std::uint64_t peer_link::malformed_messages() const {
    return this->malformed_count;
}

} // namespace guavastair::relay
