/// One HTTP request and response with one endpoint of the store.

#ifndef GUAVASTAIR_LIB_STORE_ETCD_CONNECTION_HPP
#define GUAVASTAIR_LIB_STORE_ETCD_CONNECTION_HPP

#include <guavastair/support.hpp>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/StreamSocket.h>

#include <istream>
#include <memory>
#include <string>

namespace guavastair::store {

/// How far an exchange progressed before it failed.
enum class exchange_progress : std::uint8_t {
    /// The request did not reach the store.
    not_sent,
    /// The store may have executed the request.
    sent,
    /// The store rejected the request without executing it.
    refused,
};

struct exchange_failure {
    exchange_progress progress = exchange_progress::not_sent;
    std::string message;
};

/// Connects, sends one POST request and reads the response.
class etcd_connection {
public:
    explicit etcd_connection(support::endpoint at);

    /// Sends `body` and waits for the response header. Returns a stream of the
    /// response body, or null with failure() set.
    std::istream* post(const std::string& path, const std::string& body,
                       support::duration timeout);

    /// Sends `body` and reads the whole response body into `answer`. Returns
    /// false with failure() set on an error or after about `timeout`.
    bool exchange(const std::string& path, const std::string& body,
                  support::duration timeout, std::string& answer);

    const exchange_failure& failure() const;

    /// The connected socket; a copy shares the connection.
    const Poco::Net::StreamSocket& socket() const;

private:
    bool connect(support::duration timeout);
    std::istream* send(const std::string& path, const std::string& body);
    void fail(exchange_progress progress, const std::string& message);

    support::endpoint at;
    Poco::Net::StreamSocket stream;
    std::unique_ptr<Poco::Net::HTTPClientSession> session;
    exchange_failure last_failure;
};

} // namespace guavastair::store

#endif
