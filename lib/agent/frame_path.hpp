#ifndef GUAVASTAIR_LIB_AGENT_FRAME_PATH_HPP
#define GUAVASTAIR_LIB_AGENT_FRAME_PATH_HPP

#include "opening_admission_policy.hpp"

#include <guavastair/agent.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace guavastair::agent {

/// The packet path of an agent: receives frames, asks the flow table for a
/// decision and sends packets to the TCP stack, to other agents and to callers.
class frame_path {
public:
    using packet_sink = std::function<void(std::span<const std::byte>)>;

    frame_path(net::event_loop& events, const agent_options& agent_config,
               agent_observer& event_observer, agent_counters& shared_counters,
               admission::controller& controller, net::udp_socket frame_socket);
    ~frame_path();
    frame_path(const frame_path&) = delete;
    frame_path& operator=(const frame_path&) = delete;

    /// Starts receiving. `deliver` receives the packets of flows on this agent.
    /// Returns the error of the event loop's watch.
    absl::Status start(packet_sink deliver);

    /// Queues a packet of the TCP stack for the return path to the caller.
    void send_to_caller(std::span<const std::byte> packet);

    void set_view(std::shared_ptr<const placement::fleet_view> view);
    void set_max_connections(std::size_t limit);

    const net::udp_socket& udp() const {
        return this->socket;
    }
    flow::flow_table& table() {
        return this->flows;
    }
    const flow::flow_table& table() const {
        return this->flows;
    }

private:
    void receive();
    /// Notifies the flow table of members that are no longer in `own`.
    void report_departed_members(const placement::service_table* own);
    void handle_frame(const net::datagram& item,
                      const placement::service_table* own);
    void handle_packet(const flow::frame& frame,
                       const placement::service_table* own);
    void execute(const flow::agent_action& action, const flow::packet& packet,
                 std::span<const std::byte> bytes);
    void observe(const flow::agent_action& action, const flow::packet& packet);
    void count_dropped_frame(support::endpoint from, flow::drop_reason reason);
    bool consume_observation_quota();
    void on_second_elapsed();

    net::event_loop& loop;
    const agent_options& options;
    agent_observer& observer;
    agent_counters& counters;
    net::udp_socket socket;
    flow::flow_table flows;
    opening_admission_policy opening_policy;
    std::atomic<std::shared_ptr<const placement::fleet_view>> view;
    /// The view whose members were last compared for the flow table.
    std::shared_ptr<const placement::fleet_view> last_view;
    std::vector<support::member_id> last_members;
    packet_sink stack_input;
    net::timer_id second_timer;
    net::timer_id flush_callback;
    std::uint32_t observed_this_second = 0;
};

} // namespace guavastair::agent

#endif
