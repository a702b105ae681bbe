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
    this->self->seen = now;
}

flow::~flow() {
    if (this->self != nullptr && !this->closed()) {
        actions ignored;
        this->self->abandon(this->self->seen, ignored);
    }
}

flow::flow(flow&&) noexcept = default;

actions flow::caller_bytes(support::instant now, absl::string_view bytes) {
    state& s = *this->self;
    s.seen = now;
    actions out;
    if (s.now_in == phase::closed || s.caller_gone) {
        return out;
    }
    if (s.now_in == phase::reading_head && s.input.empty()) {
        s.last_progress = now;
    }
    s.input.append(bytes.data(), bytes.size());
    if (s.now_in == phase::exchanging) {
        s.send_request_body(now, out);
    } else if (s.now_in == phase::dropping) {
        s.drop_request_body(now, out);
    }
    s.take_requests(now, out);
    s.set_timer_again(out);
    return out;
}

actions flow::caller_closed(support::instant now) {
    state& s = *this->self;
    s.seen = now;
    actions out;
    if (s.now_in == phase::closed) {
        return out;
    }
    // An operation that others may ask for again is worth its outcome.
    const bool goes_on = s.now_in == phase::exchanging && s.current->claimed &&
                         s.current->request_body.complete() && !s.current->feed;
    s.caller_gone = true;
    s.input.clear();
    if (!goes_on) {
        s.abandon(now, out);
    }
    s.set_timer_again(out);
    return out;
}

void flow::state::abandon(support::instant now, actions& out) {
    const completion how =
        this->offered() ? completion::cancelled : completion::not_offered;
    this->settle(now, how);
    this->leave_server(now, true, how, out);
    this->now_in = phase::closed;
}

actions flow::server_connected(support::instant now) {
    state& s = *this->self;
    s.seen = now;
    actions out;
    if (s.now_in != phase::connecting) {
        return out;
    }
    s.offer(now, out);
    s.take_requests(now, out);
    s.set_timer_again(out);
    return out;
}

actions flow::server_failed(support::instant now) {
    state& s = *this->self;
    s.seen = now;
    actions out;
    if (s.now_in != phase::connecting) {
        return out;
    }
    s.server_open = false;
    const auto refusal = s.server.refuse(now, error_kind::refused_no_server);
    s.fail(now,
           {error_kind::refused_no_server, "no connection to the server",
            refusal.retry_after},
           completion::lost, out);
    s.take_requests(now, out);
    s.set_timer_again(out);
    return out;
}

actions flow::server_bytes(support::instant now, absl::string_view bytes) {
    state& s = *this->self;
    s.seen = now;
    actions out;
    if (s.now_in != phase::exchanging) {
        return out;
    }
    s.last_progress = now;
    s.current->answer_bytes.append(bytes.data(), bytes.size());
    s.take_answer(now, out);
    s.take_requests(now, out);
    s.set_timer_again(out);
    return out;
}

actions flow::server_closed(support::instant now, bool clean) {
    state& s = *this->self;
    if (s.now_in == phase::connecting) {
        return this->server_failed(now);
    }
    s.seen = now;
    actions out;
    if (s.now_in != phase::exchanging) {
        return out;
    }
    s.server_open = false;
    const exchange& e = *s.current;
    const bool whole = clean && e.answer.has_value() &&
                       e.answer->body.kind == framing::until_close;
    if (whole) {
        s.answer_complete(now, out);
    } else {
        s.fail(now,
               {error_kind::request_outcome_unknown,
                "the server closed the connection before its whole answer",
                {}},
               completion::lost, out);
    }
    s.take_requests(now, out);
    s.set_timer_again(out);
    return out;
}

actions flow::wait_ended(support::instant now, const admission::wakeup& wake) {
    state& s = *this->self;
    s.seen = now;
    actions out;
    if (wake.claim_again) {
        if (s.now_in == phase::waiting_claim) {
            s.claim(now, out);
        }
    } else if (s.now_in == phase::waiting_slot) {
        s.admitted(now, wake.admission, out);
    } else if (wake.admission.verdict == request_verdict::run) {
        s.server.finish(now, wake.admission.id, completion::not_offered);
    }
    s.take_requests(now, out);
    s.set_timer_again(out);
    return out;
}

