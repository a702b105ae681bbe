/// One agent: its server's packets and reports on one side, balancers on the
/// other.

#ifndef GUAVASTAIR_LIB_RELAY_AGENT_HPP
#define GUAVASTAIR_LIB_RELAY_AGENT_HPP

#include "metrics_page.hpp"
#include "process.hpp"
#include "server_report.hpp"
#include "store_drivers.hpp"
#include "view_keeper.hpp"

#include <guavastair/ownership.hpp>

#include <map>

namespace guavastair::relay {

/// A leaving server's last answers take so long at most.
inline constexpr support::duration leave_time = support::milliseconds(500);

/// A balancer that has pinged lately.
struct known_balancer {
    support::instant heard;
    /// Another run of it knows nothing of what was told before.
    std::uint64_t run = 0;
};

/// One agent.
class agent {
public:
    agent(platform::settings chosen, const run_options& options);

    absl::Status run();

private:
    absl::Status open();
    void on_server_datagram(std::span<const std::byte> bytes);
    void deliver(std::span<const std::byte> bytes, const flow::packet& packet);
    void reset(const flow::flow_key& key, std::uint32_t sequence);
    void carry_out(const ownership::action& decided, const flow::packet& packet,
                   std::span<const std::byte> bytes);
    void log_action(const ownership::action& decided,
                    const flow::packet& packet,
                    const ownership::gate_state* gate);

    void on_message(support::endpoint from, const peer::message& body);
    void on_body(support::endpoint from, const peer::ping& body);
    void on_body(support::endpoint from, const peer::carried_packet& body);
    void on_body(support::endpoint from, const peer::pong& body);
    void on_body(support::endpoint from, const peer::flow_owned& body);
    void on_body(support::endpoint from, const peer::flow_absent& body);
    void on_body(support::endpoint from, const peer::held_flows& body);
    void tell_flows(support::endpoint balancer);

    void add_metrics();
    http::response answer(const http::request& ask);
    http::response on_call(const platform::status_call& call);
    http::response on_call(const platform::deregister_call& call);
    http::response on_call(const platform::readiness_call& call);

    std::uint32_t cold_limit() const;
    /// Whether every balancer knows this agent, or has had time to: one that
    /// does not would take a flow opened here for lost.
    bool is_discoverable() const;
    ownership::gate_state gate(const flow::packet& opening);
    ownership::gate_inputs gate_inputs();
    ownership::opening_terms terms_of(const routing::route& wanted,
                                      const flow::packet& opening) const;
    ownership::urgency urgency_of(const routing::route& wanted) const;
    peer::load_report load() const;
    peer::agent_report report();
    void publish();
    void note_listing(peer::listing listed);
    void tick();
    void start_probe();
    void on_probe(http::connect_probe::answer found);
    void drop_flows();
    void reset_flows(const std::vector<peer::listed_flow>& flows,
                     absl::string_view cause);
    void recall_flows();
    void note_recall_failure(const absl::Status& why);
    void remember_flows();
    void introduce();
    void on_view_changed();
    void note_condition(absl::string_view cause);
    void stop();
    void leave();

    process shell;
    peer_link link;
    view_keeper view;
    registrar_driver registrar;
    ownership::server_monitor monitor;
    ownership::owner_table owner;
    ownership::flow_ledger ledger;
    registrar_driver ledger_writer;
    platform::store_client ledger_reader;
    ownership::opening_budget budget;
    ownership::work_estimate work;
    metrics::registry page;
    decision_counters decisions{page, "guavastair_flow_decisions_total",
                                "Decisions about packets of flows."};
    decision_counters gates{page, "guavastair_openings_total",
                            "Openings by what the gate said, and why."};
    metrics::histogram& answer_times;
    http::server readiness;
    http::server control;
    http::connect_probe probe;
    udp_port outbound;
    std::uint64_t run_id;
    std::map<support::endpoint, known_balancer> balancers;
    /// Answers that have named other balancers.
    std::uint32_t introductions = 0;
    support::instant last_ping;
    support::instant started;
    peer::server_condition noted = peer::server_condition::unknown;
    bool was_withdrawn = false;
    /// Whether a balancer has seen this agent's entry in the store.
    bool is_listed = false;
    bool restarting = false;
    bool stopping = false;
    support::instant stopping_since;
    std::string published;
    support::instant published_at;
};

} // namespace guavastair::relay

#endif
