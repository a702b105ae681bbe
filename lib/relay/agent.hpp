/// The agent process: relays packets between its backend server and the
/// balancers, and processes the server's status reports.

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

/// Maximum time that the last answers of a departing server take to arrive.
inline constexpr support::duration server_exit_grace =
    support::milliseconds(500);

/// A balancer that has pinged this agent recently.
struct active_balancer {
    support::instant last_ping_at;
    /// Identifies the balancer's run. A restarted balancer has lost the flow
    /// locations that it received earlier.
    std::uint64_t run = 0;
};

/// The agent of one backend server.
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
    void on_body(support::endpoint from, const peer::carried_packet& body);
    void on_body(support::endpoint from, const peer::pong& body);
    void on_body(support::endpoint from, const peer::flow_owned& body);
    void on_body(support::endpoint from, const peer::flow_absent& body);
    void on_body(support::endpoint from, const peer::held_flows& body);
    void advertise_flows(support::endpoint balancer);

    void add_metrics();
    http::response handle_request(const http::request& request);
    http::response on_call(const platform::status_call& call);
    http::response on_call(const platform::deregister_call& call);
    http::response on_call(const platform::readiness_call& call);

    /// Maximum number of flows that may open per second while the server is
    /// cold; UINT32_MAX if not limited.
    std::uint32_t cold_opening_limit() const;
    /// Whether every balancer has discovered this agent or has had enough time
    /// to. A balancer that has not would treat a flow opened here as lost.
    bool is_known_to_balancers() const;
    ownership::gate_state
    evaluate_opening(const flow::packet& opening,
                     support::revision balancer_config_revision);
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
    /// Number of pongs that listed other balancers. Selects which part of the
    /// list is sent next.
    std::uint32_t introduction_count = 0;
    /// Last ping from any balancer, or last announcement to the seeds.
    support::instant last_ping;
    support::instant started_at;
    /// The condition that was logged last.
    peer::server_condition last_condition = peer::server_condition::unknown;
    bool was_withdrawn = false;
    /// Whether the store lists this agent, according to balancers.
    bool is_listed = false;
    bool is_restarting = false;
    bool is_stopping = false;
    support::instant stopping_since;
    /// The store entry that publish() wrote last.
    std::string published_value;
    /// When the entry was last written, or reported missing and rewritten.
    support::instant published_at;
};

} // namespace guavastair::relay

#endif
