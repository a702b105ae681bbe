/// The administration server of a process, based on POCO's HTTP server. Errors
/// are JSON objects from the error table of support::properties_of(). Requests
/// that modify state require a bearer token or a connection from loopback.

#ifndef GUAVASTAIR_ADMIN_HPP
#define GUAVASTAIR_ADMIN_HPP

#include <guavastair/support.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace guavastair::admin {

enum class method : std::uint8_t { get, put, post, del };

absl::string_view to_string(method value);

/// The request that is passed to a handler.
struct request {
    /// The part of the path that follows the route's path, without a leading
    /// '/'.
    std::string rest_of_path;
    std::string body;
    /// The If-Match header; empty if absent.
    std::string if_match;
    /// The Edit-Id header; empty if absent.
    std::string edit_id;
};

struct response {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// Converts an error to a JSON response {"error", "outcome", "message"}, with
/// the HTTP status from support::properties_of().
response error_response(const absl::Status& status);

/// Called on one of the server's threads, concurrently with other handlers.
using handler = std::function<absl::StatusOr<response>(const request&)>;

/// Maps one path, or all paths below it, to a handler.
struct route {
    method verb = method::get;
    /// A path such as "/metrics". A trailing '/', as in "/services/", matches
    /// all paths below it.
    std::string path;
    handler serve;
};

struct options {
    /// Endpoint to listen on; port 0 selects a free port.
    support::endpoint listen;
    /// Token that PUT, POST and DELETE requests must send as "Authorization:
    /// Bearer TOKEN". If it is empty, these methods are accepted only from
    /// loopback addresses.
    std::string bearer_token;
    std::size_t max_body_bytes = 1U << 20U;
    int max_connections = 32;
    support::duration receive_timeout = support::seconds(10);
};

class server {
public:
    explicit server(options server_options);
    ~server();

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Adds a route; call before start().
    void add(route new_route);

    /// Binds the listen endpoint and starts the server threads. Fails with
    /// error_kind::address_in_use, whose message contains the address.
    absl::Status start();

    /// Stops accepting connections and waits for the requests in progress.
    void stop();

    /// The endpoint that the server listens on, after start().
    support::endpoint address() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

/// Returns whether `given` equals `expected`. The running time does not depend
/// on the position of the first difference.
bool equals_in_constant_time(absl::string_view given,
                             absl::string_view expected);

/// Sends a GET request to the administration server of another process. Fails
/// with error_kind::peer_unreachable.
absl::StatusOr<response> fetch(support::endpoint server,
                               const std::string& path,
                               support::duration timeout);

} // namespace guavastair::admin

#endif
