/// Observers that log the decisions of the data path, one line per decision.

#ifndef GUAVASTAIR_LIB_NODE_DECISION_LOG_HPP
#define GUAVASTAIR_LIB_NODE_DECISION_LOG_HPP

#include <guavastair/agent.hpp>
#include <guavastair/balancer.hpp>

namespace guavastair::node {

/// Logs the decisions of a balancer.
class balancer_log final : public balancer::balancer_observer {
public:
    void on_opening(const flow::forward_action& action) override;
    void on_drop(support::endpoint from, const flow::forward_action& action,
                 std::uint64_t unobserved) override;
};

/// Logs the decisions of an agent.
class agent_log final : public agent::agent_observer {
public:
    explicit agent_log(support::service_name served);

    void on_packet(const flow::packet& packet,
                   const flow::agent_action& action) override;
    void on_bad_frame(support::endpoint from,
                      flow::drop_reason reason) override;
    void on_flow_ended(support::endpoint caller, agent::flow_end end) override;
    void on_request(support::endpoint caller,
                    const request::decision& request_decision) override;

private:
    support::service_name service;
};

} // namespace guavastair::node

#endif
