/// State of one request engine, shared by its three parts: request processing,
/// response relaying and the event functions of the public class.

#ifndef GUAVASTAIR_LIB_REQUEST_FLOW_STATE_HPP
#define GUAVASTAIR_LIB_REQUEST_FLOW_STATE_HPP

#include "body.hpp"
#include "head.hpp"
#include "local_responses.hpp"

#include <guavastair/request.hpp>

#include <optional>
#include <string>

namespace guavastair::request {

enum class phase : std::uint8_t {
    /// Between requests, or inside a request's head.
    reading_head,
    /// Another request is running the same operation.
    waiting_claim,
    waiting_slot,
    connecting,
    /// The request was sent to the server; its response is awaited or relayed.
    exchanging,
    /// The response was sent; the rest of the request body is discarded.
    dropping,
    closed,
};

/// One request and its response.
struct exchange {
    request_head head;
    std::string method;
    std::string path;
    body_reader request_body;
    admission::deadline request_deadline;
    std::optional<admission::ticket> ticket;
    std::optional<admission::operation_key> operation;
    admission::fingerprint content_fingerprint;
    bool has_claim = false;

    head_scanner scanner;
    std::string response_bytes;
    std::optional<response_head> response;
    body_reader response_body;
    /// Framing of the response to the caller.
    framing out = framing::none;
    admission::stored_response response_to_store;
    support::instant response_started_at;
    bool is_feed = false;
    /// Whether the whole response was received.
    bool is_response_complete = false;
};

struct flow::state {
    state(flow_settings flow_config, admission::controller& controller,
          std::uint64_t owner_id, support::instant now)
        : settings(std::move(flow_config)), server(controller), owner(owner_id),
          last_progress(now) {}

    // Request processing (flow_request.cpp).
    void process_requests(support::instant now, actions& out);
    bool process_request_head(support::instant now, actions& out);
    void start_request(support::instant now, request_head head, actions& out);
    void claim(support::instant now, actions& out);
    void replay(support::instant now, actions& out);
    void admit(support::instant now, actions& out);
    void admitted(support::instant now, const admission::request_admission& a,
                  actions& out);
    void send_request(support::instant now, actions& out);
    std::size_t read_request_body(std::string& bytes);
    void send_request_body(support::instant now, actions& out);
    void drop_request_body(support::instant now, actions& out);

    // Response relaying (flow_response.cpp).
    void process_response(support::instant now, actions& out);
    bool process_response_head(support::instant now, actions& out);
    void send_response_head(support::instant now, actions& out);
    void send_response_body(support::instant now, actions& out);
    void store_payload(absl::string_view payload);
    void finish_response(support::instant now, actions& out);
    void become_feed(support::instant now);

    // End of a request or flow (flow_response.cpp).
    void fail(support::instant now, failure reported_failure,
              admission::completion how, actions& out);
    void reject(support::instant now, support::error_kind kind,
                absl::string_view message, actions& out);
    void release_server(support::instant now, bool cancel,
                        admission::completion how, actions& out);
    void record_outcome(support::instant now, admission::completion how);
    void start_next_request(support::instant now, actions& out);
    void close(bool reset, actions& out);

    // Shared helpers.
    void to_caller(std::string bytes, actions& out);
    void log_decision(admission::request_verdict verdict,
                      std::optional<support::error_kind> error, int status,
                      actions& out) const;
    bool offered() const;
    response_options current_response_options() const;
    bool may_keep_alive() const;
    bool body_can_be_dropped() const;
    std::optional<support::instant> next_deadline() const;
    support::instant idle_until() const;
    void update_timer(actions& out);
    void abandon(support::instant now, actions& out);
    void check_exchange_timeout(support::instant now, actions& out);
    void check_head_timeout(support::instant now, actions& out);
    void check_wait_timeout(support::instant now, actions& out);

    flow_settings settings;
    admission::controller& server;
    std::uint64_t owner;

    phase current_phase = phase::reading_head;
    std::string input;
    head_scanner scanner;
    std::optional<exchange> current_exchange;
    // Whether the connection closes after the response in progress.
    bool is_last_request = false;
    bool draining = false;
    /// Valid only while draining.
    support::instant drain_started_at;
    bool is_caller_gone = false;
    bool is_server_open = false;
    std::size_t dropped_bytes = 0;
    // Time of the latest event; used by the destructor, which gets no time.
    support::instant last_event_at;
    // Time of the latest progress in the current phase: the first byte of a
    // head, or the latest byte of a body or response.
    support::instant last_progress;
    std::optional<support::instant> timer_at;
};

} // namespace guavastair::request

#endif
