/// One agent: its server's packets and reports on one side, balancers on the
/// other.

#ifndef GUAVASTAIR_LIB_RELAY_AGENT_HPP
#define GUAVASTAIR_LIB_RELAY_AGENT_HPP

#include "metrics_page.hpp"
#include "process_context.hpp"
#include "server_report.hpp"
#include "store_drivers.hpp"
#include "view_synchronizer.hpp"

#include <guavastair/ownership.hpp>

#include <map>

namespace guavastair::relay {

/// A leaving server's last answers take so long at most.
inline constexpr support::duration server_exit_grace =
    support::milliseconds(500);

/// A balancer that has pinged lately.
struct active_balancer {
    support::instant last_ping_at;
    /// Another run of it knows nothing of what was told before.
    std::uint64_t run = 0;
};

/// One agent.
class agent {
public:
    agent(platform::settings initial_settings, const run_options& options);

    absl::Status run();

private:
    absl::Status open();
    void on_server_datagram(std::span<const std::byte> bytes);
    void deliver(std::span<const std::byte> bytes, const flow::packet& packet);
    void send_reset(const flow::flow_key& key, std::uint32_t sequence);
    void execute(const ownership::action& decision, const flow::packet& packet,
                 std::span<const std::byte> bytes);
    void log_action(const ownership::action& decision,
                    const flow::packet& packet,
                    const ownership::gate_state* gate);

    void on_message(support::endpoint from, const peer::message& body);
    void on_body(support::endpoint from, const peer::ping& body);
    void on_body(support::endpoint from, const peer::carry& body);
    void on_body(support::endpoint from, const peer::pong& body);
    void on_body(support::endpoint from, const peer::owned& body);
    void on_body(support::endpoint from, const peer::absent& body);
    void on_body(support::endpoint from, const peer::held& body);
    void advertise_flows(support::endpoint balancer);

    void add_metrics();
    http::response handle_request(const http::request& request);
    http::response on_call(const platform::status_call& call);
    http::response on_call(const platform::leave_call& call);
    http::response on_call(const platform::readiness_call& call);

    std::uint32_t cold_opening_limit() const;
    /// Whether every balancer knows this agent, or has had time to: one that
    /// does not would take a flow opened here for lost.
    bool is_known_to_balancers() const;
    ownership::gate_state evaluate_opening(const flow::packet& opening);
    ownership::gate_inputs gate_inputs();
    ownership::opening_terms terms_of(const routing::route& target,
                                      const flow::packet& opening) const;
    ownership::urgency urgency_of(const routing::route& target) const;
    peer::load_report load() const;
    peer::agent_report report();
    void publish();
    void on_listing(peer::listing listing);
    void tick();
    void start_probe();
    void on_probe(http::connect_probe::answer result);
    void reset_all_flows();
    void reset_flows(const std::vector<peer::listed_flow>& flows,
                     absl::string_view cause);
    void restore_flows();
    void log_restore_failure(const absl::Status& error);
    void persist_flows();
    void announce_to_seeds();
    void on_view_changed();
    void on_condition_update(absl::string_view cause);
    void stop();
    void await_deregistration();

    process_context context;
    peer_link link;
    view_synchronizer view_sync;
    registrar_driver registrar;
    ownership::server_monitor monitor;
    ownership::owner_table flow_table;
    ownership::flow_ledger ledger;
    registrar_driver ledger_writer;
    platform::store_client ledger_reader;
    ownership::opening_budget budget;
    ownership::work_estimate request_work;
    metrics::registry page;
    decision_counters decisions{page, "guavastair_flow_decisions_total",
                                "Decisions about packets of flows."};
    decision_counters opening_decisions{
        page, "guavastair_openings_total",
        "Openings by what the gate said, and why."};
    metrics::histogram& answer_times;
    http::server readiness;
    http::server control;
    http::connect_probe probe;
    udp_channel outbound;
    std::uint64_t run_id;
    std::map<support::endpoint, active_balancer> balancers;
    /// Answers that have named other balancers.
    std::uint32_t introduction_count = 0;
    support::instant last_ping;
    support::instant started_at;
    peer::server_condition last_condition = peer::server_condition::unknown;
    bool was_withdrawn = false;
    /// Whether a balancer has seen this agent's entry in the store.
    bool is_listed = false;
    bool is_restarting = false;
    bool is_stopping = false;
    support::instant stopping_since;
    std::string published_value;
    support::instant published_at;
};

} // namespace guavastair::relay

#endif
