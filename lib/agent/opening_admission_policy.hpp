#ifndef GUAVASTAIR_LIB_AGENT_OPENING_ADMISSION_POLICY_HPP
#define GUAVASTAIR_LIB_AGENT_OPENING_ADMISSION_POLICY_HPP

#include <guavastair/admission.hpp>
#include <guavastair/agent.hpp>
#include <guavastair/flow.hpp>

#include <algorithm>

namespace guavastair::agent {

/// Decides for the flow table whether another flow may open. With protocol http
/// the controller decides, which tracks the requests in progress; with tcp the
/// number of flows decides.
class opening_admission_policy final : public flow::admission_policy {
public:
    opening_admission_policy(admission::controller& request_controller,
                             const agent_options& options)
        : controller(request_controller),
          flow_count_admission(options.admission.flows),
          flow_protocol(options.flow_protocol),
          max_flows(options.max_connections) {}

    /// Sets the inputs of the decision about the packet of a frame with
    /// `header`.
    void prepare(const flow::frame_header& header,
                 const flow::flow_table_counts& flow_counts) {
        const std::size_t visited = std::size_t{header.hop} + 1;
        const std::size_t choices = std::min<std::size_t>(
            header.candidates.size, placement::opening_choices);
        this->is_first_choice = visited < choices;
        this->open_flows = flow_counts.established + flow_counts.half_open;
    }

    void set_max_flows(std::size_t limit) {
        this->max_flows = limit;
    }

    flow::admission_decision decide_admission(support::instant now) override {
        if (this->open_flows >= this->max_flows) {
            return flow::admission_decision::refuse;
        }
        switch (this->decide_flow(now)) {
        case admission::flow_verdict::accept:
            return flow::admission_decision::accept;
        case admission::flow_verdict::prefer_other:
            return flow::admission_decision::prefer_other;
        case admission::flow_verdict::refuse:
            break;
        }
        return flow::admission_decision::refuse;
    }

private:
    admission::flow_verdict decide_flow(support::instant now) {
        if (this->flow_protocol == protocol::http) {
            return this->controller.admit_flow(now, this->is_first_choice);
        }
        const int open_flow_count = static_cast<int>(this->open_flows);
        const int limit = static_cast<int>(this->max_flows);
        return this->flow_count_admission.decide({.flows = open_flow_count,
                                                  .max_flows = limit,
                                                  .requests = open_flow_count,
                                                  .request_limit = limit,
                                                  .slots = limit},
                                                 this->is_first_choice);
    }

    admission::controller& controller;
    admission::flow_admission flow_count_admission;
    protocol flow_protocol;
    std::size_t max_flows;
    std::size_t open_flows = 0;
    bool is_first_choice = true;
};

} // namespace guavastair::agent

#endif
