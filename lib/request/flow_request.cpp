#include "flow_state.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <utility>

namespace guavastair::request {

namespace {

using admission::claim_verdict;
using admission::completion;
using admission::request_verdict;
using support::error_kind;

constexpr absl::string_view line_end = "\r\n";

admission::fingerprint fingerprint_of(const request_head& head) {
    const std::string text =
        absl::StrCat(head.message.getMethod(), " ", head.message.getURI(), " ",
                     static_cast<int>(head.body.kind), " ", head.body.length,
                     " ", head.message.get("Content-Type", ""));
    return {XXH3_64bits(text.data(), text.size())};
}

absl::string_view refusal_message(error_kind kind) {
    switch (kind) {
    case error_kind::refused_cold:
        return "the server is starting and takes no more requests yet";
    case error_kind::refused_draining:
        return "the server is leaving and takes no new requests";
    case error_kind::refused_no_server:
        return "no connection to the server";
    case error_kind::deadline_exceeded:
        return "the deadline passed before the request was run";
    default:
        return "the server has no room for the request";
    }
}

} // namespace

// Processes buffered requests until one has to wait.
void flow::state::process_requests(support::instant now, actions& out) {
    while (this->current_phase == phase::reading_head) {
        if (!this->process_request_head(now, out)) {
            return;
        }
    }
}

bool flow::state::process_request_head(support::instant now, actions& out) {
    // Some callers send empty lines after a request body; RFC 9112 allows
    // ignoring them.
    while (absl::StartsWith(this->input, line_end)) {
        this->input.erase(0, line_end.size());
        this->scanner.reset();
    }
    const auto size = this->scanner.find(this->input);
    const std::size_t head_bytes = size.value_or(this->input.size());
    if (head_bytes > this->settings.max_head_bytes) {
        this->is_last_request = true;
        this->fail(now,
                   {error_kind::too_large,
                    absl::StrCat("the request's head is larger than ",
                                 this->settings.max_head_bytes, " bytes"),
                    {}},
                   completion::not_offered, out);
        return false;
    }
    if (!size.has_value()) {
        return false;
    }
    auto head =
        parse_request_head(absl::string_view(this->input).substr(0, *size));
    this->input.erase(0, *size);
    this->scanner.reset();
    if (!head.ok()) {
        this->is_last_request = true;
        this->fail(now,
                   {error_kind::invalid_input,
                    std::string(head.status().message()),
                    {}},
                   completion::not_offered, out);
        return false;
    }
    this->start_request(now, *std::move(head), out);
    return true;
}

void flow::state::start_request(support::instant now, request_head head,
                                actions& out) {
    exchange& e = this->current_exchange.emplace();
    e.head = std::move(head);
    e.method = e.head.message.getMethod();
    e.path = e.head.message.getURI();
    e.path.resize(std::min(e.path.find('?'), e.path.size()));
    e.request_body = body_reader(e.head.body);
    e.request_deadline =
        admission::deadline_after(now, this->settings.request_timeout);
    if (e.head.timeout.has_value()) {
        e.request_deadline =
            admission::earlier(e.request_deadline,
                               admission::deadline_after(now, *e.head.timeout));
    }
    this->is_last_request = !e.head.keep_alive;
    this->last_progress = now;
    if (!e.head.operation.has_value()) {
        this->admit(now, out);
        return;
    }
    e.operation =
        admission::operation_key{this->settings.service, *e.head.operation};
    e.content_fingerprint = fingerprint_of(e.head);
    this->claim(now, out);
}

void flow::state::claim(support::instant now, actions& out) {
    exchange& e = *this->current_exchange;
    const claim_verdict verdict = this->server.operations().claim(
        now, *e.operation, e.content_fingerprint, this->owner);
    switch (verdict) {
    case claim_verdict::run:
        e.has_claim = true;
        this->admit(now, out);
        return;
    case claim_verdict::wait:
        this->current_phase = phase::waiting_claim;
        this->log_decision(request_verdict::wait, std::nullopt, 0, out);
        return;
    case claim_verdict::replay:
        this->replay(now, out);
        return;
    case claim_verdict::unknown:
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    "an earlier request with this key may have been run",
                    {}},
                   completion::not_offered, out);
        return;
    case claim_verdict::mismatch:
        this->fail(now,
                   {error_kind::invalid_input,
                    absl::StrCat(idempotency_key_field,
                                 " was used for another request"),
                    {}},
                   completion::not_offered, out);
        return;
    case claim_verdict::full:
        this->reject(now, error_kind::refused_overloaded,
                     "no room to remember another operation", out);
        return;
    }
}

