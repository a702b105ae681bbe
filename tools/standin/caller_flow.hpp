/// One connection of the caller stand-in.

#ifndef GUAVASTAIR_TOOLS_STANDIN_CALLER_FLOW_HPP
#define GUAVASTAIR_TOOLS_STANDIN_CALLER_FLOW_HPP

#include "answer_check.hpp"
#include "caller.hpp"

#include <boost/histogram.hpp>

#include <chrono>
#include <functional>
#include <tuple>

namespace guavastair::standin {

/// Latencies in milliseconds.
using latency_histogram =
    boost::histogram::histogram<std::tuple<boost::histogram::axis::regular<
        double, boost::histogram::axis::transform::log>>>;

/// State shared by all connections of a caller.
struct caller_context {
    net::event_loop& loop;
    const caller_options& options;
    caller_summary& summary;
    latency_histogram& latencies;
    net::tcp_stack& stack;
    /// Whether new requests are no longer sent.
    bool is_stopping = false;
    std::uint16_t next_port = 0;
    std::uint64_t next_order = 0;
    /// Called when a connection finishes and is not reopened.
    std::function<void()> on_flow_finished;
};

/// Opens a connection, sends requests, checks the responses and reconnects.
class caller_flow final : public net::tcp_handler {
public:
    explicit caller_flow(caller_context& shared);
    ~caller_flow() override;
    caller_flow(const caller_flow&) = delete;
    caller_flow& operator=(const caller_flow&) = delete;

    void start();
    /// Finishes immediately if no request is in flight.
    void stop();
    bool is_finished() const {
        return this->finished;
    }
    bool is_open() const {
        return this->is_established;
    }

    void on_connected(net::tcp_connection& opened) override;
    void on_readable(net::tcp_connection& readable) override;
    void on_writable(net::tcp_connection& writable) override;
    void on_end(net::tcp_connection& ended) override;
    void on_failed(net::tcp_connection& failed,
                   const absl::Status& reason) override;

private:
    using time_point = std::chrono::steady_clock::time_point;

    void send_request();
    std::string make_request();
    /// Writes as much of the request body as the send buffer accepts.
    void send_body();
    void process_bytes(absl::string_view bytes);
    void record_feed_progress(absl::string_view body);
    void finish_answer();
    void count_answer();
    void handle_timeout();
    void count_failure();
    void close_connection();
    void schedule_reconnect(support::duration delay);
    void done();

    caller_context& context;
    net::tcp_connection* connection = nullptr;
    bool is_established = false;
    bool is_request_in_flight = false;
    bool finished = false;
    /// Requests sent on the current connection.
    std::size_t requests_sent = 0;
    std::uint64_t body_sent = 0;
    std::uint64_t body_size = 0;
    time_point request_sent_at;
    time_point last_line_at;
    expected_body expected;
    answer_reader answer;
    net::timer_id timeout;
    net::timer_id pause;
};

} // namespace guavastair::standin

#endif
