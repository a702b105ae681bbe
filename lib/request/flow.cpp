#include "flow_state.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavastair::request {

namespace {

using admission::completion;
using admission::request_verdict;
using support::error_kind;

} // namespace

flow::flow(flow_settings settings, admission::controller& server,
           std::uint64_t owner, support::instant now)
    : self(std::make_unique<state>(std::move(settings), server, owner, now)) {
    this->self->last_event_at = now;
}

flow::~flow() {
    if (this->self != nullptr && !this->closed()) {
        actions ignored;
        this->self->abandon(this->self->last_event_at, ignored);
    }
}

flow::flow(flow&&) noexcept = default;

actions flow::caller_bytes(support::instant now, absl::string_view bytes) {
    state& s = *this->self;
    s.last_event_at = now;
    actions out;
    if (s.current_phase == phase::closed || s.is_caller_gone) {
        return out;
    }
    if (s.current_phase == phase::reading_head && s.input.empty()) {
        s.last_progress = now;
    }
    s.input.append(bytes.data(), bytes.size());
    if (s.current_phase == phase::exchanging) {
        s.send_request_body(now, out);
    } else if (s.current_phase == phase::dropping) {
        s.drop_request_body(now, out);
    }
    s.process_requests(now, out);
    s.update_timer(out);
    return out;
}

actions flow::caller_closed(support::instant now) {
    state& s = *this->self;
    s.last_event_at = now;
    actions out;
    if (s.current_phase == phase::closed) {
        return out;
    }
    // A repeated request can use the outcome of an operation with a key.
    const bool keep_running = s.current_phase == phase::exchanging &&
                              s.current_exchange->has_claim &&
                              s.current_exchange->request_body.complete() &&
                              !s.current_exchange->is_feed;
    s.is_caller_gone = true;
    s.input.clear();
    if (!keep_running) {
        s.abandon(now, out);
    }
    s.update_timer(out);
    return out;
}

void flow::state::abandon(support::instant now, actions& out) {
    const completion how =
        this->offered() ? completion::cancelled : completion::not_offered;
    this->record_outcome(now, how);
    this->release_server(now, true, how, out);
    this->current_phase = phase::closed;
}

actions flow::server_connected(support::instant now) {
    state& s = *this->self;
    s.last_event_at = now;
    actions out;
    if (s.current_phase != phase::connecting) {
        return out;
    }
    s.send_request(now, out);
    s.process_requests(now, out);
    s.update_timer(out);
    return out;
}

actions flow::server_failed(support::instant now) {
    state& s = *this->self;
    s.last_event_at = now;
    actions out;
    if (s.current_phase != phase::connecting) {
        return out;
    }
    s.is_server_open = false;
    const auto refusal = s.server.refuse(now, error_kind::refused_no_server);
    s.fail(now,
           {error_kind::refused_no_server, "no connection to the server",
            refusal.retry_after},
           completion::lost, out);
    s.process_requests(now, out);
    s.update_timer(out);
    return out;
}

actions flow::server_bytes(support::instant now, absl::string_view bytes) {
    state& s = *this->self;
    s.last_event_at = now;
    actions out;
    if (s.current_phase != phase::exchanging) {
        return out;
    }
    s.last_progress = now;
    s.current_exchange->response_bytes.append(bytes.data(), bytes.size());
    s.process_response(now, out);
    s.process_requests(now, out);
    s.update_timer(out);
    return out;
}

actions flow::server_closed(support::instant now, bool clean) {
    state& s = *this->self;
    if (s.current_phase == phase::connecting) {
        return this->server_failed(now);
    }
    s.last_event_at = now;
    actions out;
    if (s.current_phase != phase::exchanging) {
        return out;
    }
    s.is_server_open = false;
    const exchange& e = *s.current_exchange;
    const bool is_response_complete =
        clean && e.response.has_value() &&
        e.response->body.kind == framing::until_close;
    if (is_response_complete) {
        s.finish_response(now, out);
    } else {
        s.fail(now,
               {error_kind::request_outcome_unknown,
                "the server closed the connection before its whole answer",
                {}},
               completion::lost, out);
    }
    s.process_requests(now, out);
    s.update_timer(out);
    return out;
}

actions flow::wait_ended(support::instant now, const admission::wakeup& wake) {
    state& s = *this->self;
    s.last_event_at = now;
    actions out;
    if (wake.claim_again) {
        if (s.current_phase == phase::waiting_claim) {
            s.claim(now, out);
        }
    } else if (s.current_phase == phase::waiting_slot) {
        s.admitted(now, wake.admission, out);
    } else if (wake.admission.verdict == request_verdict::run) {
        s.server.finish(now, wake.admission.id, completion::not_offered);
    }
    s.process_requests(now, out);
    s.update_timer(out);
    return out;
}

actions flow::timer(support::instant now) {
    state& s = *this->self;
    s.last_event_at = now;
    s.timer_at.reset();
    actions out;
    switch (s.current_phase) {
    case phase::reading_head:
        s.check_head_timeout(now, out);
        break;
    case phase::waiting_claim:
    case phase::waiting_slot:
    case phase::connecting:
        s.check_wait_timeout(now, out);
        break;
    case phase::exchanging:
        s.check_exchange_timeout(now, out);
        break;
    case phase::dropping:
        if (now - s.last_progress >= s.settings.progress_timeout) {
            s.close(false, out);
        }
        break;
    case phase::closed:
        break;
    }
    s.process_requests(now, out);
    s.update_timer(out);
    return out;
}

