#include "caller_flow.hpp"
#include "server.hpp"

#include <absl/strings/str_cat.h>
#include <Poco/Net/HTTPRequest.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace guavastair::standin {

/// Delay before reconnecting after a failure.
static constexpr support::duration retry_delay = support::milliseconds(200);

/// Upper bound on a delay requested by Retry-After.
static constexpr support::duration longest_retry_after = support::seconds(10);

static double ms_since(std::chrono::steady_clock::time_point start) {
    using milliseconds = std::chrono::duration<double, std::milli>;
    return milliseconds(std::chrono::steady_clock::now() - start).count();
}

caller_flow::caller_flow(caller_context& shared) : context(shared) {}

caller_flow::~caller_flow() {
    this->context.loop.cancel(this->timeout);
    this->context.loop.cancel(this->pause);
}

void caller_flow::start() {
    if (this->context.is_stopping) {
        this->done();
        return;
    }
    this->requests_sent = 0;
    constexpr std::uint16_t last_port = 65'000;
    if (this->context.next_port >= last_port) {
        this->context.next_port = this->context.options.first_port;
    }
    const std::uint16_t port = this->context.next_port++;
    const auto opened =
        this->context.stack.connect(this->context.options.service, *this, port);
    if (!opened.ok()) {
        this->schedule_reconnect(retry_delay);
        return;
    }
    this->connection = *opened;
    this->timeout = this->context.loop.call_after(
        this->context.options.timeout, [this] { this->handle_timeout(); });
}

void caller_flow::stop() {
    if (this->is_request_in_flight || this->finished) {
        return;
    }
    this->close_connection();
    this->done();
}

void caller_flow::on_connected(net::tcp_connection&) {
    ++this->context.summary.flows_opened;
    this->is_established = true;
    this->send_request();
}

std::string caller_flow::make_request() {
    using Poco::Net::HTTPRequest;
    const caller_options& options = this->context.options;
    std::string method = HTTPRequest::HTTP_GET;
    std::string target;
    switch (options.mode) {
    case caller_mode::content:
        target = absl::StrCat("/content?size=", options.content_size);
        this->expected = expected_body(options.content_size, content_byte);
        break;
    case caller_mode::order: {
        const std::string id =
            absl::StrCat(support::to_string(options.address), "-",
                         options.first_port, "-", ++this->context.next_order);
        method = HTTPRequest::HTTP_POST;
        target = absl::StrCat("/order?id=", id);
        this->expected = expected_body(absl::StrCat("ran ", id, "\n"));
        break;
    }
    case caller_mode::feed: {
        target = absl::StrCat("/feed?lines=", options.feed_lines,
                              "&interval_ms=", options.feed_interval.ms);
        std::string lines;
        for (std::uint64_t i = 0; i < options.feed_lines; ++i) {
            absl::StrAppend(&lines, "line ", i, "\n");
        }
        this->expected = expected_body(std::move(lines));
        break;
    }
    }
    HTTPRequest request(method, target, HTTPRequest::HTTP_1_1);
    request.setHost(support::to_string(options.service.address),
                    options.service.port);
    request.setKeepAlive(true);
    const bool is_order = options.mode == caller_mode::order;
    this->body_size = is_order ? options.upload_size : 0;
    this->body_sent = 0;
    if (is_order) {
        request.setContentLength64(static_cast<Poco::Int64>(this->body_size));
    }
    std::ostringstream out;
    request.write(out);
    return out.str();
}

void caller_flow::send_request() {
    if (this->context.is_stopping) {
        this->stop();
        return;
    }
    this->answer = answer_reader();
    this->is_request_in_flight = true;
    ++this->requests_sent;
    ++this->context.summary.requests;
    this->request_sent_at = std::chrono::steady_clock::now();
    this->last_line_at = this->request_sent_at;
    const std::string request = this->make_request();
    this->connection->write(std::as_bytes(std::span(request)));
    this->send_body();
    this->context.loop.cancel(this->timeout);
    this->timeout = this->context.loop.call_after(
        this->context.options.timeout, [this] { this->handle_timeout(); });
}

void caller_flow::send_body() {
    while (this->body_sent < this->body_size) {
        const std::size_t room = static_cast<std::size_t>(
            std::min<std::uint64_t>(this->connection->writable_size(),
                                    this->body_size - this->body_sent));
        if (room == 0) {
            return;
        }
        const std::string part = content(this->body_sent, room);
        const std::size_t taken =
            this->connection->write(std::as_bytes(std::span(part)));
        this->body_sent += taken;
        if (taken < room) {
            return;
        }
    }
}

void caller_flow::on_readable(net::tcp_connection& readable) {
    while (this->connection == &readable && !readable.peek().empty()) {
        const auto bytes = readable.peek();
        const std::string copy(reinterpret_cast<const char*>(bytes.data()),
                               bytes.size());
        readable.consume(bytes.size());
        this->process_bytes(copy);
    }
}

