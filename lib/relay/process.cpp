#include "process.hpp"

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

/// How often gaps are looked for, and the shortest that counts.
static constexpr support::duration gap_check_interval =
    support::milliseconds(250);
static constexpr support::duration shortest_gap = support::seconds(1);

/// How often a change of the settings file without a signal is looked for.
static constexpr support::duration settings_check_interval =
    support::seconds(2);

/// Datagrams in one system call, between processes and of packets: bounds the
/// memory of a socket's buffers.
static constexpr std::size_t peer_batch = 16;
static constexpr std::size_t packet_batch = 32;
/// Bytes that the kernel keeps for such a socket in each direction.
static constexpr int peer_kernel_buffer = 1 << 20;
static constexpr int packet_kernel_buffer = 4 << 20;

/// The write end of the pipe that signal handlers wake the loop by.
static int signal_write_end = -1;

static void on_signal(int number) {
    const int saved = errno;
    const auto byte = static_cast<char>(number);
    [[maybe_unused]] const auto size = write(signal_write_end, &byte, 1);
    errno = saved;
}

static std::int64_t read_clock_ms(clockid_t which) {
    constexpr std::int64_t ms_per_second = 1000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    timespec time{};
    clock_gettime(which, &time);
    return time.tv_sec * ms_per_second + time.tv_nsec / ns_per_ms;
}

/// Time that the VM has slept since it started.
static std::int64_t sleep_ms() {
    return read_clock_ms(CLOCK_BOOTTIME) - read_clock_ms(CLOCK_MONOTONIC);
}

process::process(platform::settings chosen, const run_options& options)
    : settings(std::move(chosen)), enabled(options.enabled), loop(this->clock),
      writer({.node = this->settings.node,
              .lines_per_event = options.log_lines_per_event},
             STDOUT_FILENO) {
    this->loop.call_each_round([this] { this->writer.flush(); });
}

process::~process() {
    this->writer.flush();
    if (this->signal_pipe >= 0) {
        close(this->signal_pipe);
    }
}

void process::log(logging::level severity, absl::string_view event,
                  const logging::line& content) {
    this->writer.write(this->now(), read_clock_ms(CLOCK_REALTIME), severity,
                       event, content);
}

/// When the settings file was last written, or 0.
static std::int64_t settings_file_time() {
    constexpr std::int64_t ns_per_second = 1'000'000'000;
    struct stat status {};
    if (stat(platform::settings_path().c_str(), &status) != 0) {
        return 0;
    }
    return status.st_mtim.tv_sec * ns_per_second + status.st_mtim.tv_nsec;
}

void process::check_settings_file() {
    const std::int64_t written = settings_file_time();
    if (written != this->settings_written && written != 0) {
        this->reload("file_changed");
    }
}

void process::reload(absl::string_view cause) {
    this->settings_written = settings_file_time();
    auto read = platform::load_settings(this->settings.role);
    logging::line line("reload");
    line.add("cause", cause);
    if (!read.ok()) {
        line.add("outcome", "refused").add("why", read.status().message());
        this->log(logging::level::error, "reload", line);
        return;
    }
    if (*read == this->settings) {
        line.add("outcome", "unchanged");
    } else if (platform::can_reload(this->settings, *read)) {
        this->settings = *std::move(read);
        line.add("outcome", "applied")
            .add("of", this->settings.service)
            .add("seeds", this->settings.seeds.size());
    } else {
        line.add("outcome", "needs_restart");
    }
    this->log(logging::level::info, "reload", line);
}

absl::Status process::handle_signals(std::function<void()> on_stop) {
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        return support::make_error(support::error_kind::internal,
                                   std::strerror(errno));
    }
    this->signal_pipe = ends[0];
    signal_write_end = ends[1];
    struct sigaction action {};
    action.sa_handler = on_signal;
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaction(number, &action, nullptr);
    }
    std::signal(SIGPIPE, SIG_IGN);
    this->settings_written = settings_file_time();
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

void process::watch_for_gaps(std::function<void(support::duration)> call) {
    this->on_gap = std::move(call);
    this->last_check = this->now();
    this->last_sleep_ms = sleep_ms();
    this->loop.call_every(gap_check_interval,
                          [this] { this->check_for_gap(); });
}

void process::check_for_gap() {
    const support::instant present = this->now();
    const std::int64_t slept = sleep_ms();
    const support::duration gap =
        present - this->last_check - gap_check_interval +
        support::duration{slept - this->last_sleep_ms};
    this->last_check = present;
    this->last_sleep_ms = slept;
    if (gap < shortest_gap) {
        return;
    }
    logging::line line("resumed");
    line.add("gap_ms", gap.ms);
    this->log(logging::level::warn, "resumed", line);
    this->on_gap(gap);
}

std::uint64_t process::lines_written() const {
    return this->writer.written();
}

std::uint64_t process::lines_left_out() const {
    return this->writer.dropped_lines();
}

std::uint64_t process::random() {
    std::random_device source;
    constexpr int word_bits = 32;
    return (std::uint64_t{source()} << word_bits) | source();
}

net::udp_options packet_options(support::endpoint local) {
    net::udp_options options;
    options.local = local;
    options.batch = packet_batch;
    options.kernel_buffer_size = packet_kernel_buffer;
    return options;
}

support::endpoint process::caller_address(const flow::flow_key& key) const {
    return {key.caller.address, this->settings.packets.port};
}

// ------------------------------------------------------------- udp_port

udp_port::udp_port(process& chosen) : owner(chosen) {}

absl::Status udp_port::open(const net::udp_options& options, receiver call) {
    this->on_datagram = std::move(call);
    auto socket = net::udp_socket::open(options);
    if (!socket.ok()) {
        return socket.status();
    }
    this->opened = std::make_unique<net::udp_socket>(*std::move(socket));
    this->owner.loop.call_each_round([this] { this->opened->flush(); });
    return this->owner.loop.watch(this->opened->descriptor(),
                                  {.readable = true},
                                  [this](net::readiness) { this->receive(); });
}

net::udp_socket& udp_port::socket() {
    return *this->opened;
}

void udp_port::receive() {
    while (true) {
        const std::span<const net::datagram> batch = this->opened->receive();
        if (batch.empty()) {
            return;
        }
        for (const net::datagram& each : batch) {
            this->on_datagram(each);
        }
    }
}

// ------------------------------------------------------------ peer_link

peer_link::peer_link(process& chosen) : owner(chosen), port(chosen) {}

absl::Status peer_link::open(receiver call) {
    this->on_message = std::move(call);
    net::udp_options options;
    options.local = this->owner.settings.peers;
    options.batch = peer_batch;
    options.kernel_buffer_size = peer_kernel_buffer;
    return this->port.open(options, [this](const net::datagram& received) {
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
    this->owner.log(logging::level::warn, "message_refused", line);
}

void peer_link::send(support::endpoint to, const peer::message& body) {
    alignas(8) std::array<std::byte, peer::max_message_size> buffer;
    const std::size_t size = peer::encode(body, buffer);
    this->port.socket().queue_copy(to, std::span(buffer).first(size));
}

std::uint64_t peer_link::malformed() const {
    return this->malformed_count;
}

} // namespace guavastair::relay