void flow::state::replay(support::instant now, actions& out) {
    const exchange& e = *this->current_exchange;
    const auto* stored = this->server.operations().find(*e.operation);
    this->to_caller(write_replay(*stored, this->current_response_options()),
                    out);
    this->log_decision(request_verdict::run, std::nullopt, 0, out);
    this->start_next_request(now, out);
}

void flow::state::admit(support::instant now, actions& out) {
    exchange& e = *this->current_exchange;
    this->admitted(
        now, this->server.admit(now, this->owner, e.request_deadline), out);
}

void flow::state::admitted(support::instant now,
                           const admission::request_admission& a,
                           actions& out) {
    exchange& e = *this->current_exchange;
    switch (a.verdict) {
    case request_verdict::run:
        e.ticket = a.id;
        this->current_phase = phase::connecting;
        this->log_decision(a.verdict, std::nullopt, 0, out);
        this->is_server_open = true;
        out.emplace_back(connect_server{});
        return;
    case request_verdict::wait:
        e.ticket = a.id;
        this->current_phase = phase::waiting_slot;
        this->log_decision(a.verdict, std::nullopt, 0, out);
        return;
    case request_verdict::refuse:
        e.ticket.reset();
        this->fail(
            now,
            {a.refusal, std::string(refusal_message(a.refusal)), a.retry_after},
            completion::not_offered, out);
        return;
    }
}

// Sends the head and the buffered part of the body. Once the first byte is
// sent, the server may run the request.
void flow::state::send_request(support::instant now, actions& out) {
    exchange& e = *this->current_exchange;
    const auto remaining_time = admission::remaining_for_next_hop(
        e.request_deadline, now, this->settings.hop_allowance);
    if (remaining_time->ms == 0) {
        this->reject(now, error_kind::deadline_exceeded,
                     refusal_message(error_kind::deadline_exceeded), out);
        return;
    }
    // Invalid chunks in the buffered part are rejected before any byte is sent
    // to the server.
    std::string body;
    const std::size_t used = this->read_request_body(body);
    if (e.request_body.malformed()) {
        this->is_last_request = true;
        this->fail(now,
                   {error_kind::invalid_input,
                    "the request's chunks cannot be read",
                    {}},
                   completion::not_offered, out);
        return;
    }
    e.head.message.set(std::string(request_timeout_field),
                       std::to_string(remaining_time->ms));
    e.head.message.set("Connection", "close");
    if (e.has_claim) {
        this->server.operations().mark_started(now, *e.operation);
    }
    this->current_phase = phase::exchanging;
    out.emplace_back(
        send_to_server{write_head(e.head.message, e.head.body) + body});
    if (e.head.expects_continue && used == 0) {
        this->to_caller(std::string(write_continue()), out);
    }
    if (e.request_body.complete()) {
        this->server.request_forwarded(now, *e.ticket);
    }
}

// Consumes the buffered part of the body and appends it to `bytes` as it is
// sent to the server.
std::size_t flow::state::read_request_body(std::string& bytes) {
    exchange& e = *this->current_exchange;
    if (e.request_body.complete()) {
        return 0;
    }
    std::string payload;
    const std::size_t used = e.request_body.read(this->input, payload);
    this->input.erase(0, used);
    write_body(e.head.body.kind, payload, bytes);
    if (e.request_body.complete()) {
        write_body_end(e.head.body.kind, bytes);
    }
    return used;
}

void flow::state::send_request_body(support::instant now, actions& out) {
    exchange& e = *this->current_exchange;
    if (e.request_body.complete() || this->input.empty()) {
        return;
    }
    std::string bytes;
    this->read_request_body(bytes);
    this->last_progress = now;
    if (e.request_body.malformed()) {
        this->is_last_request = true;
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    "the request's chunks cannot be read",
                    {}},
                   completion::cancelled, out);
        return;
    }
    if (!bytes.empty()) {
        out.emplace_back(send_to_server{std::move(bytes)});
    }
    if (e.request_body.complete()) {
        this->server.request_forwarded(now, *e.ticket);
    }
}

void flow::state::drop_request_body(support::instant now, actions& out) {
    exchange& e = *this->current_exchange;
    std::string payload;
    const std::size_t used = e.request_body.read(this->input, payload);
    this->input.erase(0, used);
    this->dropped_bytes += used;
    this->last_progress = now;
    if (e.request_body.complete()) {
        this->start_next_request(now, out);
        return;
    }
    const bool too_much =
        this->dropped_bytes > this->settings.max_dropped_bytes;
    if (e.request_body.malformed() || too_much) {
        this->close(false, out);
    }
}

} // namespace guavastair::request
