#include "simulation.hpp"

#include <algorithm>

namespace fake {

simulation::simulation(scheme& under_test, const run_options& options)
    : under_test(under_test), options(options), random(options.seed),
      servers(this->time, options.seed + 1, options.first_size,
              options.settings),
      flows(options.flows) {
    this->servers.set_observer({[this](const agent& dead) {
                                    for (caller_flow& flow : this->flows) {
                                        flow.is_given_up |=
                                            flow.owner == dead.member.id;
                                    }
                                },
                                [this](const support::data_centre_name& name) {
                                    for (caller_flow& flow : this->flows) {
                                        flow.is_given_up |=
                                            flow.owner_data_centre == name;
                                    }
                                }});
}

run_result simulation::run() {
    this->plan_changes();
    for (std::size_t i = 0; i < this->flows.size(); ++i) {
        const auto start =
            static_cast<std::int64_t>(draw(this->random, run_ms));
        this->time.after(start, [this, i] { this->open_flow(i); });
    }
    this->time.run_until(this->time.now() +
                         support::milliseconds(run_ms + 4 * patience_ms));
    this->result.changes = this->servers.changes();
    return this->result;
}

void simulation::plan_changes() {
    constexpr std::uint64_t mean_gap_ms = 5000;
    std::int64_t at = 0;
    while (at < run_ms) {
        at += static_cast<std::int64_t>(draw(this->random, 2 * mean_gap_ms));
        this->time.after(at, [this] { this->servers.change(); });
    }
}

std::int64_t simulation::network_delay() {
    return 1 + static_cast<std::int64_t>(draw(this->random, 30));
}

bool simulation::is_lost() {
    return draw(this->random, 100) == 0;
}

void simulation::open_flow(std::size_t index) {
    constexpr std::uint64_t most_packets = 5;
    caller_flow& flow = this->flows[index];
    flow.caller = {{0xc6000000U + static_cast<std::uint32_t>(index)}, 40000};
    if (!this->used.empty() &&
        this->used.front().first <= this->time.now().ms) {
        flow.caller = this->used.front().second;
        this->used.pop_front();
    }
    flow.sequence = static_cast<std::uint32_t>(this->random());
    flow.packets_left = 1 + draw(this->random, most_packets);
    this->send_next(index);
}

/// Sends the caller's next packet: an opening one, data, or the last.
void simulation::send_next(std::size_t index) {
    caller_flow& flow = this->flows[index];
    if (flow.state == caller_state::ended) {
        return;
    }
    ++flow.turn;
    flow.has_outstanding = true;
    flow.sent_ms = this->time.now().ms;
    this->transmit(index, first_timeout_ms);
}

flow::packet simulation::packet_of(std::size_t index) const {
    const caller_flow& flow = this->flows[index];
    flow::packet packet;
    packet.key = {flow.caller, address_of_service(0)};
    packet.sequence = flow.sequence;
    if (flow.state == caller_state::opening) {
        packet.flags.bits = flow::tcp_flags::syn_bit;
        return packet;
    }
    packet.flags.bits = flow::tcp_flags::ack_bit;
    packet.acknowledgement = flow.acknowledgement;
    if (flow.packets_left == 0) {
        packet.flags.bits |= flow::tcp_flags::fin_bit;
    }
    packet.payload_size = 100;
    return packet;
}

void simulation::transmit(std::size_t index, std::int64_t timeout_ms) {
    caller_flow& flow = this->flows[index];
    if (this->time.now().ms - flow.sent_ms >= patience_ms) {
        this->end_broken(index);
        return;
    }
    const flow::packet packet = this->packet_of(index);
    this->to_balancer(index, packet, this->network_delay());
    if (draw(this->random, 30) == 0) {
        // A copy that comes much later.
        const auto late = static_cast<std::int64_t>(draw(this->random, 10'000));
        this->to_balancer(index, packet, late);
    }
    const std::uint64_t turn = flow.turn;
    this->time.after(timeout_ms, [this, index, turn, timeout_ms] {
        const caller_flow& flow = this->flows[index];
        if (flow.has_outstanding && flow.turn == turn &&
            flow.state != caller_state::ended) {
            this->transmit(index, std::min(2 * timeout_ms, longest_timeout_ms));
        }
    });
}

void simulation::on_syn_ack(std::size_t index, support::member_id from,
                            const support::data_centre_name& data_centre,
                            std::uint32_t initial_sequence) {
    constexpr std::uint64_t mean_pause_ms = 10'000;
    caller_flow& flow = this->flows[index];
    if (flow.state == caller_state::ended) {
        return;
    }
    if (flow.state == caller_state::opening) {
        flow.state = caller_state::established;
        flow.owner = from;
        flow.owner_data_centre = data_centre;
        flow.is_given_up = this->servers.is_withdrawn(data_centre) ||
                           this->servers.has_died(from);
        flow.acknowledgement = initial_sequence + 1;
        flow.sequence += 1;
        flow.has_outstanding = false;
        this->result.established += 1;
        const auto pause =
            static_cast<std::int64_t>(draw(this->random, 2 * mean_pause_ms));
        this->time.after(pause, [this, index] { this->send_next(index); });
    }
    // The handshake's end, or the answer to a SYN-ACK that comes too late.
    flow::packet packet = this->packet_of(index);
    packet.flags.bits = flow::tcp_flags::ack_bit;
    packet.payload_size = 0;
    this->to_balancer(index, packet, this->network_delay());
}

void simulation::on_answer(std::size_t index, std::uint32_t sequence) {
    constexpr std::uint64_t mean_pause_ms = 10'000;
    constexpr std::int64_t long_wait_ms = 1000;
    caller_flow& flow = this->flows[index];
    if (flow.state != caller_state::established || !flow.has_outstanding ||
        sequence != flow.sequence) {
        return;
    }
    const std::int64_t wait = this->time.now().ms - flow.sent_ms;
    if (!flow.is_given_up) {
        this->result.longest_wait_ms =
            std::max(this->result.longest_wait_ms, wait);
        this->result.long_waits += wait >= long_wait_ms ? 1 : 0;
    }
    flow.has_outstanding = false;
    flow.sequence += 100;
    flow.acknowledgement += static_cast<std::uint32_t>(draw(this->random, 500));
    if (flow.packets_left == 0) {
        this->finish(index);
        return;
    }
    --flow.packets_left;
    const auto pause =
        static_cast<std::int64_t>(draw(this->random, 2 * mean_pause_ms));
    this->time.after(pause, [this, index] { this->send_next(index); });
}

void simulation::finish(std::size_t index) {
    constexpr std::int64_t reuse_after_ms = 2 * closing_ms;
    caller_flow& flow = this->flows[index];
    flow.state = caller_state::ended;
    this->result.finished += 1;
    this->used.emplace_back(this->time.now().ms + reuse_after_ms, flow.caller);
}

void simulation::on_reset(std::size_t index, const flow::packet& cause) {
    caller_flow& flow = this->flows[index];
    if (flow.state == caller_state::opening) {
        flow.state = caller_state::ended;
        this->result.refused += 1;
        return;
    }
    // A reset that answers an old opening packet is outside the window.
    if (flow.state == caller_state::established &&
        !cause.flags.is_initial_syn()) {
        this->end_broken(index);
    }
}

void simulation::end_broken(std::size_t index) {
    caller_flow& flow = this->flows[index];
    if (flow.state == caller_state::opening) {
        this->result.refused += 1;
    } else if (flow.is_given_up) {
        this->result.given_up += 1;
        this->result.left_waiting +=
            this->time.now().ms - flow.sent_ms >= patience_ms ? 1 : 0;
    } else {
        this->result.broken += 1;
    }
    flow.state = caller_state::ended;
    // The server's end goes by its own timers.
    this->close_later(flow.caller, flow.owner);
}

run_result run(scheme& under_test, const run_options& options) {
    return simulation(under_test, options).run();
}

} // namespace fake
