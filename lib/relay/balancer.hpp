/// One balancer: callers' packets on one side, agents on the other.

#ifndef GUAVASTAIR_LIB_RELAY_BALANCER_HPP
#define GUAVASTAIR_LIB_RELAY_BALANCER_HPP

#include "metrics_page.hpp"
#include "process.hpp"
#include "store_drivers.hpp"
#include "view_keeper.hpp"

#include <guavastair/steering.hpp>

#include <map>
#include <memory>
#include <set>

namespace guavastair::relay {

/// One balancer.
class balancer {
public:
    balancer(platform::settings chosen, const run_options& options);

    absl::Status run();

private:
    absl::Status open_packets();
    void on_caller_packet(std::span<const std::byte> bytes);
    void carry_out(const steering::dispatch& decided, const flow::flow_key& key,
                   std::span<const std::byte> bytes);
    void reset(std::span<const std::byte> bytes);
    void reset(const flow::flow_key& key, std::uint32_t sequence);
    void carry_out_all(const std::vector<steering::released_packet>& released);
    void log_dispatch(const steering::dispatch& decided,
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
    void note_presence();
    void give_up_lost();
    void remove_abandoned();
    void add_metrics();
    http::response answer(const http::request& ask);
    bool is_ready() const;
    bool knows_all_agents() const;
    void stop();

    process shell;
    peer_link link;
    view_keeper view;
    follower_driver agents;
    cleaner_driver cleaner;
    steering::member_table members;
    steering::dispatcher dispatcher;
    http::server control;
    metrics::registry page;
    decision_counters decisions{page, "guavastair_dispatches_total",
                                "Decisions about callers' packets."};
    udp_port packets;
    std::map<support::endpoint, support::instant> balancers;
    std::map<support::endpoint, bool> presence;
    std::set<support::endpoint> given_up;
    std::uint64_t run_id;
    std::uint32_t ping_sequence = 0;
    /// Rounds of pings that have named other balancers.
    std::uint32_t introductions = 0;
    bool search_tick_set = false;
    bool any_answer = false;
    bool stopping = false;
    support::instant started;
    /// When the process last began or went on after standing still.
    support::instant awake_since;
};

} // namespace guavastair::relay

#endif