actions flow::timer(support::instant now) {
    state& s = *this->self;
    s.seen = now;
    s.timer_at.reset();
    actions out;
    switch (s.now_in) {
    case phase::reading_head:
        s.check_head(now, out);
        break;
    case phase::waiting_claim:
    case phase::waiting_slot:
    case phase::connecting:
        s.check_wait(now, out);
        break;
    case phase::exchanging:
        s.check_exchange(now, out);
        break;
    case phase::dropping:
        if (now - s.last_progress >= s.settings.progress_timeout) {
            s.close(false, out);
        }
        break;
    case phase::closed:
        break;
    }
    s.take_requests(now, out);
    s.set_timer_again(out);
    return out;
}

/// How long a flow without a request is kept.
support::instant flow::state::idle_until() const {
    const support::instant usual =
        this->last_progress + this->settings.idle_timeout;
    if (!this->draining) {
        return usual;
    }
    return std::min(usual, this->draining_since + this->settings.drain_grace);
}

void flow::state::check_head(support::instant now, actions& out) {
    const support::duration passed = now - this->last_progress;
    if (this->input.empty()) {
        if (now >= this->idle_until()) {
            this->close(false, out);
        }
        return;
    }
    if (passed >= this->settings.head_timeout) {
        this->last_request = true;
        this->give_up(now, error_kind::deadline_exceeded,
                      "the request's head did not come in time", out);
    }
}

void flow::state::check_wait(support::instant now, actions& out) {
    if (!this->current->limit.has_passed(now)) {
        return;
    }
    if (this->now_in == phase::waiting_claim) {
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    "the deadline passed while another request with this key "
                    "was in progress",
                    {}},
                   completion::not_offered, out);
        return;
    }
    this->give_up(now, error_kind::deadline_exceeded,
                  "the deadline passed before the request was run", out);
}

void flow::state::check_exchange(support::instant now, actions& out) {
    exchange& e = *this->current;
    const bool silent =
        now - this->last_progress >= this->settings.progress_timeout;
    if (e.feed) {
        return;
    }
    if (!e.answer.has_value()) {
        const bool body_stalled = silent && !e.request_body.complete();
        if (e.limit.has_passed(now) || body_stalled) {
            this->last_request =
                this->last_request || !e.request_body.complete();
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
    const bool feeds = e.answer->body.kind == framing::chunked ||
                       e.answer->body.kind == framing::until_close;
    if (feeds && now - e.answer_since >= this->settings.feed_after) {
        this->become_feed(now);
        return;
    }
    if (silent) {
        this->fail(now,
                   {error_kind::request_outcome_unknown,
                    "the server's answer stopped",
                    {}},
                   completion::timed_out, out);
    }
}

std::optional<support::instant> flow::state::wanted_timer() const {
    const support::instant progress =
        this->last_progress + this->settings.progress_timeout;
    switch (this->now_in) {
    case phase::reading_head:
        return this->input.empty()
                   ? this->idle_until()
                   : this->last_progress + this->settings.head_timeout;
    case phase::waiting_claim:
    case phase::waiting_slot:
    case phase::connecting:
        return this->current->limit.at;
    case phase::dropping:
        return progress;
    case phase::closed:
        return std::nullopt;
    case phase::exchanging:
        break;
    }
    const exchange& e = *this->current;
    if (e.feed) {
        return std::nullopt;
    }
    if (!e.answer.has_value()) {
        return e.request_body.complete() ? e.limit.at
                                         : std::min(*e.limit.at, progress);
    }
    const bool feeds = e.answer->body.kind == framing::chunked ||
                       e.answer->body.kind == framing::until_close;
    const support::instant feed = e.answer_since + this->settings.feed_after;
    return feeds ? std::min(feed, progress) : progress;
}

// A timer that fires early is set again then, which saves moving it with
// every piece of a body.
void flow::state::set_timer_again(actions& out) {
    const auto wanted = this->wanted_timer();
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
    s.seen = now;
    if (!s.draining) {
        s.draining_since = now;
    }
    s.draining = true;
    actions out;
    s.set_timer_again(out);
    return out;
}

bool flow::wants_caller_bytes() const {
    const state& s = *this->self;
    if (s.now_in == phase::closed || s.caller_gone) {
        return false;
    }
    return s.input.size() < s.settings.max_buffered_bytes;
}

bool flow::idle() const {
    return this->self->now_in == phase::reading_head &&
           this->self->input.empty();
}

bool flow::feeding() const {
    return this->self->now_in == phase::exchanging && this->self->current->feed;
}

bool flow::closed() const {
    return this->self->now_in == phase::closed;
}

} // namespace guavastair::request
