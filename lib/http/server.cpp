#include "message_parser.hpp"
#include "socket.hpp"

#include <guavastair/http.hpp>

#include <absl/strings/str_cat.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <unordered_map>

namespace guavastair::http {

/// Backlog of connections to accept. Exceeds the number of clients of one
/// process.
static constexpr int listen_backlog = 64;

/// Maximum number of concurrent connections; further ones are closed.
static constexpr std::size_t max_connections = 256;

/// A connection is closed after it has had no request for this long.
static constexpr support::duration idle_timeout = support::seconds(30);

namespace {

struct connection {
    descriptor socket;
    message_parser parser{message_parser::side::request};
    std::string received;
    std::string to_send;
    bool close_when_sent = false;
    support::instant last_used;
};

std::string encode(const response& answer, bool keep_alive) {
    return absl::StrCat(
        "HTTP/1.1 ", answer.status, " ", answer.status == 200 ? "OK" : "Status",
        "\r\nContent-Type: ", answer.content_type,
        "\r\nContent-Length: ", answer.body.size(),
        keep_alive ? "" : "\r\nConnection: close", "\r\n\r\n", answer.body);
}

} // namespace

class server::implementation {
public:
    implementation(net::event_loop& target_loop, handler call)
        : loop(target_loop), answer(std::move(call)) {}

    ~implementation() {
        this->loop.cancel(this->sweep_timer);
        for (const auto& [fd, session] : this->connections) {
            this->loop.unwatch(fd);
        }
        if (this->listener.is_open()) {
            this->loop.unwatch(this->listener.get());
        }
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    absl::Status listen(support::endpoint at) {
        this->listener = open_tcp();
        const int enabled = 1;
        setsockopt(this->listener.get(), SOL_SOCKET, SO_REUSEADDR, &enabled,
                   sizeof enabled);
        const sockaddr_in address = net::to_sockaddr(at);
        const auto* raw = reinterpret_cast<const sockaddr*>(&address);
        if (bind(this->listener.get(), raw, sizeof address) != 0 ||
            ::listen(this->listener.get(), listen_backlog) != 0) {
            const auto kind = errno == EADDRINUSE
                                  ? support::error_kind::address_in_use
                                  : support::error_kind::invalid_input;
            return support::make_error(
                kind, absl::StrCat("cannot listen on ", support::to_string(at),
                                   ": ", std::strerror(errno)));
        }
        this->sweep_timer =
            this->loop.call_every(idle_timeout, [this] { this->close_idle(); });
        return this->loop.watch(this->listener.get(), {.readable = true},
                                [this](net::readiness) { this->accept_all(); });
    }

private:
    void accept_all() {
        while (true) {
            const int fd = accept4(this->listener.get(), nullptr, nullptr,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            descriptor socket(fd);
            if (this->connections.size() >= max_connections) {
                continue;
            }
            const absl::Status watched = this->loop.watch(
                fd, {.readable = true}, [this, fd](net::readiness ready) {
                    this->on_ready(fd, ready);
                });
            if (!watched.ok()) {
                continue;
            }
            connection& added = this->connections[fd];
            added.socket = std::move(socket);
            added.last_used = this->loop.now();
        }
    }

    void on_ready(int fd, net::readiness ready) {
        const auto entry = this->connections.find(fd);
        if (entry == this->connections.end()) {
            return;
        }
        connection& session = entry->second;
        if (ready.readable || ready.failed) {
            const io_result result = read_available(fd, session.received);
            if (result == io_result::closed || result == io_result::failed) {
                this->close(fd);
                return;
            }
            if (!this->answer_requests(session)) {
                this->close(fd);
                return;
            }
        }
        this->send_pending(fd, session);
    }

    /// Answers the complete requests received. Returns false if the peer sent
    /// an invalid request.
    bool answer_requests(connection& session) {
        while (!session.received.empty() && !session.close_when_sent) {
            std::size_t consumed = 0;
            const auto state = session.parser.feed(session.received, consumed);
            session.received.erase(0, consumed);
            if (state == message_parser::state::malformed) {
                return false;
            }
            if (state == message_parser::state::incomplete) {
                return true;
            }
            session.last_used = this->loop.now();
            const bool keep_alive = session.parser.should_keep_alive();
            const request incoming{session.parser.method(),
                                   session.parser.target(),
                                   session.parser.release_body()};
            session.to_send += encode(this->answer(incoming), keep_alive);
            session.close_when_sent = !keep_alive;
            session.parser.restart();
        }
        return true;
    }

    void send_pending(int fd, connection& session) {
        const io_result result = write_pending(fd, session.to_send);
        const bool finished =
            session.to_send.empty() && session.close_when_sent;
        if (result == io_result::failed || finished) {
            this->close(fd);
            return;
        }
        this->loop.set_interest(
            fd, {.readable = true, .writable = !session.to_send.empty()});
    }

    void close(int fd) {
        this->loop.unwatch(fd);
        this->connections.erase(fd);
    }

    void close_idle() {
        const support::instant limit = this->loop.now() - idle_timeout;
        for (auto session = this->connections.begin();
             session != this->connections.end();) {
            const int fd = session->first;
            const bool idle = session->second.last_used < limit;
            ++session;
            if (idle) {
                this->close(fd);
            }
        }
    }

    net::event_loop& loop;
    handler answer;
    descriptor listener;
    net::timer_id sweep_timer;
    std::unordered_map<int, connection> connections;
};

server::server(net::event_loop& loop, handler answer)
    : self(std::make_unique<implementation>(loop, std::move(answer))) {}

server::~server() = default;

absl::Status server::listen(support::endpoint at) {
    return this->self->listen(at);
}

} // namespace guavastair::http
