#include "simulation.hpp"

#include <algorithm>

namespace fake {

void simulation::send_to_balancer(std::size_t index, const flow::packet& packet,
                                  std::int64_t delay_ms) {
    if (this->is_packet_lost()) {
        return;
    }
    const std::size_t balancer =
        random_below(this->random, fleet::balancer_count);
    this->time.after(delay_ms, [this, index, packet, balancer] {
        const auto header = this->under_test.forward(
            balancer, this->servers.balancer(balancer), packet);
        if (header.has_value()) {
            this->send_to_agent(index, packet, *header);
        }
    });
}

void simulation::send_to_agent(std::size_t index, const flow::packet& packet,
                               const flow::frame_header& header) {
    if (this->is_packet_lost()) {
        return;
    }
    this->time.after(this->network_delay(), [this, index, packet, header] {
        this->receive(index, packet, header);
    });
}

void simulation::receive(std::size_t index, const flow::packet& packet,
                         const flow::frame_header& header) {
    agent* receiver =
        this->servers.receiver(header.candidates[header.hop].data);
    if (receiver == nullptr) {
        return;
    }
    this->result.max_passes_seen =
        std::max<std::uint64_t>(this->result.max_passes_seen, header.passes);
    const flow::agent_action action =
        this->under_test.receive(*receiver, header, packet, this->time.now());
    switch (action.kind) {
    case flow::action_kind::deliver:
        this->deliver(index, packet, *receiver, header, action.basis);
        break;
    case flow::action_kind::pass_on:
        this->send_to_agent(index, packet, action.header);
        break;
    case flow::action_kind::reset:
        this->time.after(this->network_delay(), [this, index, packet] {
            this->on_reset(index, packet);
        });
        break;
    case flow::action_kind::drop:
        break;
    }
}

void simulation::deliver(std::size_t index, const flow::packet& packet,
                         agent& receiver, const flow::frame_header& header,
                         flow::decision_basis basis) {
    this->result.foreign_deliveries += receiver.service == 0 ? 0 : 1;
    if (packet.flags.is_initial_syn()) {
        this->handle_opening(index, receiver);
        return;
    }
    this->check_delivery(index, receiver, header, basis);
    const auto entry = receiver.stack.find(packet.key.caller);
    if (entry == receiver.stack.end()) {
        return;
    }
    entry->second.is_complete = true;
    if (packet.flags.fin()) {
        this->schedule_close(packet.key.caller, receiver.member.id);
    }
    if (!this->is_packet_lost()) {
        this->time.after(this->network_delay(),
                         [this, index, sequence = packet.sequence] {
                             this->on_reply(index, sequence);
                         });
    }
}

/// Removes the connection at the owner after a delay, because the reply to the
/// caller's last packet may be lost and the caller then retransmits it.
void simulation::schedule_close(support::endpoint caller,
                                support::member_id owner) {
    this->time.after(close_delay_ms, [this, owner, caller] {
        agent* receiver = this->servers.find(owner);
        if (receiver != nullptr) {
            receiver->stack.erase(caller);
            receiver->table.on_flow_closed(caller);
        }
    });
}

/// Compares the agent that delivers a packet with the owner in the model.
void simulation::check_delivery(std::size_t index, const agent& receiver,
                                const flow::frame_header& header,
                                flow::decision_basis basis) {
    const caller_flow& flow = this->flows[index];
    if (flow.state != caller_state::established) {
        return;
    }
    this->result.delivered += 1;
    this->result.passes += header.passes;
    if (flow.owner == receiver.member.id) {
        return;
    }
    this->result.wrong_deliveries += 1;
    this->result.double_completions +=
        basis == flow::decision_basis::completed ? 1 : 0;
}

/// Whether `receiver` still waits for the ACK of its SYN-ACK with this sequence
/// number.
static bool is_half_open(const agent& receiver, support::endpoint caller,
                         std::uint32_t sequence) {
    const auto entry = receiver.stack.find(caller);
    return entry != receiver.stack.end() && !entry->second.is_complete &&
           entry->second.initial_sequence == sequence;
}

void simulation::handle_opening(std::size_t index, agent& receiver) {
    const support::endpoint caller = this->flows[index].caller;
    auto [entry, is_new] = receiver.stack.try_emplace(caller);
    if (entry->second.is_complete) {
        return;
    }
    if (is_new) {
        entry->second.initial_sequence =
            static_cast<std::uint32_t>(this->random());
        this->schedule_syn_ack_retries(index, receiver.member.data,
                                       entry->second.initial_sequence);
    }
    const std::uint32_t sequence = entry->second.initial_sequence;
    receiver.table.on_syn_ack_sent(caller, sequence);
    this->send_syn_ack(index, receiver, sequence);
}

/// Retransmits the SYN-ACK until it is acknowledged, and removes the connection
/// after a time-out, as a TCP stack does.
void simulation::schedule_syn_ack_retries(std::size_t index,
                                          support::endpoint address,
                                          std::uint32_t sequence) {
    constexpr std::int64_t stack_timeout_ms = 20'000;
    const support::endpoint caller = this->flows[index].caller;
    for (const std::int64_t retransmit_after_ms : {1000, 3000, 7000, 15'000}) {
        this->time.after(retransmit_after_ms,
                         [this, index, address, caller, sequence] {
                             agent* receiver = this->servers.receiver(address);
                             if (receiver != nullptr &&
                                 is_half_open(*receiver, caller, sequence)) {
                                 this->send_syn_ack(index, *receiver, sequence);
                             }
                         });
    }
    this->time.after(stack_timeout_ms, [this, address, caller, sequence] {
        agent* receiver = this->servers.receiver(address);
        if (receiver != nullptr && is_half_open(*receiver, caller, sequence)) {
            receiver->stack.erase(caller);
        }
    });
}

void simulation::send_syn_ack(std::size_t index, const agent& from,
                              std::uint32_t sequence) {
    if (this->is_packet_lost()) {
        return;
    }
    this->time.after(this->network_delay(),
                     [this, index, sequence, id = from.member.id,
                      data_centre = from.member.data_centre] {
                         this->on_syn_ack(index, id, data_centre, sequence);
                     });
}

} // namespace fake
