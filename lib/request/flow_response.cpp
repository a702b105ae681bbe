#include "flow_state.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace guavastair::request {

namespace {

using admission::completion;
using admission::request_verdict;
using support::error_kind;

constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
constexpr int lowest_failure_status = 500;
// Larger response bodies are not stored for repeated requests.
constexpr std::size_t max_stored_body_bytes = std::size_t{1024} * 1024;

completion completion_of(int status) {
    if (status == status_too_many_requests || status == status_unavailable) {
        return completion::refused_by_server;
    }
    return status >= lowest_failure_status ? completion::failed
                                           : completion::answered;
}

bool has_no_length(framing kind) {
    return kind == framing::chunked || kind == framing::until_close;
}

} // namespace

void flow::state::process_response(support::instant now, actions& out) {
    while (!this->current_exchange->response.has_value()) {
        if (!this->process_response_head(now, out)) {
            return;
        }
    }
    this->send_response_body(now, out);
}

// Returns false if the head is incomplete or invalid.
bool flow::state::process_response_head(support::instant now, actions& out) {
    exchange& e = *this->current_exchange;
    const auto size = e.scanner.find(e.response_bytes);
    const std::size_t head_bytes = size.value_or(e.response_bytes.size());
    if (head_bytes > this->settings.max_head_bytes) {
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    "the head of the server's answer is too large",
                    {}},
                   completion::failed, out);
        return false;
    }
    if (!size.has_value()) {
        return false;
    }
    auto head = parse_response_head(
        absl::string_view(e.response_bytes).substr(0, *size), e.method);
    e.response_bytes.erase(0, *size);
    e.scanner.reset();
    if (!head.ok()) {
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    std::string(head.status().message()),
                    {}},
                   completion::failed, out);
        return false;
    }
    // Interim responses are not relayed: the flow itself has sent "100
    // Continue" to the caller.
    if (head->interim) {
        return true;
    }
    e.response = *std::move(head);
    this->send_response_head(now, out);
    return true;
}

void flow::state::send_response_head(support::instant now, actions& out) {
    exchange& e = *this->current_exchange;
    const body_framing message_framing = e.response->body;
    e.response_body = body_reader(message_framing);
    e.response_started_at = now;
    this->last_progress = now;
    e.out = message_framing.kind;
    if (has_no_length(message_framing.kind)) {
        e.out = e.head.is_http_1_0 ? framing::until_close : framing::chunked;
    }
    Poco::Net::HTTPResponse& message = e.response->message;
    if (e.has_claim) {
        e.response_to_store.head = write_head(message, {});
    }
    message.setVersion(e.head.is_http_1_0 ? "HTTP/1.0" : "HTTP/1.1");
    if (!this->may_keep_alive()) {
        this->is_last_request = true;
        message.set("Connection", "close");
    }
    this->to_caller(write_head(message, {e.out, message_framing.length}), out);
    if (e.response->event_stream && has_no_length(message_framing.kind)) {
        this->server.finish(now, *e.ticket, completion::answered);
        e.ticket.reset();
        e.is_feed = true;
    }
}

void flow::state::send_response_body(support::instant now, actions& out) {
    exchange& e = *this->current_exchange;
    std::string payload;
    e.response_body.read(e.response_bytes, payload);
    e.response_bytes.clear();
    if (!payload.empty()) {
        this->store_payload(payload);
        std::string bytes;
        write_body(e.out, payload, bytes);
        this->to_caller(std::move(bytes), out);
    }
    if (e.response_body.malformed()) {
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    "the chunks of the server's answer cannot be read",
                    {}},
                   completion::failed, out);
        return;
    }
    if (e.response_body.complete()) {
        this->finish_response(now, out);
    }
}

void flow::state::store_payload(absl::string_view payload) {
    exchange& e = *this->current_exchange;
    if (!e.has_claim || !e.response_to_store.body_stored) {
        return;
    }
    if (e.response_to_store.body.size() + payload.size() >
        max_stored_body_bytes) {
        e.response_to_store.body_stored = false;
        e.response_to_store.body.clear();
        return;
    }
    e.response_to_store.body.append(payload.data(), payload.size());
}

void flow::state::finish_response(support::instant now, actions& out) {
    exchange& e = *this->current_exchange;
    std::string end;
    write_body_end(e.out, end);
    if (!end.empty()) {
        this->to_caller(std::move(end), out);
    }
    const completion how = completion_of(e.response->status);
    e.is_response_complete = true;
    this->record_outcome(now, how);
    this->release_server(now, false, how, out);
    this->start_next_request(now, out);
}

void flow::state::become_feed(support::instant now) {
    exchange& e = *this->current_exchange;
    this->server.finish(now, *e.ticket, completion::became_feed);
    e.ticket.reset();
    e.is_feed = true;
}

