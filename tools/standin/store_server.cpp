#include "store_gateway.hpp"
#include "store_server.hpp"

#include <absl/strings/str_cat.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <thread>

namespace guavastair::standin {

namespace net = Poco::Net;
using Poco::JSON::Object;

namespace {

/// Maximum number of concurrent connections.
constexpr int max_connections = 128;
/// Interval at which a watch checks the faults and its connection.
constexpr support::duration watch_poll = support::milliseconds(20);

/// The outcome of one call under the current faults.
enum class call_outcome : std::uint8_t { served, request_lost, answer_lost };

Object::Ptr parse_object(std::istream& body) {
    Poco::JSON::Parser parser;
    return parser.parse(body).extract<Object::Ptr>();
}

void answer(net::HTTPServerResponse& response, const Object& body) {
    response.setContentType("application/json");
    std::ostream& out = response.send();
    body.stringify(out);
    out << "\n";
}

net::StreamSocket& socket_of(net::HTTPServerRequest& request) {
    return dynamic_cast<net::HTTPServerRequestImpl&>(request).socket();
}

/// Closes the connection without a response.
void close_without_answer(net::HTTPServerRequest& request) {
    socket_of(request).shutdown();
}

bool is_open(net::HTTPServerRequest& request) {
    net::StreamSocket& socket = socket_of(request);
    return !socket.poll(Poco::Timespan(0), net::Socket::SELECT_READ);
}

} // namespace

struct store_server::state {
    support::steady_clock clock;
    memory_store store{clock};
    store::call_counters counters;
    std::mutex mutex;
    store_faults faults;
    std::atomic<bool> stopping{false};
    Poco::ThreadPool threads{2, max_connections};
    std::unique_ptr<net::HTTPServer> server;

    void handle(net::HTTPServerRequest& request,
                net::HTTPServerResponse& response);

private:
    store_faults current_faults();
    call_outcome next_outcome(store::call_kind kind);
    void serve_call(const gateway_path& row, net::HTTPServerRequest& request,
                    net::HTTPServerResponse& response);
    void serve_watch(net::HTTPServerRequest& request,
                     net::HTTPServerResponse& response);
    void serve_control(net::HTTPServerRequest& request,
                       net::HTTPServerResponse& response);
    void report_calls(net::HTTPServerResponse& response) const;
};

namespace {

using handle_function =
    std::function<void(net::HTTPServerRequest&, net::HTTPServerResponse&)>;

class handler final : public net::HTTPRequestHandler {
public:
    explicit handler(handle_function handle) : handle(std::move(handle)) {}

    void handleRequest(net::HTTPServerRequest& request,
                       net::HTTPServerResponse& response) override {
        this->handle(request, response);
    }

private:
    handle_function handle;
};

class handler_factory final : public net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(handle_function handle)
        : handle(std::move(handle)) {}

    net::HTTPRequestHandler*
    createRequestHandler(const net::HTTPServerRequest& /*request*/) override {
        return new handler(this->handle);
    }

private:
    handle_function handle;
};

} // namespace

store_faults store_server::state::current_faults() {
    const std::lock_guard lock(this->mutex);
    return this->faults;
}

call_outcome store_server::state::next_outcome(store::call_kind kind) {
    const std::lock_guard lock(this->mutex);
    if (this->faults.outage) {
        return call_outcome::request_lost;
    }
    if (this->faults.lose_requests > 0) {
        --this->faults.lose_requests;
        return call_outcome::request_lost;
    }
    if (kind == store::call_kind::write && this->faults.lose_answers > 0) {
        --this->faults.lose_answers;
        return call_outcome::answer_lost;
    }
    return call_outcome::served;
}

void store_server::state::handle(net::HTTPServerRequest& request,
                                 net::HTTPServerResponse& response) {
    try {
        const gateway_path* row = find_gateway_path(request.getURI());
        if (row != nullptr) {
            this->serve_call(*row, request, response);
        } else if (request.getURI() == "/v3/watch") {
            this->serve_watch(request, response);
        } else {
            this->serve_control(request, response);
        }
    } catch (const Poco::Exception& error) {
        if (!response.sent()) {
            response.setStatusAndReason(net::HTTPResponse::HTTP_BAD_REQUEST);
            response.send() << error.displayText() << "\n";
        }
    }
}

