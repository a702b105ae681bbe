/// State of one flow's engine, shared by its three parts: taking requests,
/// relaying answers, and the events of the public class.

#ifndef GUAVASTAIR_LIB_REQUEST_FLOW_STATE_HPP
#define GUAVASTAIR_LIB_REQUEST_FLOW_STATE_HPP

#include "answers.hpp"
#include "body.hpp"
#include "head.hpp"

#include <guavastair/request.hpp>

#include <optional>
#include <string>

namespace guavastair::request {

enum class phase : std::uint8_t {
    /// Between requests, or inside a request's head.
    reading_head,
    /// Another request runs the same operation.
    waiting_claim,
    waiting_slot,
    connecting,
    /// The request was offered; its answer is awaited or relayed.
    exchanging,
    /// Answered; the rest of the request's body is read and dropped.
    dropping,
    closed,
};

/// One request and its answer.
struct exchange {
    request_head head;
    std::string method;
    std::string path;
    body_reader request_body;
    admission::deadline limit;
    std::optional<admission::ticket> ticket;
    std::optional<admission::operation_key> operation;
    admission::fingerprint content;
    bool claimed = false;

    head_finder finder;
    std::string answer_bytes;
    std::optional<answer_head> answer;
    body_reader answer_body;
    /// Framing of the answer towards the caller.
    framing out = framing::none;
    admission::stored_response kept;
    support::instant answer_since;
    bool feed = false;
    /// Whether the whole answer has come.
    bool whole = false;
};

struct flow::state {
    state(flow_settings chosen, admission::controller& controller,
          std::uint64_t number, support::instant now)
        : settings(std::move(chosen)), server(controller), owner(number),
          last_progress(now) {}

    // Taking requests (flow_request.cpp).
    void take_requests(support::instant now, actions& out);
    bool take_head(support::instant now, actions& out);
    void begin(support::instant now, request_head head, actions& out);
    void claim(support::instant now, actions& out);
    void replay(support::instant now, actions& out);
    void admit(support::instant now, actions& out);
    void admitted(support::instant now, const admission::request_admission& a,
                  actions& out);
    void offer(support::instant now, actions& out);
    std::size_t read_request_body(std::string& bytes);
    void send_request_body(support::instant now, actions& out);
    void drop_request_body(support::instant now, actions& out);

    // Relaying answers (flow_answer.cpp).
    void take_answer(support::instant now, actions& out);
    bool take_answer_head(support::instant now, actions& out);
    void send_answer_head(support::instant now, actions& out);
    void send_answer_body(support::instant now, actions& out);
    void keep(absl::string_view payload);
    void answer_complete(support::instant now, actions& out);
    void become_feed(support::instant now);

    // Endings (flow_answer.cpp).
    void fail(support::instant now, failure why, admission::completion how,
              actions& out);
    void give_up(support::instant now, support::error_kind kind,
                 absl::string_view message, actions& out);
    void leave_server(support::instant now, bool cancel,
                      admission::completion how, actions& out);
    void settle(support::instant now, admission::completion how);
    void next_request(support::instant now, actions& out);
    void close(bool reset, actions& out);

    // Common.
    void to_caller(std::string bytes, actions& out);
    void note(admission::request_verdict verdict,
              std::optional<support::error_kind> error, int status,
              actions& out) const;
    bool offered() const;
    answer_form form() const;
    bool may_keep_alive() const;
    bool body_can_be_dropped() const;
    std::optional<support::instant> wanted_timer() const;
    support::instant idle_until() const;
    void set_timer_again(actions& out);
    void abandon(support::instant now, actions& out);
    void check_exchange(support::instant now, actions& out);
    void check_head(support::instant now, actions& out);
    void check_wait(support::instant now, actions& out);

    flow_settings settings;
    admission::controller& server;
    std::uint64_t owner;

    phase now_in = phase::reading_head;
    std::string input;
    head_finder finder;
    std::optional<exchange> current;
    // Whether the connection ends after the answer in progress.
    bool last_request = false;
    bool draining = false;
    /// Meaningful while draining.
    support::instant draining_since;
    bool caller_gone = false;
    bool server_open = false;
    std::size_t dropped = 0;
    // Time of the latest event, for the clean-up of a flow that is dropped.
    support::instant seen;
    // Latest sign of life in the present phase: first byte of a head, last
    // byte of a body or answer.
    support::instant last_progress;
    std::optional<support::instant> timer_at;
};

} // namespace guavastair::request

#endif
