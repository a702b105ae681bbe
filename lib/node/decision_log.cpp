#include "decision_log.hpp"

#include <guavastair/logging.hpp>

#include <utility>

namespace guavastair::node {

using logging::channel;
using logging::level;
using logging::line;

void balancer_log::on_opening(const flow::forward_action& action) {
    if (!logging::is_enabled(channel::decision, level::info)) {
        return;
    }
    line entry("flow_forwarded");
    entry.add("flow", action.headers.key.caller);
    if (action.service != nullptr) {
        entry.add("service", action.service->name());
    }
    entry.add("next", action.next).add("position", 0);
    logging::write(channel::decision, level::info, entry);
}

void balancer_log::on_drop(support::endpoint from,
                           const flow::forward_action& action,
                           std::uint64_t unobserved) {
    line entry("packet_dropped");
    entry.add("from", from).add("reason", flow::to_string(action.reason));
    entry.add("unlogged", unobserved);
    logging::write(channel::decision, level::warn, entry);
}

agent_log::agent_log(support::service_name served)
    : service(std::move(served)) {}

void agent_log::on_packet(const flow::packet& packet,
                          const flow::agent_action& action) {
    if (!logging::is_enabled(channel::decision, level::info)) {
        return;
    }
    line entry(packet.flags.is_initial_syn() ? "flow_decided"
                                             : "packet_decided");
    entry.add("flow", packet.key.caller).add("service", this->service);
    entry.add("action", flow::to_string(action.kind));
    entry.add("reason", flow::to_string(action.basis));
    if (action.kind == flow::action_kind::pass_on) {
        entry.add("next", action.next.data);
        entry.add("position", int{action.header.hop});
    }
    if (action.kind == flow::action_kind::drop) {
        entry.add("drop", flow::to_string(action.reason));
    }
    logging::write(channel::decision, level::info, entry);
}

void agent_log::on_bad_frame(support::endpoint from, flow::drop_reason reason) {
    line entry("frame_dropped");
    entry.add("from", from).add("reason", flow::to_string(reason));
    logging::write(channel::decision, level::warn, entry);
}

void agent_log::on_flow_ended(support::endpoint caller, agent::flow_end end) {
    line entry("flow_ended");
    entry.add("flow", caller).add("service", this->service);
    entry.add("reason", agent::to_string(end));
    logging::write(channel::decision, level::info, entry);
}

void agent_log::on_request(support::endpoint caller,
                           const request::decision& request_decision) {
    line entry("request_decided");
    entry.add("flow", caller).add("service", this->service);
    entry.add("method", request_decision.method)
        .add("path", request_decision.path);
    entry.add("verdict", admission::to_string(request_decision.verdict));
    if (request_decision.error.has_value()) {
        entry.add("reason", support::to_string(*request_decision.error));
    }
    entry.add("status", request_decision.http_status);
    logging::write(channel::decision, level::info, entry);
}

} // namespace guavastair::node