// Ends the request in progress with a response of the agent itself. If a
// response has begun, resets the caller's connection instead, so that the
// caller detects the truncation.
void flow::state::fail(support::instant now, failure reported_failure,
                       completion how, actions& out) {
    const bool has_begun = this->current_exchange.has_value() &&
                           this->current_exchange->response.has_value();
    this->record_outcome(now, how);
    this->release_server(now, true, how, out);
    if (has_begun) {
        this->log_decision(request_verdict::run, reported_failure.kind, 0, out);
        this->close(true, out);
        return;
    }
    const auto verdict = how == completion::not_offered
                             ? request_verdict::refuse
                             : request_verdict::run;
    const int status =
        support::properties_of(reported_failure.kind).http_status;
    this->log_decision(verdict, reported_failure.kind, status, out);
    this->to_caller(
        write_failure(reported_failure, this->current_response_options()), out);
    this->start_next_request(now, out);
}

void flow::state::reject(support::instant now, error_kind kind,
                         absl::string_view message, actions& out) {
    const auto refusal = this->server.refuse(now, kind);
    this->fail(now, {kind, std::string(message), refusal.retry_after},
               completion::not_offered, out);
}

// Records the outcome of the operation when its request has ended.
void flow::state::record_outcome(support::instant now, completion how) {
    if (!this->current_exchange.has_value() ||
        !this->current_exchange->operation.has_value()) {
        return;
    }
    exchange& e = *this->current_exchange;
    auto& operations = this->server.operations();
    if (!e.has_claim) {
        operations.stop_waiting(*e.operation, this->owner);
        return;
    }
    e.has_claim = false;
    // With a refusal the server states that it did not run the request.
    const bool refused =
        e.is_response_complete && how == completion::refused_by_server;
    if (!this->offered() || refused) {
        operations.release(now, *e.operation);
        return;
    }
    if (e.is_response_complete) {
        operations.complete(now, *e.operation, std::move(e.response_to_store));
        return;
    }
    operations.mark_outcome_unknown(now, *e.operation);
}

void flow::state::release_server(support::instant now, bool cancel,
                                 completion how, actions& out) {
    if (this->is_server_open) {
        out.emplace_back(close_server{cancel});
        this->is_server_open = false;
    }
    if (!this->current_exchange.has_value() ||
        !this->current_exchange->ticket.has_value()) {
        return;
    }
    this->server.finish(now, *this->current_exchange->ticket, how);
    this->current_exchange->ticket.reset();
}

void flow::state::start_next_request(support::instant now, actions& out) {
    if (this->is_caller_gone) {
        this->current_phase = phase::closed;
        return;
    }
    this->last_progress = now;
    if (!this->may_keep_alive()) {
        this->close(false, out);
        return;
    }
    if (this->current_exchange.has_value() &&
        !this->current_exchange->request_body.complete()) {
        this->current_phase = phase::dropping;
        this->dropped_bytes = 0;
        this->drop_request_body(now, out);
        return;
    }
    this->current_exchange.reset();
    this->current_phase = phase::reading_head;
}

void flow::state::close(bool reset, actions& out) {
    this->current_phase = phase::closed;
    this->input.clear();
    out.emplace_back(close_caller{reset});
}

void flow::state::to_caller(std::string bytes, actions& out) {
    if (!this->is_caller_gone) {
        out.emplace_back(send_to_caller{std::move(bytes)});
    }
}

void flow::state::log_decision(request_verdict verdict,
                               std::optional<error_kind> error, int status,
                               actions& out) const {
    decision entry{verdict, error, {}, {}, status};
    if (this->current_exchange.has_value()) {
        entry.method = this->current_exchange->method;
        entry.path = this->current_exchange->path;
    }
    out.emplace_back(std::move(entry));
}

bool flow::state::offered() const {
    return this->current_phase == phase::exchanging;
}

response_options flow::state::current_response_options() const {
    response_options options;
    options.close = !this->may_keep_alive();
    if (this->current_exchange.has_value()) {
        options.is_http_1_0 = this->current_exchange->head.is_http_1_0;
        options.head_only = this->current_exchange->method == "HEAD";
    }
    return options;
}

bool flow::state::may_keep_alive() const {
    return !this->is_last_request && !this->draining &&
           this->body_can_be_dropped();
}

// Whether the rest of the request body can be discarded, so that the flow can
// continue with the next request.
bool flow::state::body_can_be_dropped() const {
    if (!this->current_exchange.has_value() ||
        this->current_exchange->request_body.complete()) {
        return true;
    }
    // A caller that waits for "100 Continue" may never send its body.
    if (this->current_exchange->head.expects_continue) {
        return false;
    }
    const auto remaining_bytes =
        this->current_exchange->request_body.remaining_bytes();
    return !remaining_bytes.has_value() ||
           *remaining_bytes <= this->settings.max_dropped_bytes;
}

} // namespace guavastair::request
