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
// Beyond this the body is not kept for repeats.
constexpr std::size_t max_kept_bytes = std::size_t{1024} * 1024;

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

void flow::state::take_answer(support::instant now, actions& out) {
    while (!this->current->answer.has_value()) {
        if (!this->take_answer_head(now, out)) {
            return;
        }
    }
    this->send_answer_body(now, out);
}

// False when the head is incomplete or cannot be read.
bool flow::state::take_answer_head(support::instant now, actions& out) {
    exchange& e = *this->current;
    const auto size = e.finder.find(e.answer_bytes);
    const std::size_t seen = size.value_or(e.answer_bytes.size());
    if (seen > this->settings.max_head_bytes) {
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
    auto head = read_answer_head(
        absl::string_view(e.answer_bytes).substr(0, *size), e.method);
    e.answer_bytes.erase(0, *size);
    e.finder.reset();
    if (!head.ok()) {
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    std::string(head.status().message()),
                    {}},
                   completion::failed, out);
        return false;
    }
    // The flow itself has told the caller to continue.
    if (head->interim) {
        return true;
    }
    e.answer = *std::move(head);
    this->send_answer_head(now, out);
    return true;
}

void flow::state::send_answer_head(support::instant now, actions& out) {
    exchange& e = *this->current;
    const body_shape shape = e.answer->body;
    e.answer_body = body_reader(shape);
    e.answer_since = now;
    this->last_progress = now;
    e.out = shape.kind;
    if (has_no_length(shape.kind)) {
        e.out = e.head.http_1_0 ? framing::until_close : framing::chunked;
    }
    Poco::Net::HTTPResponse& message = e.answer->message;
    if (e.claimed) {
        e.kept.head = write_head(message, {});
    }
    message.setVersion(e.head.http_1_0 ? "HTTP/1.0" : "HTTP/1.1");
    if (!this->may_keep_alive()) {
        this->last_request = true;
        message.set("Connection", "close");
    }
    this->to_caller(write_head(message, {e.out, shape.length}), out);
    if (e.answer->event_stream && has_no_length(shape.kind)) {
        this->server.finish(now, *e.ticket, completion::answered);
        e.ticket.reset();
        e.feed = true;
    }
}

void flow::state::send_answer_body(support::instant now, actions& out) {
    exchange& e = *this->current;
    std::string payload;
    e.answer_body.read(e.answer_bytes, payload);
    e.answer_bytes.clear();
    if (!payload.empty()) {
        this->keep(payload);
        std::string bytes;
        write_body(e.out, payload, bytes);
        this->to_caller(std::move(bytes), out);
    }
    if (e.answer_body.broken()) {
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    "the chunks of the server's answer cannot be read",
                    {}},
                   completion::failed, out);
        return;
    }
    if (e.answer_body.complete()) {
        this->answer_complete(now, out);
    }
}

void flow::state::keep(absl::string_view payload) {
    exchange& e = *this->current;
    if (!e.claimed || !e.kept.body_stored) {
        return;
    }
    if (e.kept.body.size() + payload.size() > max_kept_bytes) {
        e.kept.body_stored = false;
        e.kept.body.clear();
        return;
    }
    e.kept.body.append(payload.data(), payload.size());
}

void flow::state::answer_complete(support::instant now, actions& out) {
    exchange& e = *this->current;
    std::string end;
    write_body_end(e.out, end);
    if (!end.empty()) {
        this->to_caller(std::move(end), out);
    }
    const completion how = completion_of(e.answer->status);
    e.whole = true;
    this->settle(now, how);
    this->leave_server(now, false, how, out);
    this->next_request(now, out);
}

void flow::state::become_feed(support::instant now) {
    exchange& e = *this->current;
    this->server.finish(now, *e.ticket, completion::became_feed);
    e.ticket.reset();
    e.feed = true;
}

