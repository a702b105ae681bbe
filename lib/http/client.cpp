#include "message_parser.hpp"
#include "socket.hpp"

#include <guavastair/http.hpp>

#include <absl/strings/str_cat.h>
#include <sys/socket.h>

#include <cassert>
#include <cerrno>
#include <optional>

namespace guavastair::http {

class client::implementation {
public:
    implementation(net::event_loop& target_loop, support::endpoint at)
        : loop(target_loop), peer(at) {}

    ~implementation() {
        this->disconnect();
        this->loop.cancel(this->timer);
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void send(const request& outgoing, support::duration timeout,
              callback call) {
        assert(!this->done && "one request at a time");
        this->done = std::move(call);
        this->to_send = this->encode(outgoing);
        // The peer may have closed the kept connection. A GET is idempotent and
        // may then be sent a second time.
        this->retry_bytes = this->socket.is_open() && outgoing.method == "GET"
                                ? this->to_send
                                : std::string();
        this->request_sent = false;
        this->received.clear();
        this->parser.restart();
        this->timer = this->loop.call_after(
            timeout, [this] { this->fail("no response within the timeout"); });
        if (!this->socket.is_open() && !this->connect()) {
            // Reported from the loop, not from within send(), because the
            // caller may hold locks.
            this->loop.cancel(this->timer);
            this->timer =
                this->loop.call_after(support::milliseconds(0), [this] {
                    this->fail("cannot open a connection");
                });
            return;
        }
        this->flush();
    }

    void cancel() {
        this->loop.cancel(this->timer);
        this->disconnect();
        this->done = nullptr;
    }

    bool busy() const {
        return static_cast<bool>(this->done);
    }

private:
    std::string encode(const request& outgoing) const {
        const bool has_body =
            outgoing.method != "GET" && outgoing.method != "DELETE";
        std::string text = absl::StrCat(
            outgoing.method, " ", outgoing.target,
            " HTTP/1.1\r\nHost: ", support::to_string(this->peer), "\r\n");
        if (has_body) {
            absl::StrAppend(&text, "Content-Type: application/json\r\n",
                            "Content-Length: ", outgoing.body.size(), "\r\n");
        }
        absl::StrAppend(&text, "\r\n", has_body ? outgoing.body : "");
        return text;
    }

    bool connect() {
        this->socket = open_tcp();
        if (!this->socket.is_open()) {
            return false;
        }
        const sockaddr_in address = net::to_sockaddr(this->peer);
        const auto* raw = reinterpret_cast<const sockaddr*>(&address);
        const int result = ::connect(this->socket.get(), raw, sizeof address);
        this->connected = result == 0;
        if (result != 0 && errno != EINPROGRESS) {
            this->socket.reset();
            return false;
        }
        const absl::Status watched = this->loop.watch(
            this->socket.get(), {.readable = true, .writable = true},
            [this](net::readiness ready) { this->on_ready(ready); });
        if (!watched.ok()) {
            this->socket.reset();
            return false;
        }
        return true;
    }

    void disconnect() {
        if (this->socket.is_open()) {
            this->loop.unwatch(this->socket.get());
            this->socket.reset();
        }
        this->connected = false;
    }

    void on_ready(net::readiness ready) {
        if (ready.writable) {
            this->connected = true;
            this->flush();
        }
        if (this->socket.is_open() && (ready.readable || ready.failed)) {
            this->receive();
        }
    }

    void flush() {
        if (!this->connected || !this->socket.is_open()) {
            return;
        }
        const std::size_t before = this->to_send.size();
        const io_result result =
            write_pending(this->socket.get(), this->to_send);
        this->request_sent |= this->to_send.size() < before;
        if (result == io_result::failed) {
            this->on_closed();
            return;
        }
        this->loop.set_interest(
            this->socket.get(),
            {.readable = true, .writable = !this->to_send.empty()});
    }

    void receive() {
        const io_result result =
            read_available(this->socket.get(), this->received);
        if (!this->done) {
            // Between requests the peer can only close the connection.
            this->disconnect();
            return;
        }
        std::size_t consumed = 0;
        const auto state = this->parser.feed(this->received, consumed);
        this->received.erase(0, consumed);
        if (state == message_parser::state::complete) {
            this->finish();
            return;
        }
        if (state == message_parser::state::malformed) {
            this->fail(
                "the response is not valid HTTP or exceeds the size limit");
            return;
        }
        if (result == io_result::closed || result == io_result::failed) {
            this->on_closed();
        }
    }

    void on_closed() {
        if (this->retry_bytes.empty()) {
            this->fail("the connection was closed or refused");
            return;
        }
        this->to_send = std::exchange(this->retry_bytes, {});
        this->disconnect();
        this->parser.restart();
        if (!this->connect()) {
            this->fail("cannot open a connection");
            return;
        }
        this->flush();
    }

    void finish() {
        this->loop.cancel(this->timer);
        response answer;
        answer.status = this->parser.status();
        answer.body = this->parser.release_body();
        if (!this->parser.should_keep_alive()) {
            this->disconnect();
        }
        const callback call = std::exchange(this->done, nullptr);
        call({std::move(answer), true});
    }

    void fail(absl::string_view why) {
        this->loop.cancel(this->timer);
        this->disconnect();
        if (!this->done) {
            return;
        }
        const callback call = std::exchange(this->done, nullptr);
        call({support::make_error(
                  support::error_kind::peer_unreachable,
                  absl::StrCat(support::to_string(this->peer), ": ", why)),
              this->request_sent});
    }

    net::event_loop& loop;
    support::endpoint peer;
    descriptor socket;
    bool connected = false;
    bool request_sent = false;
    std::string to_send;
    std::string received;
    std::string retry_bytes;
    message_parser parser{message_parser::side::response};
    net::timer_id timer;
    callback done;
};

client::client(net::event_loop& loop, support::endpoint peer)
    : self(std::make_unique<implementation>(loop, peer)) {}

client::~client() = default;

void client::send(const request& outgoing, support::duration timeout,
                  callback done) {
    this->self->send(outgoing, timeout, std::move(done));
}

void client::cancel() {
    this->self->cancel();
}

bool client::busy() const {
    return this->self->busy();
}

// ------------------------------------------------------- connect_probe

class connect_probe::implementation {
public:
    explicit implementation(net::event_loop& target_loop) : loop(target_loop) {}

