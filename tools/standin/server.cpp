#include "server.hpp"
#include "server_state.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>
#include <utility>

namespace guavastair::standin {

namespace http = Poco::Net;
using status = http::HTTPResponse::HTTPStatus;

std::uint8_t content_byte(std::uint64_t offset) {
    constexpr std::uint64_t prime = 251;
    constexpr unsigned shift = 9;
    return static_cast<std::uint8_t>((offset + (offset >> shift)) % prime);
}

std::string content(std::uint64_t offset, std::size_t size) {
    std::string result(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
        result[i] = static_cast<char>(content_byte(offset + i));
    }
    return result;
}

namespace {

std::uint64_t number_parameter(const Poco::URI& uri, const std::string& name,
                               std::uint64_t fallback) {
    for (const auto& [key, value] : uri.getQueryParameters()) {
        std::uint64_t number = 0;
        if (key == name && absl::SimpleAtoi(value, &number)) {
            return number;
        }
    }
    return fallback;
}

std::string text_parameter(const Poco::URI& uri, const std::string& name) {
    for (const auto& [key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

/// Answers one request.
class handler final : public http::HTTPRequestHandler {
public:
    explicit handler(server_state& shared) : state(shared) {}

    void handleRequest(http::HTTPServerRequest& request,
                       http::HTTPServerResponse& response) override {
        const Poco::URI uri(request.getURI());
        if (!this->read_body(request)) {
            answer(response, status::HTTP_BAD_REQUEST, "wrong body\n");
            return;
        }
        for (const route& row : routes) {
            if (row.path == uri.getPath()) {
                (this->*row.handle)(uri, request, response);
                return;
            }
        }
        answer(response, status::HTTP_NOT_FOUND, "no such path\n");
    }

private:
    using handle_function = void (handler::*)(const Poco::URI&,
                                              http::HTTPServerRequest&,
                                              http::HTTPServerResponse&);
    struct route {
        absl::string_view path;
        handle_function handle;
    };
    static const std::array<route, 8> routes;

    static void answer(http::HTTPServerResponse& response, status code,
                       const std::string& body) {
        response.setStatusAndReason(code);
        response.setContentLength64(static_cast<Poco::Int64>(body.size()));
        response.send() << body;
    }

    /// Reads the body. Returns whether it is a prefix of the content.
    bool read_body(http::HTTPServerRequest& request) {
        if (request.getContentLength64() > 0) {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(this->state.read_delay().ms));
        }
        constexpr std::size_t block = 65'536;
        std::string bytes(block, '\0');
        std::istream& in = request.stream();
        std::uint64_t seen = 0;
        while (in.read(bytes.data(), block) || in.gcount() > 0) {
            const auto size = static_cast<std::size_t>(in.gcount());
            if (bytes.substr(0, size) != content(seen, size)) {
                return false;
            }
            seen += size;
        }
        return true;
    }

    /// Occupies a slot for the service time. Returns whether the request may
    /// be answered. A rejected request has been answered with 503.
    bool process_request(http::HTTPServerRequest& request,
                         http::HTTPServerResponse& response) {
        const auto service_span = this->state.begin_request();
        if (!service_span.has_value()) {
            response.set("Retry-After", "1");
            answer(response, status::HTTP_SERVICE_UNAVAILABLE, "busy\n");
            return false;
        }
        const bool is_connected =
            this->wait_while_connected(request, *service_span);
        this->state.end();
        return is_connected;
    }

    /// Waits for `span`. Returns false if the caller disconnects before it
    /// ends.
    bool wait_while_connected(http::HTTPServerRequest& request,
                              support::duration span) {
        using std::chrono::steady_clock;
        auto& request_impl = static_cast<http::HTTPServerRequestImpl&>(request);
        const auto end =
            steady_clock::now() + std::chrono::milliseconds(span.ms);
        while (steady_clock::now() < end && !this->state.is_stopping()) {
            if (is_disconnected(request_impl.socket())) {
                this->state.count_cancelled();
                return false;
            }
            constexpr std::chrono::milliseconds step{2};
            std::this_thread::sleep_until(
                std::min(end, steady_clock::now() + step));
        }
        return true;
    }

    static bool is_disconnected(http::StreamSocket& socket) {
        const bool readable =
            socket.poll(Poco::Timespan(0), http::Socket::SELECT_READ);
        return readable && socket.available() == 0;
    }

    void send_content(const Poco::URI& uri, http::HTTPServerRequest& request,
                      http::HTTPServerResponse& response) {
        if (!this->process_request(request, response)) {
            return;
        }
        const std::uint64_t size = number_parameter(uri, "size", 0);
        response.setContentLength64(static_cast<Poco::Int64>(size));
        std::ostream& out = response.send();
        constexpr std::uint64_t block = 65'536;
        for (std::uint64_t sent = 0; sent < size; sent += block) {
            out << content(sent, std::min(block, size - sent));
        }
    }

    void run_order(const Poco::URI& uri, http::HTTPServerRequest& request,
                   http::HTTPServerResponse& response) {
        const std::string id = text_parameter(uri, "id");
        if (!this->process_request(request, response)) {
            return;
        }
        this->state.count_order(id);
        answer(response, status::HTTP_OK, absl::StrCat("ran ", id, "\n"));
    }

    void send_feed(const Poco::URI& uri, http::HTTPServerRequest&,
                   http::HTTPServerResponse& response) {
        const std::uint64_t lines = number_parameter(uri, "lines", 10);
        const std::uint64_t interval =
            number_parameter(uri, "interval_ms", 100);
        this->state.count_feed();
        response.setContentType("text/event-stream");
        response.setKeepAlive(false);
        std::ostream& out = response.send();
        for (std::uint64_t i = 0; i < lines && out; ++i) {
            if (this->state.is_stopping()) {
                return;
            }
            out << "line " << i << "\n" << std::flush;
            std::this_thread::sleep_for(std::chrono::milliseconds(interval));
        }
    }

    void send_health(const Poco::URI&, http::HTTPServerRequest&,
                     http::HTTPServerResponse& response) {
        const server_report report = this->state.report();
        answer(response,
               report.healthy ? status::HTTP_OK
                              : status::HTTP_SERVICE_UNAVAILABLE,
               report.healthy ? "healthy\n" : "draining\n");
    }

    void send_load(const Poco::URI&, http::HTTPServerRequest&,
                   http::HTTPServerResponse& response) {
        const server_report report = this->state.report();
        answer(response, status::HTTP_OK,
               absl::StrCat("{\"running\":", report.running,
                            ",\"capacity\":", report.capacity, "}\n"));
    }

    void send_counters(const Poco::URI&, http::HTTPServerRequest&,
                       http::HTTPServerResponse& response) {
        answer(response, status::HTTP_OK,
               to_json(this->state.counters()) + "\n");
    }

    void drain(const Poco::URI&, http::HTTPServerRequest&,
               http::HTTPServerResponse& response) {
        this->state.drain();
        answer(response, status::HTTP_OK, "draining\n");
    }

    void turn_cold(const Poco::URI&, http::HTTPServerRequest&,
                   http::HTTPServerResponse& response) {
        this->state.turn_cold();
        answer(response, status::HTTP_OK, "cold\n");
    }

    server_state& state;
};

const std::array<handler::route, 8> handler::routes{{
    {"/content", &handler::send_content},
    {"/order", &handler::run_order},
    {"/feed", &handler::send_feed},
    {"/health", &handler::send_health},
    {"/load", &handler::send_load},
    {"/counters", &handler::send_counters},
    {"/drain", &handler::drain},
    {"/cold", &handler::turn_cold},
}};

class handler_factory final : public http::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(server_state& shared) : state(shared) {}

    http::HTTPRequestHandler*
    createRequestHandler(const http::HTTPServerRequest&) override {
        return new handler(this->state);
    }

private:
    server_state& state;
};

} // namespace

struct server::implementation {
    explicit implementation(const server_options& options);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    server_state state;
    Poco::ThreadPool threads;
    http::ServerSocket socket;
    http::HTTPServer http_server;
};

static http::SocketAddress socket_address(support::endpoint address) {
    return {support::to_string(address.address), address.port};
}

static http::HTTPServerParams::Ptr
make_parameters(const server_options& options) {
    http::HTTPServerParams::Ptr result(new http::HTTPServerParams);
    result->setMaxThreads(options.max_connections);
    result->setMaxQueued(options.max_connections);
    result->setKeepAlive(true);
    result->setTimeout(Poco::Timespan(60, 0));
    return result;
}

/// A small stack suffices, and there may be thousands of threads.
static constexpr int thread_stack_size = 256 * 1024;
static constexpr int thread_idle_seconds = 60;
static constexpr int listen_backlog = 1024;

server::implementation::implementation(const server_options& options)
    : state(options), threads(2, options.max_connections, thread_idle_seconds,
                              thread_stack_size),
      socket(socket_address(options.listen), listen_backlog),
      http_server(new handler_factory(this->state), this->threads, this->socket,
                  make_parameters(options)) {
    this->http_server.start();
}

server::implementation::~implementation() {
    this->state.stop();
    this->http_server.stopAll(true);
    this->threads.joinAll();
}

server::server(const server_options& options)
    : self(std::make_unique<implementation>(options)) {}

server::~server() = default;

support::endpoint server::local() const {
    const http::SocketAddress address = this->self->socket.address();
    const auto host = support::parse_ipv4_address(address.host().toString());
    return {host.value_or(support::ipv4_address{}), address.port()};
}

server_counters server::counters() const {
    return this->self->state.counters();
}

void server::turn_cold() {
    this->self->state.turn_cold();
}

std::string to_json(const server_counters& counters) {
    return absl::StrCat("{\"requests\":", counters.requests,
                        ",\"orders_run\":", counters.orders_run,
                        ",\"orders_doubled\":", counters.orders_doubled,
                        ",\"refused\":", counters.refused,
                        ",\"overloaded\":", counters.overloaded,
                        ",\"most_running\":", counters.most_running,
                        ",\"cancelled\":", counters.cancelled,
                        ",\"feeds\":", counters.feeds, "}");
}

} // namespace guavastair::standin