// Ends the request in progress with an answer of the agent's own or, when an
// answer has begun, by cutting it visibly short.
void flow::state::fail(support::instant now, failure why, completion how,
                       actions& out) {
    const bool begun =
        this->current.has_value() && this->current->answer.has_value();
    this->settle(now, how);
    this->leave_server(now, true, how, out);
    if (begun) {
        this->note(request_verdict::run, why.kind, 0, out);
        this->close(true, out);
        return;
    }
    const auto verdict = how == completion::not_offered
                             ? request_verdict::refuse
                             : request_verdict::run;
    const int status = support::properties_of(why.kind).http_status;
    this->note(verdict, why.kind, status, out);
    this->to_caller(write_failure(why, this->form()), out);
    this->next_request(now, out);
}

void flow::state::give_up(support::instant now, error_kind kind,
                          absl::string_view message, actions& out) {
    const auto refusal = this->server.refuse(now, kind);
    this->fail(now, {kind, std::string(message), refusal.retry_after},
               completion::not_offered, out);
}

// Records what is known of the operation once its request has ended.
void flow::state::settle(support::instant now, completion how) {
    if (!this->current.has_value() || !this->current->operation.has_value()) {
        return;
    }
    exchange& e = *this->current;
    auto& operations = this->server.operations();
    if (!e.claimed) {
        operations.stop_waiting(*e.operation, this->owner);
        return;
    }
    e.claimed = false;
    // A server that refuses says itself that it did not run the request.
    const bool refused = e.whole && how == completion::refused_by_server;
    if (!this->offered() || refused) {
        operations.release(now, *e.operation);
        return;
    }
    if (e.whole) {
        operations.complete(now, *e.operation, std::move(e.kept));
        return;
    }
    operations.mark_outcome_unknown(now, *e.operation);
}

void flow::state::leave_server(support::instant now, bool cancel,
                               completion how, actions& out) {
    if (this->server_open) {
        out.emplace_back(close_server{cancel});
        this->server_open = false;
    }
    if (!this->current.has_value() || !this->current->ticket.has_value()) {
        return;
    }
    this->server.finish(now, *this->current->ticket, how);
    this->current->ticket.reset();
}

void flow::state::next_request(support::instant now, actions& out) {
    if (this->caller_gone) {
        this->now_in = phase::closed;
        return;
    }
    this->last_progress = now;
    if (!this->may_keep_alive()) {
        this->close(false, out);
        return;
    }
    if (this->current.has_value() && !this->current->request_body.complete()) {
        this->now_in = phase::dropping;
        this->dropped = 0;
        this->drop_request_body(now, out);
        return;
    }
    this->current.reset();
    this->now_in = phase::reading_head;
}

void flow::state::close(bool reset, actions& out) {
    this->now_in = phase::closed;
    this->input.clear();
    out.emplace_back(close_caller{reset});
}

void flow::state::to_caller(std::string bytes, actions& out) {
    if (!this->caller_gone) {
        out.emplace_back(send_to_caller{std::move(bytes)});
    }
}

void flow::state::note(request_verdict verdict, std::optional<error_kind> error,
                       int status, actions& out) const {
    decision made{verdict, error, {}, {}, status};
    if (this->current.has_value()) {
        made.method = this->current->method;
        made.path = this->current->path;
    }
    out.emplace_back(std::move(made));
}

bool flow::state::offered() const {
    return this->now_in == phase::exchanging;
}

answer_form flow::state::form() const {
    answer_form wanted;
    wanted.close = !this->may_keep_alive();
    if (this->current.has_value()) {
        wanted.http_1_0 = this->current->head.http_1_0;
        wanted.head_only = this->current->method == "HEAD";
    }
    return wanted;
}

bool flow::state::may_keep_alive() const {
    return !this->last_request && !this->draining &&
           this->body_can_be_dropped();
}

// Whether the flow can go on to the next request behind the present body.
bool flow::state::body_can_be_dropped() const {
    if (!this->current.has_value() || this->current->request_body.complete()) {
        return true;
    }
    // A caller that waits for "100 Continue" may never send its body.
    if (this->current->head.expects_continue) {
        return false;
    }
    const auto left = this->current->request_body.left();
    return !left.has_value() || *left <= this->settings.max_dropped_bytes;
}

} // namespace guavastair::request