    ~implementation() {
        this->stop();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void start(support::endpoint at, support::duration timeout, callback call) {
        this->stop();
        this->done = std::move(call);
        this->socket = open_tcp();
        const sockaddr_in address = net::to_sockaddr(at);
        const auto* raw = reinterpret_cast<const sockaddr*>(&address);
        const int result = ::connect(this->socket.get(), raw, sizeof address);
        if (result != 0 && errno != EINPROGRESS) {
            const answer probe_answer =
                errno == ECONNREFUSED ? answer::refused : answer::silent;
            this->timer = this->loop.call_after(
                support::milliseconds(0),
                [this, probe_answer] { this->finish(probe_answer); });
            return;
        }
        const absl::Status watched = this->loop.watch(
            this->socket.get(), {.writable = true},
            [this](net::readiness) { this->finish(this->read_result()); });
        if (!watched.ok()) {
            timeout = support::milliseconds(0);
        }
        this->timer = this->loop.call_after(
            timeout, [this] { this->finish(answer::silent); });
    }

    bool busy() const {
        return static_cast<bool>(this->done);
    }

private:
    answer read_result() const {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(this->socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (error == 0) {
            return answer::accepted;
        }
        return error == ECONNREFUSED || error == ECONNRESET ? answer::refused
                                                            : answer::silent;
    }

    void stop() {
        this->loop.cancel(this->timer);
        if (this->socket.is_open()) {
            this->loop.unwatch(this->socket.get());
            this->socket.reset();
        }
        this->done = nullptr;
    }

    void finish(answer probe_answer) {
        const callback call = std::exchange(this->done, nullptr);
        this->stop();
        if (call) {
            call(probe_answer);
        }
    }

    net::event_loop& loop;
    descriptor socket;
    net::timer_id timer;
    callback done;
};

connect_probe::connect_probe(net::event_loop& loop)
    : self(std::make_unique<implementation>(loop)) {}

connect_probe::~connect_probe() = default;

void connect_probe::start(support::endpoint at, support::duration timeout,
                          callback done) {
    this->self->start(at, timeout, std::move(done));
}

bool connect_probe::busy() const {
    return this->self->busy();
}

} // namespace guavastair::http