void store_server::state::serve_call(const gateway_path& row,
                                     net::HTTPServerRequest& request,
                                     net::HTTPServerResponse& response) {
    this->counters.count(row.kind);
    const Object::Ptr request_body = parse_object(request.stream());
    const support::duration delay = this->current_faults().delay;
    std::this_thread::sleep_for(std::chrono::milliseconds(delay.ms));
    const call_outcome outcome = this->next_outcome(row.kind);
    if (outcome == call_outcome::request_lost) {
        close_without_answer(request);
        return;
    }
    const Object::Ptr result = row.run(this->store, *request_body);
    if (outcome == call_outcome::answer_lost) {
        close_without_answer(request);
        return;
    }
    answer(response, *result);
}

void store_server::state::serve_watch(net::HTTPServerRequest& request,
                                      net::HTTPServerResponse& response) {
    this->counters.count(store::call_kind::watch);
    watch_request request_body =
        decode_watch_request(*parse_object(request.stream()));
    if (this->next_outcome(store::call_kind::watch) != call_outcome::served) {
        close_without_answer(request);
        return;
    }
    response.setChunkedTransferEncoding(true);
    std::ostream& out = response.send();
    const auto send = [&out](const Object::Ptr& message) {
        message->stringify(out);
        out << "\n" << std::flush;
    };
    send(encode_watch_created(this->store.revision()));
    while (!this->stopping && out.good() && is_open(request)) {
        const store_faults present = this->current_faults();
        if (present.outage) {
            close_without_answer(request);
            return;
        }
        if (present.silent_watches) {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(watch_poll.ms));
            continue;
        }
        const auto message = this->store.wait_for_events(
            request_body.keys, request_body.from, watch_poll);
        if (message.compacted) {
            send(encode_watch_message(message));
            return;
        }
        if (!message.events.empty()) {
            send(encode_watch_message(message));
            request_body.from = {
                message.events.back().entry.mod_revision.value + 1};
        }
    }
}

void store_server::state::serve_control(net::HTTPServerRequest& request,
                                        net::HTTPServerResponse& response) {
    const std::string& path = request.getURI();
    if (path == "/control/calls") {
        this->report_calls(response);
        return;
    }
    const Object::Ptr request_body = parse_object(request.stream());
    if (path == "/control/faults") {
        const std::lock_guard lock(this->mutex);
        this->faults.outage = request_body->optValue<bool>("outage", false);
        this->faults.delay.ms =
            request_body->optValue<std::int64_t>("delay_ms", 0);
        this->faults.lose_requests =
            request_body->optValue<int>("lose_requests", 0);
        this->faults.lose_answers =
            request_body->optValue<int>("lose_answers", 0);
        this->faults.silent_watches =
            request_body->optValue<bool>("silent_watches", false);
    } else if (path == "/control/compact") {
        this->store.compact(
            {request_body->optValue<std::int64_t>("revision", 0)});
    } else {
        response.setStatusAndReason(net::HTTPResponse::HTTP_NOT_FOUND);
    }
    answer(response, Object());
}

void store_server::state::report_calls(
    net::HTTPServerResponse& response) const {
    Object calls;
    for (std::size_t i = 0; i < store::call_kind_count; ++i) {
        const auto kind = static_cast<store::call_kind>(i);
        calls.set(std::string(store::to_string(kind)), this->counters.of(kind));
    }
    answer(response, calls);
}

store_server::store_server(const std::string& address, std::uint16_t port)
    : self(std::make_unique<state>()) {
    const net::ServerSocket socket(net::SocketAddress(address, port));
    net::HTTPServerParams::Ptr params = new net::HTTPServerParams;
    params->setMaxThreads(max_connections);
    params->setKeepAlive(false);
    this->self->server = std::make_unique<net::HTTPServer>(
        new handler_factory(
            [state = this->self.get()](auto& request, auto& response) {
                state->handle(request, response);
            }),
        this->self->threads, socket, params);
    this->self->server->start();
}

store_server::~store_server() {
    this->self->stopping = true;
    this->self->store.stop();
    this->self->server->stopAll(true);
    this->self->threads.joinAll();
}

std::uint16_t store_server::port() const {
    return this->self->server->port();
}

void store_server::set_faults(const store_faults& faults) {
    const std::lock_guard lock(this->self->mutex);
    this->self->faults = faults;
}

void store_server::compact(support::revision revision) {
    this->self->store.compact(revision);
}

support::revision store_server::put(const std::string& key,
                                    const std::string& value) {
    const store::operation write{store::operation_kind::put, key, value, {}};
    return this->self->store.run({{}, {write}, {}}).revision;
}

const store::call_counters& store_server::calls() const {
    return this->self->counters;
}

} // namespace guavastair::standin
