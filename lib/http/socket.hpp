/// Non-blocking TCP sockets and the reading and writing that the server and
/// the client share.

#ifndef GUAVASTAIR_LIB_HTTP_SOCKET_HPP
#define GUAVASTAIR_LIB_HTTP_SOCKET_HPP

#include <guavastair/support.hpp>

#include <netinet/in.h>

#include <string>
#include <utility>

namespace guavastair::http {

/// Owns one descriptor.
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

/// A non-blocking TCP socket with small delays, or a closed descriptor.
descriptor open_tcp();

enum class io_result : std::uint8_t { ok, blocked, closed, failed };

/// Appends what can be read now to `into`.
io_result read_available(int from, std::string& into);

/// Writes from the front of `pending` what fits and erases it.
io_result write_pending(int to, std::string& pending);

} // namespace guavastair::http

#endif