void caller_flow::process_bytes(absl::string_view bytes) {
    this->context.summary.bytes += bytes.size();
    if (!this->is_request_in_flight) {
        this->context.summary.wrong_bytes += bytes.size();
        return;
    }
    const std::string body = this->answer.process_bytes(bytes);
    constexpr int ok = 200;
    if (this->answer.head_complete() && this->answer.status_code() == ok) {
        this->context.summary.wrong_bytes += this->expected.process_bytes(body);
        this->record_feed_progress(body);
    }
    if (this->answer.complete()) {
        this->finish_answer();
    }
}

void caller_flow::record_feed_progress(absl::string_view body) {
    if (body.empty() || this->context.options.mode != caller_mode::feed) {
        return;
    }
    double& longest = this->context.summary.longest_gap_ms;
    longest = std::max(longest, ms_since(this->last_line_at));
    this->last_line_at = std::chrono::steady_clock::now();
    this->context.loop.cancel(this->timeout);
    this->timeout = this->context.loop.call_after(
        this->context.options.timeout, [this] { this->handle_timeout(); });
}

void caller_flow::count_answer() {
    caller_summary& summary = this->context.summary;
    constexpr int ok = 200;
    constexpr int too_many_requests = 429;
    constexpr int bad_gateway = 502;
    constexpr int unavailable = 503;
    constexpr int gateway_timeout = 504;
    switch (this->answer.status_code()) {
    case ok: {
        const double latency = ms_since(this->request_sent_at);
        const auto late_ms =
            static_cast<double>(this->context.options.late_after.ms);
        const bool is_feed = this->context.options.mode == caller_mode::feed;
        summary.late += !is_feed && latency > late_ms ? 1 : 0;
        summary.wrong_bytes += this->expected.complete() ? 0 : 1;
        ++summary.done;
        this->context.latencies(latency);
        return;
    }
    case too_many_requests:
    case unavailable:
        ++summary.refused;
        return;
    case bad_gateway:
    case gateway_timeout:
        ++summary.unknown;
        return;
    default:
        ++summary.failed;
        return;
    }
}

void caller_flow::finish_answer() {
    this->context.loop.cancel(this->timeout);
    this->is_request_in_flight = false;
    this->count_answer();
    const caller_options& options = this->context.options;
    const support::duration requested_delay = std::min(
        support::seconds(this->answer.retry_after()), longest_retry_after);
    const support::duration delay = std::max(requested_delay, options.pause);
    const bool enough = options.requests_per_connection > 0 &&
                        this->requests_sent >= options.requests_per_connection;
    if (this->answer.closes_connection() || enough ||
        this->context.is_stopping) {
        this->close_connection();
        this->schedule_reconnect(delay);
        return;
    }
    if (delay.ms == 0) {
        this->send_request();
        return;
    }
    this->pause =
        this->context.loop.call_after(delay, [this] { this->send_request(); });
}

void caller_flow::on_writable(net::tcp_connection&) {
    if (this->is_request_in_flight) {
        this->send_body();
    }
}

void caller_flow::on_end(net::tcp_connection&) {
    const bool is_close_delimited =
        this->is_request_in_flight && this->answer.head_complete() &&
        this->context.options.mode == caller_mode::feed;
    if (is_close_delimited && this->expected.complete()) {
        this->finish_answer();
        return;
    }
    this->count_failure();
    this->close_connection();
    this->schedule_reconnect(retry_delay);
}

void caller_flow::on_failed(net::tcp_connection&, const absl::Status&) {
    this->connection = nullptr;
    this->count_failure();
    this->is_established = false;
    this->schedule_reconnect(retry_delay);
}

void caller_flow::handle_timeout() {
    this->count_failure();
    if (this->connection != nullptr) {
        std::exchange(this->connection, nullptr)->abort();
    }
    this->is_established = false;
    this->schedule_reconnect(retry_delay);
}

void caller_flow::count_failure() {
    caller_summary& summary = this->context.summary;
    if (!this->is_established) {
        ++summary.flows_refused;
        return;
    }
    if (!std::exchange(this->is_request_in_flight, false)) {
        ++summary.flows_ended_idle;
        return;
    }
    ++summary.flows_broken;
    ++summary.lost;
}

void caller_flow::close_connection() {
    this->context.loop.cancel(this->timeout);
    this->context.loop.cancel(this->pause);
    this->is_established = false;
    if (this->connection != nullptr) {
        std::exchange(this->connection, nullptr)->close();
    }
}

void caller_flow::schedule_reconnect(support::duration delay) {
    this->context.loop.cancel(this->timeout);
    this->context.loop.cancel(this->pause);
    if (this->context.is_stopping) {
        this->done();
        return;
    }
    this->pause =
        this->context.loop.call_after(delay, [this] { this->start(); });
}

void caller_flow::done() {
    if (!std::exchange(this->finished, true)) {
        this->context.on_flow_finished();
    }
}

} // namespace guavastair::standin
