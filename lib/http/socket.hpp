/// Non-blocking TCP sockets, and reading and writing shared by the server and
/// the client.

#ifndef GUAVASTAIR_LIB_HTTP_SOCKET_HPP
#define GUAVASTAIR_LIB_HTTP_SOCKET_HPP

#include <guavastair/support.hpp>

#include <netinet/in.h>

#include <string>
#include <utility>

namespace guavastair::http {

/// Owns a file descriptor.
class descriptor {
public:
    descriptor() = default;
    explicit descriptor(int opened);
    ~descriptor();
    descriptor(descriptor&& other) noexcept;
    descriptor& operator=(descriptor&& other) noexcept;

    int get() const {
        return this->value;
    }
    bool is_open() const {
        return this->value >= 0;
    }
    void reset();

private:
    int value = -1;
};

/// Opens a non-blocking TCP socket with TCP_NODELAY. Returns a closed
/// descriptor on an error.
descriptor open_tcp();

enum class io_result : std::uint8_t { ok, blocked, closed, failed };

/// Appends the bytes that are available to `into`.
io_result read_available(int from, std::string& into);

/// Writes as much of `pending` as the socket accepts and erases the bytes
/// written.
io_result write_pending(int to, std::string& pending);

} // namespace guavastair::http

#endif
