#include "socket.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace guavastair::http {

/// Bytes read in one system call.
static constexpr std::size_t read_size = std::size_t{16} * 1024;

descriptor::descriptor(int opened) : value(opened) {}

descriptor::~descriptor() {
    this->reset();
}

descriptor::descriptor(descriptor&& other) noexcept
    : value(std::exchange(other.value, -1)) {}

descriptor& descriptor::operator=(descriptor&& other) noexcept {
    if (this != &other) {
        this->reset();
        this->value = std::exchange(other.value, -1);
    }
    return *this;
}

void descriptor::reset() {
    if (this->value >= 0) {
        close(this->value);
        this->value = -1;
    }
}

descriptor open_tcp() {
    descriptor opened(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (opened.is_open()) {
        const int enabled = 1;
        setsockopt(opened.get(), IPPROTO_TCP, TCP_NODELAY, &enabled,
                   sizeof enabled);
    }
    return opened;
}

io_result read_available(int from, std::string& into) {
    std::array<char, read_size> buffer;
    while (true) {
        const ssize_t size = recv(from, buffer.data(), buffer.size(), 0);
        if (size > 0) {
            into.append(buffer.data(), static_cast<std::size_t>(size));
            if (static_cast<std::size_t>(size) < buffer.size()) {
                return io_result::ok;
            }
            continue;
        }
        if (size == 0) {
            return io_result::closed;
        }
        if (errno == EINTR) {
            continue;
        }
        return errno == EAGAIN || errno == EWOULDBLOCK ? io_result::blocked
                                                       : io_result::failed;
    }
}

io_result write_pending(int to, std::string& pending) {
    while (!pending.empty()) {
        const ssize_t size =
            send(to, pending.data(), pending.size(), MSG_NOSIGNAL);
        if (size >= 0) {
            pending.erase(0, static_cast<std::size_t>(size));
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        return errno == EAGAIN || errno == EWOULDBLOCK ? io_result::blocked
                                                       : io_result::failed;
    }
    return io_result::ok;
}

} // namespace guavastair::http
