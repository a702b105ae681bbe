/// One run of the flow search test. Private to the fakes.

#ifndef GUAVASTAIR_UNITTESTS_SIMULATION_HPP
#define GUAVASTAIR_UNITTESTS_SIMULATION_HPP

#include "caller_fake.hpp"

namespace fake {

inline constexpr std::int64_t run_ms = 600'000;
inline constexpr std::int64_t initial_timeout_ms = 200;
inline constexpr std::int64_t max_timeout_ms = 6400;
inline constexpr std::int64_t close_delay_ms = 15'000;
inline constexpr std::int64_t caller_timeout_ms = 60'000;

enum class caller_state { opening, established, ended };

/// One flow: the state of its caller, and its owner in the model.
struct caller_flow {
    support::endpoint caller;
    caller_state state = caller_state::opening;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::size_t packets_left = 0;
    bool is_awaiting_reply = false;
    std::int64_t sent_ms = 0;
    /// Number of packets sent, not counting retransmissions. Identifies timers
    /// of earlier packets as stale.
    std::uint64_t send_id = 0;
    /// The agent whose SYN-ACK established the flow. Together these fields form
    /// the model's global map of flows to owners.
    support::member_id owner;
    support::data_centre_name owner_data_centre;
    bool is_owner_lost = false;
};

class simulation {
public:
    simulation(scheme& under_test, const run_options& options);
    run_result run();

private:
    void open_flow(std::size_t index);
    void send_next_packet(std::size_t index);
    void transmit(std::size_t index, std::int64_t timeout_ms);
    flow::packet current_packet(std::size_t index) const;
    void send_to_balancer(std::size_t index, const flow::packet& packet,
                          std::int64_t delay_ms);
    void send_to_agent(std::size_t index, const flow::packet& packet,
                       const flow::frame_header& header);
    void receive(std::size_t index, const flow::packet& packet,
                 const flow::frame_header& header);
    void deliver(std::size_t index, const flow::packet& packet, agent& receiver,
                 const flow::frame_header& header, flow::decision_basis basis);
    void handle_opening(std::size_t index, agent& receiver);
    void schedule_syn_ack_retries(std::size_t index, support::endpoint address,
                                  std::uint32_t sequence);
    void send_syn_ack(std::size_t index, const agent& from,
                      std::uint32_t sequence);
    void schedule_close(support::endpoint caller, support::member_id owner);
    void check_delivery(std::size_t index, const agent& receiver,
                        const flow::frame_header& header,
                        flow::decision_basis basis);
    void on_syn_ack(std::size_t index, support::member_id from,
                    const support::data_centre_name& data_centre,
                    std::uint32_t initial_sequence);
    void on_reply(std::size_t index, std::uint32_t sequence);
    void on_reset(std::size_t index, const flow::packet& cause);
    void fail_flow(std::size_t index);
    void finish_flow(std::size_t index);
    void schedule_changes();
    std::int64_t network_delay();
    bool is_packet_lost();

    scheme& under_test;
    run_options options;
    scheduler time;
    random_source random;
    fleet servers;
    std::vector<caller_flow> flows;
    /// Addresses of finished flows, with the time in ms from which a new flow
    /// may reuse them.
    std::deque<std::pair<std::int64_t, support::endpoint>> reusable_addresses;
    run_result result;
};

} // namespace fake

#endif
