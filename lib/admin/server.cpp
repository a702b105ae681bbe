#include <guavastair/admin.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/ThreadPool.h>

#include <array>
#include <optional>
#include <vector>

namespace guavastair::admin {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::array<absl::string_view, 4> method_names{"GET", "PUT", "POST",
                                                        "DELETE"};

constexpr int microseconds_per_ms = 1000;
constexpr int queue_per_connection = 2;

/// State that all request handlers share.
struct server_context {
    options server_options;
    std::vector<route> routes;
};

std::optional<method> method_of(const std::string& name) {
    for (std::size_t i = 0; i < method_names.size(); ++i) {
        if (method_names[i] == name) {
            return static_cast<method>(i);
        }
    }
    return std::nullopt;
}

/// Returns the path of a request target without its query.
absl::string_view path_of(absl::string_view target) {
    return target.substr(0, target.find('?'));
}

bool matches(const route& candidate, absl::string_view path) {
    if (absl::EndsWith(candidate.path, "/")) {
        return absl::StartsWith(path, candidate.path);
    }
    return path == candidate.path;
}

absl::Status check_access(const options& server_options,
                          const HTTPServerRequest& http_request, method verb) {
    if (verb == method::get) {
        return absl::OkStatus();
    }
    if (server_options.bearer_token.empty()) {
        if (http_request.clientAddress().host().isLoopback()) {
            return absl::OkStatus();
        }
        return support::make_error(
            support::error_kind::unauthorized,
            "no token is configured: changes are taken from loopback only");
    }
    const std::string header = http_request.get("Authorization", "");
    absl::string_view token = header;
    const bool has_scheme = absl::ConsumePrefix(&token, "Bearer ");
    if (has_scheme &&
        equals_in_constant_time(token, server_options.bearer_token)) {
        return absl::OkStatus();
    }
    return support::make_error(
        support::error_kind::unauthorized,
        "a change needs \"Authorization: Bearer TOKEN\"");
}

absl::StatusOr<std::string> read_body(HTTPServerRequest& http_request,
                                      std::size_t limit) {
    std::string body(limit + 1, '\0');
    std::istream& stream = http_request.stream();
    stream.read(body.data(), static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(stream.gcount()));
    if (body.size() > limit) {
        return support::make_error(
            support::error_kind::too_large,
            absl::StrCat("the body is larger than ", limit, " bytes"));
    }
    return body;
}

absl::StatusOr<response> dispatch_request(const server_context& context,
                                          HTTPServerRequest& http_request) {
    const auto verb = method_of(http_request.getMethod());
    const std::string target = http_request.getURI();
    const absl::string_view path = path_of(target);
    for (const route& each : context.routes) {
        if (verb != each.verb || !matches(each, path)) {
            continue;
        }
        const absl::Status access =
            check_access(context.server_options, http_request, *verb);
        if (!access.ok()) {
            return access;
        }
        auto body =
            read_body(http_request, context.server_options.max_body_bytes);
        if (!body.ok()) {
            return body.status();
        }
        request handler_request;
        handler_request.rest_of_path =
            std::string(path.substr(each.path.size()));
        handler_request.body = *std::move(body);
        handler_request.if_match = http_request.get("If-Match", "");
        handler_request.edit_id = http_request.get("Edit-Id", "");
        return each.serve(handler_request);
    }
    return support::make_error(
        support::error_kind::not_found,
        absl::StrCat("nothing serves ", http_request.getMethod(), " ", path));
}

class request_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit request_handler(const server_context& handler_context)
        : context(handler_context) {}

    // POCO defines this name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void handleRequest(HTTPServerRequest& http_request,
                       HTTPServerResponse& out) override {
        const auto result = dispatch_request(this->context, http_request);
        const response reply =
            result.ok() ? *result : error_response(result.status());
        out.setStatus(
            static_cast<HTTPServerResponse::HTTPStatus>(reply.status));
        out.setContentType(reply.content_type);
        out.sendBuffer(reply.body.data(), reply.body.size());
    }

private:
    const server_context& context;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(const server_context& handler_context)
        : context(handler_context) {}

    // POCO defines this name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const HTTPServerRequest& /*received*/) override {
        return new request_handler(this->context);
    }

private:
    const server_context& context;
};

} // namespace

absl::string_view to_string(method value) {
    return method_names[static_cast<std::size_t>(value)];
}

class server::implementation {
public:
    absl::Status start() {
        const options& server_options = this->context.server_options;
        const std::string where = support::to_string(server_options.listen);
        try {
            const Poco::Net::SocketAddress address(
                support::to_string(server_options.listen.address),
                server_options.listen.port);
            // SO_REUSEPORT is off, so that a second process on the same port
            // fails to bind.
            this->socket.bind(address, true, false);
            this->socket.listen();
        } catch (const Poco::Net::NetException& error) {
            return support::make_error(support::error_kind::address_in_use,
                                       absl::StrCat("cannot listen on ", where,
                                                    ": ", error.displayText()));
        }
        auto* parameters = new Poco::Net::HTTPServerParams;
        parameters->setMaxThreads(server_options.max_connections);
        parameters->setMaxQueued(server_options.max_connections *
                                 queue_per_connection);
        parameters->setTimeout(Poco::Timespan(
            server_options.receive_timeout.ms * microseconds_per_ms));
        this->http = std::make_unique<Poco::Net::HTTPServer>(
            new handler_factory(this->context), this->threads, this->socket,
            parameters);
        this->http->start();
        return absl::OkStatus();
    }

    void stop() {
        if (this->http == nullptr) {
            return;
        }
        this->http->stopAll(false);
        this->threads.joinAll();
        this->http.reset();
    }

    server_context context;
    Poco::Net::ServerSocket socket;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::HTTPServer> http;
};

server::server(options server_options)
    : self(std::make_unique<implementation>()) {
    this->self->context.server_options = std::move(server_options);
}

server::~server() {
    this->stop();
}

void server::add(route new_route) {
    this->self->context.routes.push_back(std::move(new_route));
}

absl::Status server::start() {
    return this->self->start();
}

void server::stop() {
    this->self->stop();
}

support::endpoint server::address() const {
    return {this->self->context.server_options.listen.address,
            this->self->socket.address().port()};
}

} // namespace guavastair::admin
