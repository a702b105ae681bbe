#include "simulation.hpp"

#include <algorithm>

namespace fake {

void simulation::to_balancer(std::size_t index, const flow::packet& packet,
                             std::int64_t delay_ms) {
    if (this->is_lost()) {
        return;
    }
    const std::size_t balancer = draw(this->random, fleet::balancer_count);
    this->time.after(delay_ms, [this, index, packet, balancer] {
        const auto header = this->under_test.forward(
            balancer, this->servers.balancer(balancer), packet);
        if (header.has_value()) {
            this->to_agent(index, packet, *header);
        }
    });
}

void simulation::to_agent(std::size_t index, const flow::packet& packet,
                          const flow::frame_header& header) {
    if (this->is_lost()) {
        return;
    }
    this->time.after(this->network_delay(), [this, index, packet, header] {
        this->receive(index, packet, header);
    });
}

void simulation::receive(std::size_t index, const flow::packet& packet,
                         const flow::frame_header& header) {
    agent* at = this->servers.at(header.candidates[header.hop].data);
    if (at == nullptr) {
        return;
    }
    this->result.most_passes =
        std::max<std::uint64_t>(this->result.most_passes, header.passes);
    const flow::agent_action action =
        this->under_test.receive(*at, header, packet, this->time.now());
    switch (action.kind) {
    case flow::action_kind::deliver:
        this->deliver(index, packet, *at, header, action.basis);
        break;
    case flow::action_kind::pass_on:
        this->to_agent(index, packet, action.header);
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
                         agent& at, const flow::frame_header& header,
                         flow::decision_basis basis) {
    this->result.foreign_deliveries += at.service == 0 ? 0 : 1;
    if (packet.flags.is_initial_syn()) {
        this->answer_opening(index, at);
        return;
    }
    this->check_delivery(index, at, header, basis);
    const auto found = at.stack.find(packet.key.caller);
    if (found == at.stack.end()) {
        return;
    }
    found->second.is_complete = true;
    if (packet.flags.fin()) {
        this->close_later(packet.key.caller, at.member.id);
    }
    if (!this->is_lost()) {
        this->time.after(this->network_delay(),
                         [this, index, sequence = packet.sequence] {
                             this->on_answer(index, sequence);
                         });
    }
}

/// The server's end outlives the caller's last packet, whose answer may be
/// lost.
void simulation::close_later(support::endpoint caller,
                             support::member_id owner) {
    this->time.after(closing_ms, [this, owner, caller] {
        agent* at = this->servers.find(owner);
        if (at != nullptr) {
            at->stack.erase(caller);
            at->table.on_flow_closed(caller);
        }
    });
}

/// Holds what an agent delivers against the model's map.
void simulation::check_delivery(std::size_t index, const agent& at,
                                const flow::frame_header& header,
                                flow::decision_basis basis) {
    const caller_flow& flow = this->flows[index];
    if (flow.state != caller_state::established) {
        return;
    }
    this->result.delivered += 1;
    this->result.passes += header.passes;
    if (flow.owner == at.member.id) {
        return;
    }
    this->result.wrong_deliveries += 1;
    this->result.double_completions +=
        basis == flow::decision_basis::completed ? 1 : 0;
}

/// Whether `at` still waits for the answer to a SYN-ACK of this sequence.
static bool is_half_open(const agent& at, support::endpoint caller,
                         std::uint32_t sequence) {
    const auto found = at.stack.find(caller);
    return found != at.stack.end() && !found->second.is_complete &&
           found->second.initial_sequence == sequence;
}

void simulation::answer_opening(std::size_t index, agent& at) {
    const support::endpoint caller = this->flows[index].caller;
    auto [found, is_new] = at.stack.try_emplace(caller);
    if (found->second.is_complete) {
        return;
    }
    if (is_new) {
        found->second.initial_sequence =
            static_cast<std::uint32_t>(this->random());
        this->plan_syn_acks(index, at.member.data,
                            found->second.initial_sequence);
    }
    const std::uint32_t sequence = found->second.initial_sequence;
    at.table.on_syn_ack_sent(caller, sequence);
    this->send_syn_ack(index, at, sequence);
}

/// As a TCP stack does: sends the SYN-ACK again until it is answered, and
/// forgets the connection in the end.
void simulation::plan_syn_acks(std::size_t index, support::endpoint address,
                               std::uint32_t sequence) {
    constexpr std::int64_t stack_timeout_ms = 20'000;
    const support::endpoint caller = this->flows[index].caller;
    for (const std::int64_t again_ms : {1000, 3000, 7000, 15'000}) {
        this->time.after(again_ms, [this, index, address, caller, sequence] {
            agent* at = this->servers.at(address);
            if (at != nullptr && is_half_open(*at, caller, sequence)) {
                this->send_syn_ack(index, *at, sequence);
            }
        });
    }
    this->time.after(stack_timeout_ms, [this, address, caller, sequence] {
        agent* at = this->servers.at(address);
        if (at != nullptr && is_half_open(*at, caller, sequence)) {
            at->stack.erase(caller);
        }
    });
}

void simulation::send_syn_ack(std::size_t index, const agent& from,
                              std::uint32_t sequence) {
    if (this->is_lost()) {
        return;
    }
    this->time.after(this->network_delay(),
                     [this, index, sequence, id = from.member.id,
                      data_centre = from.member.data_centre] {
                         this->on_syn_ack(index, id, data_centre, sequence);
                     });
}

} // namespace fake
