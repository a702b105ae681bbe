#include <guavastair/ownership.hpp>

#include <doctest/doctest.h>

#include <array>
#include <functional>

namespace ownership = guavastair::ownership;
namespace peer = guavastair::peer;

using ownership::gate_answer;
using ownership::gate_inputs;
using ownership::gate_reason;

static gate_inputs open_gate() {
    gate_inputs inputs;
    inputs.has_configuration = true;
    inputs.is_view_confirmed = true;
    inputs.is_discoverable = true;
    inputs.has_route = true;
    inputs.route_matches_service = true;
    inputs.condition = peer::server_condition::ready;
    inputs.load.slots = 2;
    return inputs;
}

TEST_CASE("an opening is accepted if no condition forbids it") {
    const auto state = ownership::judge_opening(open_gate());
    CHECK(state.answer == gate_answer::accept);
    CHECK(state.reason == gate_reason::open);
}

TEST_CASE(
    "each refusing condition alone refuses an opening with its own reason") {
    struct row {
        std::function<void(gate_inputs&)> change;
        gate_reason reason;
    };
    const std::array<row, 12> rows{{
        {[](gate_inputs& i) { i.has_configuration = false; },
         gate_reason::no_configuration},
        {[](gate_inputs& i) { i.is_view_confirmed = false; },
         gate_reason::unconfirmed},
        {[](gate_inputs& i) { i.is_discoverable = false; },
         gate_reason::unregistered},
        {[](gate_inputs& i) { i.has_route = false; }, gate_reason::no_route},
        {[](gate_inputs& i) { i.route_matches_service = false; },
         gate_reason::foreign_service},
        {[](gate_inputs& i) { i.is_withdrawn = true; }, gate_reason::withdrawn},
        {[](gate_inputs& i) { i.condition = peer::server_condition::unknown; },
         gate_reason::server_unknown},
        {[](gate_inputs& i) { i.condition = peer::server_condition::draining; },
         gate_reason::draining},
        {[](gate_inputs& i) { i.condition = peer::server_condition::silent; },
         gate_reason::silent},
        {[](gate_inputs& i) { i.condition = peer::server_condition::gone; },
         gate_reason::gone},
        {[](gate_inputs& i) { i.openings_left = 0; }, gate_reason::cold},
        {[](gate_inputs& i) {
             i.load.in_progress = 100;
             i.load.mean_in_progress = 100'000;
         },
         gate_reason::full},
    }};
    for (const row& each : rows) {
        gate_inputs inputs = open_gate();
        each.change(inputs);
        const auto state = ownership::judge_opening(inputs);
        CAPTURE(ownership::to_string(each.reason));
        CHECK(state.answer == gate_answer::refuse);
        CHECK(state.reason == each.reason);
    }
}

TEST_CASE("a busy server prefers another server") {
    gate_inputs inputs = open_gate();
    inputs.load.in_progress = 5;
    const auto state = ownership::judge_opening(inputs);
    CHECK(state.answer == gate_answer::prefer_other);
    CHECK(state.reason == gate_reason::busy);
}

TEST_CASE("every gate reason has a name") {
    for (std::size_t i = 0; i < ownership::gate_reason_count; ++i) {
        CHECK(!ownership::to_string(static_cast<gate_reason>(i)).empty());
    }
}

// Guards against an added route that is refused (effsa-lb-grown).
TEST_CASE("an agent with an older configuration than the balancer's does not "
          "rule on an unknown route") {
    for (const bool has_route : {false, true}) {
        auto inputs = open_gate();
        inputs.is_outdated = true;
        inputs.has_route = has_route;
        inputs.route_matches_service = false;
        const auto state = ownership::judge_opening(inputs);
        CHECK(state.answer == gate_answer::refuse);
        CHECK(state.reason == gate_reason::outdated);
    }
    auto inputs = open_gate();
    inputs.is_outdated = true;
    CHECK(ownership::judge_opening(inputs).answer == gate_answer::accept);
}
