/// HTTP/1.1 on an event loop: a small server for status and control
/// endpoints, and a client that keeps one connection.
///
/// Parsing is http_parser's. Bodies are whole strings; nothing is streamed.

#ifndef GUAVASTAIR_HTTP_HPP
#define GUAVASTAIR_HTTP_HPP

#include <guavastair/net.hpp>
#include <guavastair/support.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace guavastair::http {

/// Largest body that is read, in bytes: a store value of 1 MiB in base64
/// beside its JSON, twice.
inline constexpr std::size_t max_body_size = std::size_t{4} << 20;

struct request {
    std::string method;
    /// Path and query as written.
    std::string target;
    std::string body;
};

struct response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
};

/// Answers requests on one TCP address.
class server {
public:
    using handler = std::function<response(const request&)>;

    /// `loop` and what `answer` captures must outlive the server.
    server(net::event_loop& loop, handler answer);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Fails with error_kind::address_in_use or error_kind::invalid_input.
    absl::Status listen(support::endpoint at);

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

/// Sends one request at a time over a connection that is kept between
/// requests and opened anew after a failure.
class client {
public:
    /// Hears the answer, or error_kind::peer_unreachable with what is known
    /// of the cause. `request_sent` in the failure tells whether the peer may
    /// have seen the request.
    struct outcome {
        absl::StatusOr<response> result;
        bool request_sent = false;
    };
    using callback = std::function<void(outcome)>;

    /// `loop` must outlive the client.
    client(net::event_loop& loop, support::endpoint peer);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends `ask`, a GET a second time if a kept connection turns out to be
    /// closed; `done` is called once, from the loop, unless the client
    /// is destroyed or cancel() is called before. No request may be under way.
    void send(const request& ask, support::duration timeout, callback done);

    /// Drops the request under way and its connection.
    void cancel();

    bool busy() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

/// Tells whether something listens at a TCP address, without sending a byte.
class connect_probe {
public:
    enum class answer : std::uint8_t { accepted, refused, silent };
    using callback = std::function<void(answer)>;

    explicit connect_probe(net::event_loop& loop);
    ~connect_probe();
    connect_probe(const connect_probe&) = delete;
    connect_probe& operator=(const connect_probe&) = delete;

    /// Starts a probe; one that is under way is dropped without a call.
    void start(support::endpoint at, support::duration timeout, callback done);
    bool busy() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::http

#endif
