#include "schemes.hpp"

#include <unordered_map>

namespace fake {

class flow_search final : public scheme {
public:
    const char* name() const override {
        return "flow search";
    }

    std::optional<flow::frame_header>
    forward(std::size_t, process_view& view,
            const flow::packet& packet) override {
        const auto* table = view.full_view().find(packet.key.service);
        flow::frame_header header;
        header.candidates = table->candidates(flow::flow_hash(packet.key));
        if (header.candidates.empty()) {
            return std::nullopt;
        }
        return header;
    }

    flow::agent_action receive(agent& receiver,
                               const flow::frame_header& header,
                               const flow::packet& packet,
                               support::instant now) override {
        const auto* own_table = receiver.view.full_view().find(
            address_of_service(receiver.service));
        return receiver.table.on_packet(header, packet, now, receiver.admission,
                                        own_table);
    }
};

/// Base class of the three baselines. The balancer chooses a single target, and
/// the agent there resets packets of connections that its TCP stack does not
/// have.
class single_target : public scheme {
public:
    std::optional<flow::frame_header>
    forward(std::size_t balancer, process_view& view,
            const flow::packet& packet) override {
        const auto* table = view.accepting_view().find(packet.key.service);
        if (table->source().members.empty()) {
            return std::nullopt;
        }
        flow::frame_header header;
        header.candidates.size = 1;
        header.candidates.items[0] = this->target(balancer, *table, packet);
        return header;
    }

    flow::agent_action receive(agent& receiver, const flow::frame_header&,
                               const flow::packet& packet,
                               support::instant) override {
        using flow::action_kind;
        using flow::decision_basis;
        if (packet.key.service != address_of_service(receiver.service)) {
            return {action_kind::reset, decision_basis::not_served};
        }
        const auto entry = receiver.stack.find(packet.key.caller);
        if (packet.flags.is_initial_syn()) {
            return {action_kind::deliver, decision_basis::opened};
        }
        if (entry == receiver.stack.end()) {
            return {action_kind::reset, decision_basis::exhausted};
        }
        if (entry->second.is_complete) {
            return {action_kind::deliver, decision_basis::owned};
        }
        if (packet.acknowledgement == entry->second.initial_sequence + 1) {
            return {action_kind::deliver, decision_basis::completed};
        }
        return {action_kind::reset, decision_basis::exhausted};
    }

protected:
    virtual placement::candidate target(std::size_t balancer,
                                        const placement::service_table& table,
                                        const flow::packet& packet) = 0;
};

class modulo_hashing final : public single_target {
public:
    const char* name() const override {
        return "modulo hashing";
    }

protected:
    placement::candidate target(std::size_t,
                                const placement::service_table& table,
                                const flow::packet& packet) override {
        const auto& members = table.source().members;
        const auto& target_member =
            members[flow::flow_hash(packet.key) % members.size()];
        return {target_member.id, target_member.data};
    }
};

class consistent_hashing final : public single_target {
public:
    const char* name() const override {
        return "consistent hashing";
    }

protected:
    placement::candidate target(std::size_t,
                                const placement::service_table& table,
                                const flow::packet& packet) override {
        return table.candidates(flow::flow_hash(packet.key))[0];
    }
};

class balancer_flow_table final : public single_target {
public:
    const char* name() const override {
        return "flow table per balancer";
    }

protected:
    placement::candidate target(std::size_t balancer,
                                const placement::service_table& table,
                                const flow::packet& packet) override {
        auto& flows = this->tables[balancer];
        const auto first = table.candidates(flow::flow_hash(packet.key))[0];
        if (packet.flags.is_initial_syn()) {
            flows[packet.key.caller] = first;
        }
        return flows.try_emplace(packet.key.caller, first).first->second;
    }

private:
    std::array<std::map<support::endpoint, placement::candidate>,
               fleet::balancer_count>
        tables;
};

std::unique_ptr<scheme> make_flow_search() {
    return std::make_unique<flow_search>();
}

std::unique_ptr<scheme> make_modulo_hashing() {
    return std::make_unique<modulo_hashing>();
}

std::unique_ptr<scheme> make_consistent_hashing() {
    return std::make_unique<consistent_hashing>();
}

std::unique_ptr<scheme> make_balancer_flow_table() {
    return std::make_unique<balancer_flow_table>();
}

} // namespace fake
