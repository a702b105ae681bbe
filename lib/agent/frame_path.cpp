#include "frame_path.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace guavastair::agent {

/// Maximum number of batches received before control returns to the event loop.
static constexpr std::size_t batches_per_round = 8;

static flow::agent_identity identity_of(const agent_options& options,
                                        const net::udp_socket& socket) {
    return {options.id, socket.local(), options.service_address};
}

frame_path::frame_path(net::event_loop& events,
                       const agent_options& agent_config,
                       agent_observer& event_observer,
                       agent_counters& shared_counters,
                       admission::controller& controller,
                       net::udp_socket frame_socket)
    : loop(events), options(agent_config), observer(event_observer),
      counters(shared_counters), socket(std::move(frame_socket)),
      flows(identity_of(agent_config, this->socket), agent_config.flows,
            events.now()),
      opening_policy(controller, agent_config),
      view(std::make_shared<const placement::fleet_view>()) {
    this->second_timer = this->loop.call_every(
        support::seconds(1), [this] { this->on_second_elapsed(); });
}

frame_path::~frame_path() {
    this->loop.cancel(this->second_timer);
    this->loop.cancel(this->flush_callback);
    this->loop.unwatch(this->socket.descriptor());
}

absl::Status frame_path::start(packet_sink deliver) {
    this->stack_input = std::move(deliver);
    this->flush_callback =
        this->loop.call_each_round([this] { this->socket.flush(); });
    return this->loop.watch(this->socket.descriptor(), {.readable = true},
                            [this](net::readiness) { this->receive(); });
}

void frame_path::send_to_caller(std::span<const std::byte> packet) {
    this->socket.queue_copy(this->options.return_path, packet);
}

void frame_path::set_view(std::shared_ptr<const placement::fleet_view> next) {
    assert(next != nullptr && "no service is expressed by an empty view");
    this->view.store(std::move(next));
}

void frame_path::set_max_connections(std::size_t limit) {
    this->opening_policy.set_max_flows(limit);
}

void frame_path::receive() {
    for (std::size_t i = 0; i < batches_per_round; ++i) {
        const auto batch = this->socket.receive();
        if (batch.empty()) {
            return;
        }
        const auto current = this->view.load();
        const auto* const own = current->find(this->options.service_address);
        if (current != this->last_view) {
            this->last_view = current;
            this->report_departed_members(own);
        }
        for (const net::datagram& item : batch) {
            this->handle_frame(item, own);
        }
        // The queued packets for other agents refer to the memory of this
        // batch.
        this->socket.flush();
        if (batch.size() < this->options.batch) {
            return;
        }
    }
}

void frame_path::report_departed_members(const placement::service_table* own) {
    std::vector<support::member_id> current_members;
    if (own != nullptr) {
        current_members.reserve(own->source().members.size());
        for (const placement::member& one : own->source().members) {
            current_members.push_back(one.id);
        }
    }
    std::ranges::sort(current_members);
    for (const support::member_id id : this->last_members) {
        if (!std::ranges::binary_search(current_members, id)) {
            this->flows.on_member_left(id);
        }
    }
    this->last_members = std::move(current_members);
}

void frame_path::handle_frame(const net::datagram& item,
                              const placement::service_table* own) {
    ++this->counters.frames;
    const auto frame = flow::parse_frame(item.payload);
    if (!frame.ok()) {
        this->count_dropped_frame(item.peer, frame.reason);
        return;
    }
    this->handle_packet(frame.value, own);
}

void frame_path::handle_packet(const flow::frame& frame,
                               const placement::service_table* own) {
    const auto packet =
        flow::parse_packet(frame.packet, {.verify_tcp_checksum = true});
    if (!packet.ok()) {
        const flow::agent_action dropped{.kind = flow::action_kind::drop,
                                         .reason = packet.reason};
        this->execute(dropped, packet.value, frame.packet);
        return;
    }
    if (packet.value.flags.is_initial_syn()) {
        this->opening_policy.prepare(frame.header, this->flows.counts());
    }
    const flow::agent_action action =
        this->flows.on_packet(frame.header, packet.value, this->loop.now(),
                              this->opening_policy, own);
    this->execute(action, packet.value, frame.packet);
}

void frame_path::execute(const flow::agent_action& action,
                         const flow::packet& packet,
                         std::span<const std::byte> bytes) {
    this->observe(action, packet);
    switch (action.kind) {
    case flow::action_kind::deliver:
        ++this->counters.delivered;
        this->stack_input(bytes);
        return;
    case flow::action_kind::pass_on: {
        std::array<std::byte, flow::max_frame_header_size> head;
        const std::size_t size = flow::encode_frame_header(action.header, head);
        ++this->counters.passed_on;
        this->socket.queue(action.next.data, std::span(head).first(size),
                           bytes);
        return;
    }
    case flow::action_kind::reset: {
        std::array<std::byte, flow::reset_packet_size> reset;
        flow::encode_reset(packet, reset);
        ++this->counters.resets;
        this->send_to_caller(reset);
        return;
    }
    case flow::action_kind::drop:
        ++this->counters.dropped[static_cast<std::size_t>(action.reason)];
        return;
    }
}

void frame_path::observe(const flow::agent_action& action,
                         const flow::packet& packet) {
    const bool is_opening = packet.flags.is_initial_syn();
    const bool is_delivery = action.kind == flow::action_kind::deliver;
    if (is_opening || (!is_delivery && this->consume_observation_quota())) {
        this->observer.on_packet(packet, action);
    }
}

void frame_path::count_dropped_frame(support::endpoint from,
                                     flow::drop_reason reason) {
    ++this->counters.dropped[static_cast<std::size_t>(reason)];
    if (this->consume_observation_quota()) {
        this->observer.on_bad_frame(from, reason);
    }
}

bool frame_path::consume_observation_quota() {
    if (this->observed_this_second ==
        this->options.observed_packets_per_second) {
        return false;
    }
    ++this->observed_this_second;
    return true;
}

void frame_path::on_second_elapsed() {
    this->observed_this_second = 0;
    this->flows.tick(this->loop.now());
}

} // namespace guavastair::agent
