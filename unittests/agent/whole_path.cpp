#include "whole_path.hpp"

#include <doctest/doctest.h>

namespace fixture {

static constexpr support::ipv4_address caller_address{0x0a630001};

whole_path::whole_path(const path_options& options) {
    auto opened = standin::fabric::open(
        this->loop,
        {.callers = loopback, .returns = loopback, .faults = options.faults});
    REQUIRE(opened.ok());
    this->fabric = *std::move(opened);
    for (std::size_t i = 0; i < options.agents; ++i) {
        agent::agent_options chosen =
            test_options({100 + i}, this->fabric->returns());
        chosen.flow_protocol = options.flow_protocol;
        chosen.max_connections = options.max_connections;
        chosen.tcp.keepalive_idle = options.tcp.keepalive_idle;
        chosen.tcp.keepalive_interval = options.tcp.keepalive_interval;
        chosen.tcp.keepalive_probes = options.tcp.keepalive_probes;
        chosen.admission.limiter.slots = options.server.slots;
        chosen.admission.limiter.cold_slots = options.server.cold_slots;
        chosen.admission.limiter.warm_up = support::milliseconds(500);
        standin::server_options server = options.server;
        server.listen = loopback;
        this->agents.push_back(std::make_unique<agent_process>(chosen, server));
    }
    std::vector<standin::fabric_balancer> addresses;
    for (std::size_t i = 0; i < options.balancers; ++i) {
        auto one = balancer::balancer::open(this->loop, {.listen = loopback},
                                            this->observer);
        REQUIRE(one.ok());
        addresses.push_back({(*one)->local(), {}});
        this->balancers.push_back(*std::move(one));
    }
    this->fabric->set_balancers(addresses);
    this->set_view(0, options.agents);
}

whole_path::~whole_path() = default;

command whole_path::view_command(std::size_t from, std::size_t to) const {
    command view{.kind = command_kind::view};
    for (std::size_t i = from; i < to; ++i) {
        view.members[view.member_count] = this->agents[i]->member();
        ++view.member_count;
    }
    return view;
}

void whole_path::set_balancer_view(std::size_t index, std::size_t from,
                                   std::size_t to) {
    const command view = this->view_command(from, to);
    this->balancers[index]->set_view(placement::fleet_view().with_service(
        make_service_members(view.members, view.member_count)));
}

void whole_path::set_view(std::size_t from, std::size_t to) {
    for (std::size_t i = 0; i < this->balancers.size(); ++i) {
        this->set_balancer_view(i, from, to);
    }
    for (const auto& one : this->agents) {
        one->run_command(this->view_command(from, to));
    }
}

void whole_path::call(standin::caller_options options) {
    options.fabric = this->fabric->callers();
    options.address = caller_address;
    options.service = service_address;
    options.first_port = this->next_port;
    this->next_port += 10'000;
    this->callers_done = false;
    this->callers.reset();
    auto opened = standin::caller::open(this->loop, options,
                                        [this] { this->callers_done = true; });
    REQUIRE(opened.ok());
    this->callers = *std::move(opened);
}

bool whole_path::run_to_end() {
    return this->run_until([this] { return this->callers_done; });
}

void whole_path::run_for(support::duration span) {
    const support::instant end = this->loop.now() + span;
    this->run_until([&] { return this->loop.now() >= end; });
}

} // namespace fixture
