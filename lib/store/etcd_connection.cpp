#include "etcd_connection.hpp"

#include <absl/strings/str_cat.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <array>

namespace guavastair::store {

namespace {

/// Largest accepted response in bytes.
constexpr std::size_t max_answer_size = 64 << 20;

Poco::Timespan to_timespan(support::duration span) {
    constexpr std::int64_t us_per_ms = 1000;
    return Poco::Timespan(span.ms * us_per_ms);
}

/// Returns the first line of an error response, at most 200 bytes.
std::string first_line_of(std::istream& body) {
    constexpr std::size_t max_quoted = 200;
    std::array<char, max_quoted> buffer{};
    body.read(buffer.data(), buffer.size());
    std::string text(buffer.data(), static_cast<std::size_t>(body.gcount()));
    return text.substr(0, text.find('\n'));
}

} // namespace

etcd_connection::etcd_connection(support::endpoint at) : at(at) {}

const exchange_failure& etcd_connection::failure() const {
    return this->last_failure;
}

const Poco::Net::StreamSocket& etcd_connection::socket() const {
    return this->stream;
}

void etcd_connection::fail(exchange_progress progress,
                           const std::string& message) {
    this->last_failure = {
        progress,
        absl::StrCat("store at ", to_string(this->at), ": ", message)};
}

bool etcd_connection::connect(support::duration timeout) {
    try {
        const Poco::Net::SocketAddress address(to_string(this->at));
        this->stream.connect(address, to_timespan(timeout));
        this->stream.setSendTimeout(to_timespan(timeout));
        this->stream.setReceiveTimeout(to_timespan(timeout));
        this->stream.setNoDelay(true);
        this->session =
            std::make_unique<Poco::Net::HTTPClientSession>(this->stream);
        this->session->setTimeout(to_timespan(timeout));
    } catch (const Poco::Exception& error) {
        this->fail(exchange_progress::not_sent, error.displayText());
        return false;
    }
    return true;
}

std::istream* etcd_connection::send(const std::string& path,
                                    const std::string& body) {
    namespace net = Poco::Net;
    net::HTTPRequest request(net::HTTPRequest::HTTP_POST, path,
                             net::HTTPRequest::HTTP_1_1);
    request.setHost(to_string(this->at));
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    request.setKeepAlive(false);
    this->session->sendRequest(request) << body << std::flush;
    net::HTTPResponse response;
    std::istream& answer = this->session->receiveResponse(response);
    const int status = response.getStatus();
    if (status == net::HTTPResponse::HTTP_OK) {
        return &answer;
    }
    constexpr int first_server_error = 500;
    this->fail(
        status < first_server_error ? exchange_progress::refused
                                    : exchange_progress::sent,
        absl::StrCat("HTTP status ", status, " ", first_line_of(answer)));
    return nullptr;
}

std::istream* etcd_connection::post(const std::string& path,
                                    const std::string& body,
                                    support::duration timeout) {
    if (!this->connect(timeout)) {
        return nullptr;
    }
    try {
        return this->send(path, body);
    } catch (const Poco::Exception& error) {
        this->fail(exchange_progress::sent, error.displayText());
        return nullptr;
    }
}

bool etcd_connection::exchange(const std::string& path, const std::string& body,
                               support::duration timeout, std::string& answer) {
    const support::steady_clock clock;
    const support::instant deadline = clock.now() + timeout;
    std::istream* stream = this->post(path, body, timeout);
    if (stream == nullptr) {
        return false;
    }
    constexpr std::size_t buffer_size = 1 << 14;
    std::array<char, buffer_size> buffer{};
    answer.clear();
    try {
        while (stream->good()) {
            stream->read(buffer.data(), buffer.size());
            answer.append(buffer.data(),
                          static_cast<std::size_t>(stream->gcount()));
            if (clock.now() > deadline || answer.size() > max_answer_size) {
                this->fail(exchange_progress::sent,
                           "the response exceeded the timeout or "
                           "64 MiB");
                return false;
            }
        }
    } catch (const Poco::Exception& error) {
        this->fail(exchange_progress::sent, error.displayText());
        return false;
    }
    if (const Poco::Exception* error = this->session->networkException()) {
        this->fail(exchange_progress::sent, error->displayText());
        return false;
    }
    return true;
}

} // namespace guavastair::store
