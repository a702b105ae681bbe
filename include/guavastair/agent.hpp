/// The agent holds the flows of one backend server. It receives frames from
/// balancers and other agents, terminates the callers' TCP connections in user
/// space and relays each connection to the server over kernel TCP.

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

/// The application protocol of a service's flows.
enum class protocol : std::uint8_t {
    /// Opaque bytes; the agent relays them without parsing.
    tcp,
    /// HTTP/1.1 with admission of each request.
    http,
};

/// Options of agent::open.
struct agent_options {
    support::member_id id;
    /// Address on which frames are received.
    support::endpoint listen;
    support::service_name service;
    /// The address that callers connect to.
    support::endpoint service_address;
    protocol flow_protocol = protocol::tcp;
    /// Address of the backend server.
    support::endpoint server;
    /// Destination of packets to callers, one packet per UDP datagram.
    support::endpoint return_path;
    /// Maximum number of concurrent flows.
    std::uint32_t max_connections = 1000;
    /// Maximum time to connect to the server.
    support::duration connect_timeout = support::seconds(2);
    /// Time after the start of draining in which requests on open flows are
    /// still run; later requests are refused as not run.
    support::duration drain_serving_time = support::milliseconds(1500);
    flow::flow_table_settings flows;
    admission::controller_settings admission;
    request::flow_settings requests;
    net::tcp_stack_options tcp;
    /// Maximum number of datagrams in one system call.
    std::size_t batch = 64;
    /// Maximum number of drops, resets and forwards to other agents that are
    /// reported to the observer in one second. Packets with an initial SYN are
    /// reported without this limit. All are counted.
    std::uint32_t observed_packets_per_second = 10;
};

/// Counters since the agent was opened.
struct agent_counters {
    std::uint64_t frames = 0;
    /// Packets by flow::action_kind.
    std::uint64_t delivered = 0;
    std::uint64_t passed_on = 0;
    std::uint64_t resets = 0;
    /// Dropped frames and packets by flow::drop_reason.
    std::array<std::uint64_t, flow::drop_reason_count> dropped{};
    std::uint64_t flows_opened = 0;
    /// Closed in order by caller and server.
    std::uint64_t flows_finished = 0;
    /// Reset by the caller, or the caller is unreachable.
    std::uint64_t flows_lost = 0;
    /// Failures of the connection to the server: it could not be opened, or the
    /// flow was reset because it broke off.
    std::uint64_t server_failures = 0;
    /// Reset when the time limit of a planned stop expired.
    std::uint64_t flows_cut = 0;
    std::uint64_t bytes_to_server = 0;
    std::uint64_t bytes_to_caller = 0;
    net::udp_counters socket;
    net::tcp_stack_counters stack;

    std::uint64_t dropped_for(flow::drop_reason reason) const {
        return this->dropped[static_cast<std::size_t>(reason)];
    }
};

/// Reason for the end of a flow.
enum class flow_end : std::uint8_t {
    finished,
    caller_lost,
    server_unreachable,
    server_lost,
    stopped,
};

/// Stable name for logs.
absl::string_view to_string(flow_end end);

/// Receives the decisions that are logged. It is called on the loop's thread
/// from the packet path, so it must return quickly.
class agent_observer {
public:
    virtual ~agent_observer() = default;

    /// Reports the decision about a packet: every packet with an initial SYN;
    /// of the other packets those that were not delivered, up to
    /// observed_packets_per_second.
    virtual void on_packet(const flow::packet& packet,
                           const flow::agent_action& action) = 0;

    /// Reports a malformed frame, subject to the same limit.
    virtual void on_bad_frame(support::endpoint from,
                              flow::drop_reason reason) = 0;

    virtual void on_flow_ended(support::endpoint caller, flow_end end) = 0;

    /// Reports a decision about a request. Called with protocol http only.
    virtual void on_request(support::endpoint caller,
                            const request::decision& what) = 0;
};

/// Serves flows on an event loop. All functions except set_view must be called
/// on the loop's thread. A process has at most one agent for each service
/// address, because its TCP stack is process-wide.
class agent {
public:
    /// Opens the sockets and starts serving. `loop` and `observer` must outlive
    /// the agent. Returns the errors of udp_socket::open, of the TCP stack's
    /// listen and of the event loop's watch.
    static absl::StatusOr<std::unique_ptr<agent>>
    open(net::event_loop& loop, const agent_options& options,
         agent_observer& observer);

    /// Destroys all flows without reporting them to the observer.
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    /// Replaces the view that decides to which agent packets are passed on. May
    /// be called from any thread. `view` must not be null.
    void set_view(std::shared_ptr<const placement::fleet_view> view);

    /// The address on which frames are received.
    support::endpoint local() const;

    /// Starts or ends draining. A draining agent accepts no new flows and keeps
    /// the open ones. With protocol http each flow closes after the request in
    /// progress.
    void set_draining(bool draining);

    /// Sets the maximum number of concurrent flows. Open flows are kept.
    void set_max_connections(std::uint32_t limit);

    /// Drains and calls `done` when no flow is left. Flows that are still open
    /// after `bound` are reset and counted in flows_cut.
    void stop(support::duration bound, std::function<void()> done);

    /// Number of established flows that have not ended.
    std::size_t active_flows() const;

    agent_counters counters() const;

    /// The admission controller of this agent's server.
    const admission::controller& admission() const;

    /// Mutable access, to apply hints from the server's health and load
    /// endpoints.
    admission::controller& admission();

private:
    struct implementation;
    explicit agent(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::agent

#endif