/// Time at which a flow without a request is closed.
support::instant flow::state::idle_until() const {
    const support::instant idle_deadline =
        this->last_progress + this->settings.idle_timeout;
    if (!this->draining) {
        return idle_deadline;
    }
    return std::min(idle_deadline,
                    this->drain_started_at + this->settings.drain_grace);
}

void flow::state::check_head_timeout(support::instant now, actions& out) {
    const support::duration elapsed = now - this->last_progress;
    if (this->input.empty()) {
        if (now >= this->idle_until()) {
            this->close(false, out);
        }
        return;
    }
    if (elapsed >= this->settings.head_timeout) {
        this->is_last_request = true;
        this->reject(now, error_kind::deadline_exceeded,
                     "the request's head did not come in time", out);
    }
}

void flow::state::check_wait_timeout(support::instant now, actions& out) {
    if (!this->current_exchange->request_deadline.has_passed(now)) {
        return;
    }
    if (this->current_phase == phase::waiting_claim) {
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    "the deadline passed while another request with this key "
                    "was in progress",
                    {}},
                   completion::not_offered, out);
        return;
    }
    this->reject(now, error_kind::deadline_exceeded,
                 "the deadline passed before the request was run", out);
}

void flow::state::check_exchange_timeout(support::instant now, actions& out) {
    exchange& e = *this->current_exchange;
    const bool is_stalled =
        now - this->last_progress >= this->settings.progress_timeout;
    if (e.is_feed) {
        return;
    }
    if (!e.response.has_value()) {
        const bool body_stalled = is_stalled && !e.request_body.complete();
        if (e.request_deadline.has_passed(now) || body_stalled) {
            this->is_last_request =
                this->is_last_request || !e.request_body.complete();
            this->fail(now,
                       {error_kind::request_outcome_unknown,
                        "no answer came before the deadline",
                        {}},
                       body_stalled ? completion::cancelled
                                    : completion::timed_out,
                       out);
        }
        return;
    }
    const bool may_be_feed = e.response->body.kind == framing::chunked ||
                             e.response->body.kind == framing::until_close;
    if (may_be_feed &&
        now - e.response_started_at >= this->settings.feed_after) {
        this->become_feed(now);
        return;
    }
    if (is_stalled) {
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    "the server's answer stopped",
                    {}},
                   completion::timed_out, out);
    }
}

std::optional<support::instant> flow::state::next_deadline() const {
    const support::instant progress =
        this->last_progress + this->settings.progress_timeout;
    switch (this->current_phase) {
    case phase::reading_head:
        return this->input.empty()
                   ? this->idle_until()
                   : this->last_progress + this->settings.head_timeout;
    case phase::waiting_claim:
    case phase::waiting_slot:
    case phase::connecting:
        return this->current_exchange->request_deadline.at;
    case phase::dropping:
        return progress;
    case phase::closed:
        return std::nullopt;
    case phase::exchanging:
        break;
    }
    const exchange& e = *this->current_exchange;
    if (e.is_feed) {
        return std::nullopt;
    }
    if (!e.response.has_value()) {
        return e.request_body.complete()
                   ? e.request_deadline.at
                   : std::min(*e.request_deadline.at, progress);
    }
    const bool may_be_feed = e.response->body.kind == framing::chunked ||
                             e.response->body.kind == framing::until_close;
    const support::instant feed_start =
        e.response_started_at + this->settings.feed_after;
    return may_be_feed ? std::min(feed_start, progress) : progress;
}

// A timer that is set to an earlier time stays and is set again when it
// expires. This avoids a timer update for every part of a body.
void flow::state::update_timer(actions& out) {
    const auto wanted = this->next_deadline();
    if (!wanted.has_value()) {
        if (this->timer_at.has_value()) {
            out.emplace_back(stop_timer{});
        }
        this->timer_at.reset();
        return;
    }
    if (this->timer_at.has_value() && *this->timer_at <= *wanted) {
        return;
    }
    this->timer_at = wanted;
    out.emplace_back(set_timer{*wanted});
}

actions flow::drain(support::instant now) {
    state& s = *this->self;
    s.last_event_at = now;
    if (!s.draining) {
        s.drain_started_at = now;
    }
    s.draining = true;
    actions out;
    s.update_timer(out);
    return out;
}

bool flow::wants_caller_bytes() const {
    const state& s = *this->self;
    if (s.current_phase == phase::closed || s.is_caller_gone) {
        return false;
    }
    return s.input.size() < s.settings.max_buffered_bytes;
}

bool flow::idle() const {
    return this->self->current_phase == phase::reading_head &&
           this->self->input.empty();
}

bool flow::is_feeding() const {
    return this->self->current_phase == phase::exchanging &&
           this->self->current_exchange->is_feed;
}

bool flow::closed() const {
    return this->self->current_phase == phase::closed;
}

} // namespace guavastair::request
