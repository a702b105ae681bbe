#include "simulation.hpp"

#include <algorithm>

namespace fake {

simulation::simulation(scheme& under_test, const run_options& options)
    : under_test(under_test), options(options), random(options.seed),
      servers(this->time, options.seed + 1, options.initial_members,
              options.settings),
      flows(options.flows) {
    this->servers.set_observer({[this](const agent& crashed) {
                                    for (caller_flow& flow : this->flows) {
                                        flow.is_owner_lost |=
                                            flow.owner == crashed.member.id;
                                    }
                                },
                                [this](const support::data_centre_name& name) {
                                    for (caller_flow& flow : this->flows) {
                                        flow.is_owner_lost |=
                                            flow.owner_data_centre == name;
                                    }
                                }});
}

run_result simulation::run() {
    this->schedule_changes();
    for (std::size_t i = 0; i < this->flows.size(); ++i) {
        const auto start =
            static_cast<std::int64_t>(random_below(this->random, run_ms));
        this->time.after(start, [this, i] { this->open_flow(i); });
    }
    this->time.run_until(this->time.now() +
                         support::milliseconds(run_ms + 4 * caller_timeout_ms));
    this->result.changes = this->servers.changes();
    return this->result;
}

void simulation::schedule_changes() {
    constexpr std::uint64_t mean_gap_ms = 5000;
    std::int64_t change_ms = 0;
    while (change_ms < run_ms) {
        change_ms += static_cast<std::int64_t>(
            random_below(this->random, 2 * mean_gap_ms));
        this->time.after(change_ms, [this] { this->servers.change(); });
    }
}

std::int64_t simulation::network_delay() {
    return 1 + static_cast<std::int64_t>(random_below(this->random, 30));
}

bool simulation::is_packet_lost() {
    return random_below(this->random, 100) == 0;
}

void simulation::open_flow(std::size_t index) {
    constexpr std::uint64_t max_packets = 5;
    caller_flow& flow = this->flows[index];
    flow.caller = {{0xc6000000U + static_cast<std::uint32_t>(index)}, 40000};
    if (!this->reusable_addresses.empty() &&
        this->reusable_addresses.front().first <= this->time.now().ms) {
        flow.caller = this->reusable_addresses.front().second;
        this->reusable_addresses.pop_front();
    }
    flow.sequence = static_cast<std::uint32_t>(this->random());
    flow.packets_left = 1 + random_below(this->random, max_packets);
    this->send_next_packet(index);
}

/// Sends the caller's next packet: the opening packet, data, or the FIN.
void simulation::send_next_packet(std::size_t index) {
    caller_flow& flow = this->flows[index];
    if (flow.state == caller_state::ended) {
        return;
    }
    ++flow.send_id;
    flow.is_awaiting_reply = true;
    flow.sent_ms = this->time.now().ms;
    this->transmit(index, initial_timeout_ms);
}

flow::packet simulation::current_packet(std::size_t index) const {
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
    if (this->time.now().ms - flow.sent_ms >= caller_timeout_ms) {
        this->fail_flow(index);
        return;
    }
    const flow::packet packet = this->current_packet(index);
    this->send_to_balancer(index, packet, this->network_delay());
    if (random_below(this->random, 30) == 0) {
        // A duplicate that arrives much later.
        const auto late_delay_ms =
            static_cast<std::int64_t>(random_below(this->random, 10'000));
        this->send_to_balancer(index, packet, late_delay_ms);
    }
    const std::uint64_t send_id = flow.send_id;
    this->time.after(timeout_ms, [this, index, send_id, timeout_ms] {
        const caller_flow& flow = this->flows[index];
        if (flow.is_awaiting_reply && flow.send_id == send_id &&
            flow.state != caller_state::ended) {
            this->transmit(index, std::min(2 * timeout_ms, max_timeout_ms));
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
        flow.is_owner_lost = this->servers.is_withdrawn(data_centre) ||
                             this->servers.has_crashed(from);
        flow.acknowledgement = initial_sequence + 1;
        flow.sequence += 1;
        flow.is_awaiting_reply = false;
        this->result.established += 1;
        const auto pause = static_cast<std::int64_t>(
            random_below(this->random, 2 * mean_pause_ms));
        this->time.after(pause,
                         [this, index] { this->send_next_packet(index); });
    }
    // The ACK that completes the handshake, or the ACK in response to a SYN-ACK
    // that arrives after the handshake.
    flow::packet packet = this->current_packet(index);
    packet.flags.bits = flow::tcp_flags::ack_bit;
    packet.payload_size = 0;
    this->send_to_balancer(index, packet, this->network_delay());
}

void simulation::on_reply(std::size_t index, std::uint32_t sequence) {
    constexpr std::uint64_t mean_pause_ms = 10'000;
    constexpr std::int64_t long_wait_ms = 1000;
    caller_flow& flow = this->flows[index];
    if (flow.state != caller_state::established || !flow.is_awaiting_reply ||
        sequence != flow.sequence) {
        return;
    }
    const std::int64_t wait_ms = this->time.now().ms - flow.sent_ms;
    if (!flow.is_owner_lost) {
        this->result.longest_wait_ms =
            std::max(this->result.longest_wait_ms, wait_ms);
        this->result.long_waits += wait_ms >= long_wait_ms ? 1 : 0;
    }
    flow.is_awaiting_reply = false;
    flow.sequence += 100;
    flow.acknowledgement +=
        static_cast<std::uint32_t>(random_below(this->random, 500));
    if (flow.packets_left == 0) {
        this->finish_flow(index);
        return;
    }
    --flow.packets_left;
    const auto pause = static_cast<std::int64_t>(
        random_below(this->random, 2 * mean_pause_ms));
    this->time.after(pause, [this, index] { this->send_next_packet(index); });
}

void simulation::finish_flow(std::size_t index) {
    constexpr std::int64_t reuse_after_ms = 2 * close_delay_ms;
    caller_flow& flow = this->flows[index];
    flow.state = caller_state::ended;
    this->result.finished += 1;
    this->reusable_addresses.emplace_back(this->time.now().ms + reuse_after_ms,
                                          flow.caller);
}

void simulation::on_reset(std::size_t index, const flow::packet& cause) {
    caller_flow& flow = this->flows[index];
    if (flow.state == caller_state::opening) {
        flow.state = caller_state::ended;
        this->result.refused += 1;
        return;
    }
    // The caller ignores a reset in response to an old opening packet, because
    // it is outside the receive window.
    if (flow.state == caller_state::established &&
        !cause.flags.is_initial_syn()) {
        this->fail_flow(index);
    }
}

void simulation::fail_flow(std::size_t index) {
    caller_flow& flow = this->flows[index];
    if (flow.state == caller_state::opening) {
        this->result.refused += 1;
    } else if (flow.is_owner_lost) {
        this->result.owner_lost += 1;
        this->result.owner_lost_without_reset +=
            this->time.now().ms - flow.sent_ms >= caller_timeout_ms ? 1 : 0;
    } else {
        this->result.broken += 1;
    }
    flow.state = caller_state::ended;
    // The server's connection is removed by its own timer.
    this->schedule_close(flow.caller, flow.owner);
}

run_result run(scheme& under_test, const run_options& options) {
    return simulation(under_test, options).run();
}

} // namespace fake
