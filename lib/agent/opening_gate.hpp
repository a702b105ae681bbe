#ifndef GUAVASTAIR_LIB_AGENT_OPENING_GATE_HPP
#define GUAVASTAIR_LIB_AGENT_OPENING_GATE_HPP

#include <guavastair/admission.hpp>
#include <guavastair/agent.hpp>
#include <guavastair/flow.hpp>

#include <algorithm>

namespace guavastair::agent {

/// Answers the flow table's question whether another flow may open: for http
/// by the controller, which knows the requests in progress, for tcp by the
/// number of flows.
class opening_gate final : public flow::admission_policy {
public:
    opening_gate(admission::controller& asked, const agent_options& options)
        : controller(asked), by_flows(options.admission.flows),
          flow_protocol(options.flow_protocol),
          max_flows(options.max_connections) {}

    /// Prepares for the packet of a frame with `header`.
    void prepare(const flow::frame_header& header,
                 const flow::flow_table_counts& shared_counters) {
        const std::size_t visited = std::size_t{header.hop} + 1;
        const std::size_t choices = std::min<std::size_t>(
            header.candidates.size, placement::opening_choices);
        this->first_choice = visited < choices;
        this->flows = shared_counters.established + shared_counters.half_open;
    }

    void set_max_flows(std::size_t limit) {
        this->max_flows = limit;
    }

    flow::admission_decision decide_admission(support::instant now) override {
        if (this->flows >= this->max_flows) {
            return flow::admission_decision::refuse;
        }
        switch (this->decide(now)) {
        case admission::flow_verdict::accept:
            return flow::admission_decision::take;
        case admission::flow_verdict::prefer_other:
            return flow::admission_decision::prefer_other;
        case admission::flow_verdict::refuse:
            break;
        }
        return flow::admission_decision::refuse;
    }

private:
    admission::flow_verdict decide(support::instant now) {
        if (this->flow_protocol == protocol::http) {
            return this->controller.admit_flow(now, this->first_choice);
        }
        const int here = static_cast<int>(this->flows);
        const int limit = static_cast<int>(this->max_flows);
        return this->by_flows.decide({.flows = here,
                                      .max_flows = limit,
                                      .requests = here,
                                      .request_limit = limit,
                                      .slots = limit},
                                     this->first_choice);
    }

    admission::controller& controller;
    admission::flow_admission by_flows;
    protocol flow_protocol;
    std::size_t max_flows;
    std::size_t flows = 0;
    bool first_choice = true;
};

} // namespace guavastair::agent

#endif
