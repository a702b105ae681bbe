#include "server_link.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <cerrno>
#include <utility>

namespace guavastair::agent {

static void set_option(int descriptor, int level, int option, int value) {
    setsockopt(descriptor, level, option, &value, sizeof value);
}

server_link::server_link(net::event_loop& events, listener& link_listener)
    : loop(events), event_listener(link_listener) {}

server_link::~server_link() {
    this->close(false);
}

void server_link::connect(support::endpoint server, support::duration timeout) {
    assert(!this->is_open() && "a link has at most one connection");
    this->is_connecting = true;
    this->connect_timer =
        this->loop.call_after(timeout, [this] { this->fail_connect(); });
    this->descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    address.sin_addr.s_addr = htonl(server.address.value);
    bool has_started = this->descriptor >= 0;
    if (has_started) {
        set_option(this->descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
        set_option(this->descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
        const int result =
            ::connect(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                      sizeof address);
        has_started = result == 0 || errno == EINPROGRESS;
    }
    if (!has_started) {
        this->loop.cancel(this->connect_timer);
        this->connect_timer =
            this->loop.call_after({}, [this] { this->fail_connect(); });
        return;
    }
    this->writable_wanted = true;
    this->apply_interest();
}

void server_link::close(bool cancel) {
    this->loop.cancel(this->connect_timer);
    this->is_connecting = false;
    this->readable_wanted = false;
    this->writable_wanted = false;
    this->has_hung_up = false;
    if (this->descriptor < 0) {
        return;
    }
    if (this->is_watched) {
        this->loop.unwatch(this->descriptor);
        this->is_watched = false;
    }
    if (cancel) {
        const linger reset{.l_onoff = 1, .l_linger = 0};
        setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &reset,
                   sizeof reset);
    }
    ::close(std::exchange(this->descriptor, -1));
}

bool server_link::is_open() const {
    return this->is_connecting || this->descriptor >= 0;
}

void server_link::on_ready(net::readiness ready) {
    if (this->is_connecting) {
        this->finish_connect();
        return;
    }
    if (ready.failed) {
        this->has_hung_up = true;
        this->apply_interest();
    }
    const int previous_descriptor = this->descriptor;
    if (this->writable_wanted && (ready.writable || ready.failed)) {
        this->writable_wanted = false;
        this->apply_interest();
        this->event_listener.on_server_writable();
    }
    const bool still_open = this->descriptor == previous_descriptor;
    if (still_open && this->readable_wanted &&
        (ready.readable || ready.failed)) {
        this->event_listener.on_server_readable();
    }
}

void server_link::finish_connect() {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        this->fail_connect();
        return;
    }
    this->loop.cancel(this->connect_timer);
    this->is_connecting = false;
    this->writable_wanted = false;
    this->apply_interest();
    this->event_listener.on_server_connected();
}

void server_link::fail_connect() {
    this->close(true);
    this->event_listener.on_server_unreachable();
}

server_read server_link::read(std::span<std::byte> into) {
    const ssize_t size = recv(this->descriptor, into.data(), into.size(), 0);
    if (size > 0) {
        return {server_read::state::bytes, static_cast<std::size_t>(size)};
    }
    if (size == 0) {
        return {server_read::state::end, 0};
    }
    const bool is_transient =
        errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return {is_transient ? server_read::state::would_block
                         : server_read::state::lost,
            0};
}

server_write server_link::write(std::span<const std::byte> bytes) {
    const ssize_t size =
        send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    const bool is_transient =
        size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    if (size < 0 && !is_transient) {
        return {0, true};
    }
    const std::size_t accepted_size =
        is_transient ? 0 : static_cast<std::size_t>(size);
    if (accepted_size < bytes.size()) {
        this->writable_wanted = true;
        this->apply_interest();
    }
    return {accepted_size, false};
}

void server_link::shutdown_write() {
    shutdown(this->descriptor, SHUT_WR);
}

void server_link::want_readable(bool wanted) {
    if (this->readable_wanted == wanted) {
        return;
    }
    this->readable_wanted = wanted;
    this->apply_interest();
}

void server_link::apply_interest() {
    const bool wants_any = this->readable_wanted || this->writable_wanted;
    const bool should_watch = wants_any || !this->has_hung_up;
    const net::readiness interest{.readable = this->readable_wanted,
                                  .writable = this->writable_wanted};
    if (!should_watch) {
        if (std::exchange(this->is_watched, false)) {
            this->loop.unwatch(this->descriptor);
        }
        return;
    }
    if (this->is_watched) {
        this->loop.set_interest(this->descriptor, interest);
        return;
    }
    const absl::Status status =
        this->loop.watch(this->descriptor, interest,
                         [this](net::readiness r) { this->on_ready(r); });
    this->is_watched = status.ok();
}

} // namespace guavastair::agent
