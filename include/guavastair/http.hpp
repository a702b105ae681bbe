/// HTTP/1.1 on an event loop: a small server for status and control
/// endpoints, and a client that keeps one connection open.
///
/// Messages are parsed with http_parser. Bodies are held in memory as strings;
/// there is no streaming.

#ifndef GUAVASTAIR_HTTP_HPP
#define GUAVASTAIR_HTTP_HPP

#include <guavastair/net.hpp>
#include <guavastair/support.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace guavastair::http {

/// Largest accepted body in bytes. Leaves room for two store values of 1 MiB
/// in base64 with the JSON around them.
inline constexpr std::size_t max_body_size = std::size_t{4} << 20;

struct request {
    std::string method;
    /// Path and query as received, not decoded.
    std::string target;
    std::string body;
};

struct response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
};

/// Serves requests on one TCP address.
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

/// Sends one request at a time over a connection that stays open between
/// requests and is reopened after a failure.
class client {
public:
    /// The response, or error_kind::peer_unreachable with the cause.
    /// `request_sent` is set if the peer may have received the request.
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

    /// Sends `outgoing`. A GET is sent a second time if the peer has closed the
    /// connection that was kept open. `done` is called once, from the loop,
    /// unless the client is destroyed or cancel() is called first. Must not be
    /// called while a request is in flight.
    void send(const request& outgoing, support::duration timeout,
              callback done);

    /// Drops the request in flight and closes its connection.
    void cancel();

    bool busy() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

/// Checks whether a TCP address accepts connections. Sends no data.
class connect_probe {
public:
    /// `silent` means a time-out or any error other than a refusal or reset.
    enum class answer : std::uint8_t { accepted, refused, silent };
    using callback = std::function<void(answer)>;

    explicit connect_probe(net::event_loop& loop);
    ~connect_probe();
    connect_probe(const connect_probe&) = delete;
    connect_probe& operator=(const connect_probe&) = delete;

    /// Starts a probe. A probe in progress is dropped and its callback is not
    /// called.
    void start(support::endpoint at, support::duration timeout, callback done);
    bool busy() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::http

#endif
