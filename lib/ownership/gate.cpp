#include <guavastair/ownership.hpp>

#include <optional>

namespace guavastair::ownership {

/// Why the server's condition rules out openings at any load; empty if it does
/// not.
static std::optional<gate_reason>
refusal_by_condition(peer::server_condition condition) {
    switch (condition) {
    case peer::server_condition::unknown:
        return gate_reason::server_unknown;
    case peer::server_condition::draining:
        return gate_reason::draining;
    case peer::server_condition::silent:
        return gate_reason::silent;
    case peer::server_condition::gone:
        return gate_reason::gone;
    case peer::server_condition::ready:
        break;
    }
    return std::nullopt;
}

/// Why an opening must be refused at any load; empty if nothing forbids it.
static std::optional<gate_reason> find_refusal(const gate_inputs& inputs) {
    if (!inputs.has_configuration) {
        return gate_reason::no_configuration;
    }
    if (!inputs.is_view_confirmed) {
        return gate_reason::unconfirmed;
    }
    if (!inputs.is_discoverable) {
        return gate_reason::unregistered;
    }
    if (inputs.is_outdated &&
        !(inputs.has_route && inputs.route_matches_service)) {
        return gate_reason::outdated;
    }
    if (!inputs.has_route) {
        return gate_reason::no_route;
    }
    if (!inputs.route_matches_service) {
        return gate_reason::foreign_service;
    }
    if (inputs.is_withdrawn) {
        return gate_reason::withdrawn;
    }
    if (const auto why = refusal_by_condition(inputs.condition)) {
        return why;
    }
    if (inputs.openings_left == 0) {
        return gate_reason::cold;
    }
    return std::nullopt;
}

bool is_starting(gate_reason reason) {
    return reason == gate_reason::no_configuration ||
           reason == gate_reason::unconfirmed ||
           reason == gate_reason::unregistered ||
           reason == gate_reason::server_unknown;
}

gate_state judge_opening(const gate_inputs& inputs) {
    gate_state result;
    result.request_timeout = inputs.request_timeout;
    if (const auto why = find_refusal(inputs)) {
        result.reason = *why;
        return result;
    }
    switch (judge_load(inputs.limits, inputs.load, inputs.work, inputs.terms)) {
    case load_verdict::full:
        result.reason = gate_reason::full;
        return result;
    case load_verdict::prefer_other:
        result.answer = gate_answer::prefer_other;
        result.reason = gate_reason::busy;
        return result;
    case load_verdict::accept:
        break;
    }
    result.answer = gate_answer::accept;
    return result;
}

} // namespace guavastair::ownership
