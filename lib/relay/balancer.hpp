/// The balancer process: forwards callers' packets to the agents of backend
/// servers.

#ifndef GUAVASTAIR_LIB_RELAY_BALANCER_HPP
#define GUAVASTAIR_LIB_RELAY_BALANCER_HPP

#include "metrics_page.hpp"
#include "process_context.hpp"
#include "store_drivers.hpp"
#include "view_synchronizer.hpp"

#include <guavastair/steering.hpp>

#include <map>
#include <memory>
#include <set>

namespace guavastair::relay {

/// A balancer of callers' packets on one entry VM.
class balancer {
public:
    balancer(platform::settings initial_settings, const run_options& options);

    absl::Status run();

private:
    absl::Status open_packets();
    void on_caller_packet(std::span<const std::byte> bytes);
    void execute(const steering::dispatch& decision, const flow::flow_key& key,
                 std::span<const std::byte> bytes);
    void send_reset(std::span<const std::byte> bytes);
    void send_reset(const flow::flow_key& key, std::uint32_t sequence);
    void execute_all(const std::vector<steering::released_packet>& released);
    void log_dispatch(const steering::dispatch& decision,
                      const flow::flow_key& key);

    void on_message(support::endpoint from, const peer::message& body);
    void on_body(support::endpoint from, const peer::ping& body);
    void on_body(support::endpoint from, const peer::pong& body);
    void on_body(support::endpoint from, const peer::carried_packet& body);
    void on_body(support::endpoint from, const peer::flow_owned& body);
    void on_body(support::endpoint from, const peer::flow_absent& body);
    void on_body(support::endpoint from, const peer::held_flows& body);

    void on_agents_listed();
    void ping_members();
    peer::listing listing_of(support::endpoint agent) const;
    void tick_searches();
    void schedule_search_tick();
    void log_presence_changes();
    void reset_flows_of_lost_agents();
    void remove_abandoned_entry();
    void add_metrics();
    http::response handle_request(const http::request& request);
    bool is_ready() const;
    bool is_agent_list_complete() const;
    void stop();

    process_context context;
    peer_link link;
    view_synchronizer view_sync;
    follower_driver agent_entries;
    entry_cleaner cleaner;
    steering::member_table members;
    steering::dispatcher dispatcher;
    http::server control;
    metrics::registry page;
    decision_counters decisions{page, "guavastair_dispatches_total",
                                "Decisions about callers' packets."};
    udp_channel packet_channel;
    /// Other balancers, and when an agent last mentioned each of them.
    std::map<support::endpoint, support::instant> balancers;
    /// Whether each agent was present when its state was last logged.
    std::map<support::endpoint, bool> logged_presence;
    /// Lost agents whose flows have been reset.
    std::set<support::endpoint> lost_agents;
    std::uint64_t run_id;
    std::uint32_t ping_sequence = 0;
    /// Number of ping rounds that listed other balancers. Selects which part
    /// of the list is sent next.
    std::uint32_t introduction_count = 0;
    bool is_search_tick_scheduled = false;
    bool has_agent_answered = false;
    bool is_stopping = false;
    support::instant started_at;
    /// When the process started or last resumed after a pause.
    support::instant running_since;
};

} // namespace guavastair::relay

#endif
