/// The agent: holds the flows of one backend server. It takes frames from
/// balancers and other agents, ends the callers' TCP in user space and relays
/// each connection to the server over ordinary local TCP.

#ifndef GUAVASTAIR_AGENT_HPP
#define GUAVASTAIR_AGENT_HPP

#include <guavastair/admission.hpp>
#include <guavastair/flow.hpp>
#include <guavastair/net.hpp>
#include <guavastair/placement.hpp>
#include <guavastair/request.hpp>
#include <guavastair/support.hpp>

#include <absl/status/statusor.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

namespace guavastair::agent {

/// What a flow carries.
enum class protocol : std::uint8_t {
    /// Bytes that the agent does not look into.
    tcp,
    /// HTTP/1.1, admitted request by request.
    http,
};

/// How an agent is opened.
struct agent_options {
    support::member_id id;
    /// Where frames are received.
    support::endpoint listen;
    support::service_name service;
    /// The address that callers connect to.
    support::endpoint service_address;
    protocol flow_protocol = protocol::tcp;
    /// The backend server.
    support::endpoint server;
    /// Where the packets for callers go, one in each UDP datagram.
    support::endpoint return_path;
    /// Most flows at the same time.
    std::uint32_t max_connections = 1000;
    /// Longest wait for the server to accept a connection.
    support::duration connect_timeout = support::seconds(2);
    /// For so long a draining agent still runs requests on open flows; later
    /// ones are refused as not run.
    support::duration drain_serving_time = support::milliseconds(1500);
    flow::flow_table_settings flows;
    admission::controller_settings admission;
    request::flow_settings requests;
    net::tcp_stack_options tcp;
    /// Datagrams in one system call.
    std::size_t batch = 64;
    /// Most drops, resets and pass-ons of packets that open nothing in one
    /// second that the observer hears of. All are counted.
    std::uint32_t observed_packets_per_second = 10;
};

/// What an agent has done since it was opened.
struct agent_counters {
    std::uint64_t frames = 0;
    /// Decisions by flow::action_kind.
    std::uint64_t delivered = 0;
    std::uint64_t passed_on = 0;
    std::uint64_t resets = 0;
    /// Dropped frames and packets by flow::drop_reason.
    std::array<std::uint64_t, flow::drop_reason_count> dropped{};
    std::uint64_t flows_opened = 0;
    /// Ended by caller and server.
    std::uint64_t flows_finished = 0;
    /// Reset by the caller, or the caller is gone.
    std::uint64_t flows_lost = 0;
    /// Reset because the server could not be reached or broke off.
    std::uint64_t server_failures = 0;
    /// Reset at the end of a planned stop's time.
    std::uint64_t flows_cut = 0;
    std::uint64_t bytes_to_server = 0;
    std::uint64_t bytes_to_caller = 0;
    net::udp_counters socket;
    net::tcp_stack_counters stack;

    std::uint64_t dropped_for(flow::drop_reason reason) const {
        return this->dropped[static_cast<std::size_t>(reason)];
    }
};

/// Why a flow ended.
enum class flow_end : std::uint8_t {
    finished,
    caller_lost,
    server_unreachable,
    server_lost,
    stopped,
};

/// Stable name for logs.
absl::string_view to_string(flow_end end);

/// Hears of the decisions that are worth a log line. Called on the loop's
/// thread from within the packet path, so it must be quick.
class agent_observer {
public:
    virtual ~agent_observer() = default;

    /// A decision about a packet: every opening one, and others within the
    /// limit of observed_packets_per_second.
    virtual void on_packet(const flow::packet& packet,
                           const flow::agent_action& action) = 0;

    /// A frame that could not be read, within the same limit.
    virtual void on_bad_frame(support::endpoint from,
                              flow::drop_reason reason) = 0;

    virtual void on_flow_ended(support::endpoint caller, flow_end end) = 0;

    /// `http`: what became of a request.
    virtual void on_request(support::endpoint caller,
                            const request::decision& what) = 0;
};

/// Serves flows on an event loop. All calls but set_view belong to the loop's
/// thread. A process has one agent for each service address, because its TCP
/// stack is process-wide.
class agent {
public:
    /// Opens the sockets and starts to serve. `loop` and `observer` must
    /// outlive the agent. Fails as udp_socket::open does.
    static absl::StatusOr<std::unique_ptr<agent>>
    open(net::event_loop& loop, const agent_options& options,
         agent_observer& observer);

    /// Drops all flows without a word.
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    /// Replaces the view by which packets are passed on. From any thread.
    /// `view` must not be null.
    void set_view(std::shared_ptr<const placement::fleet_view> view);

    /// The address that frames are taken at.
    support::endpoint local() const;

    /// A draining agent takes no new flows and keeps those it has. With
    /// protocol http each flow is closed after the request in progress.
    void set_draining(bool draining);

    /// Changes the most flows at the same time; flows that are open stay.
    void set_max_connections(std::uint32_t limit);

    /// Drains, and calls `done` once no flow is left, at the latest after
    /// `bound`; what is left then is reset and counted as cut.
    void stop(support::duration bound, std::function<void()> done);

    /// Flows from handshake to end.
    std::size_t active_flows() const;

    agent_counters counters() const;

    /// The admission of this agent's server.
    const admission::controller& admission() const;

    /// For hints from the server's health and load endpoints.
    admission::controller& admission();

private:
    struct implementation;
    explicit agent(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::agent

#endif
