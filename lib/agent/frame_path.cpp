#include "frame_path.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace guavastair::agent {

/// Most batches that are taken in before other work of the loop has its turn.
static constexpr std::size_t batches_per_round = 8;

static flow::agent_identity identity_of(const agent_options& options,
                                        const net::udp_socket& socket) {
    return {options.id, socket.local(), options.service_address};
}

frame_path::frame_path(net::event_loop& events, const agent_options& chosen,
                       agent_observer& event_observer,
                       agent_counters& shared_counters,
                       admission::controller& controller,
                       net::udp_socket opened)
    : loop(events), options(chosen), observer(event_observer),
      counters(shared_counters), socket(std::move(opened)),
      flows(identity_of(chosen, this->socket), chosen.flows, events.now()),
      gate(controller, chosen),
      view(std::make_shared<const placement::fleet_view>()) {
    this->second_timer = this->loop.call_every(support::seconds(1),
                                               [this] { this->each_second(); });
}

frame_path::~frame_path() {
    this->loop.cancel(this->second_timer);
    this->loop.cancel(this->flush_callback);
    this->loop.unwatch(this->socket.descriptor());
}

absl::Status frame_path::start(packet_sink deliver) {
    this->to_stack = std::move(deliver);
    this->flush_callback =
        this->loop.call_each_round([this] { this->socket.flush(); });
    return this->loop.watch(this->socket.descriptor(), {.readable = true},
                            [this](net::readiness) { this->receive(); });
}

void frame_path::send_to_caller(std::span<const std::byte> packet) {
    this->socket.queue_copy(this->options.return_path, packet);
}

void frame_path::set_view(std::shared_ptr<const placement::fleet_view> next) {
    assert(next != nullptr && "an empty view stands for no service");
    this->view.store(std::move(next));
}

void frame_path::set_max_connections(std::size_t limit) {
    this->gate.set_max_flows(limit);
}

void frame_path::receive() {
    for (std::size_t i = 0; i < batches_per_round; ++i) {
        const auto batch = this->socket.receive();
        if (batch.empty()) {
            return;
        }
        const auto current = this->view.load();
        const auto* const own = current->find(this->options.service_address);
        if (current != this->noted_view) {
            this->noted_view = current;
            this->note_members(own);
        }
        for (const net::datagram& item : batch) {
            this->take_frame(item, own);
        }
        // Packets that were passed on point into this batch.
        this->socket.flush();
        if (batch.size() < this->options.batch) {
            return;
        }
    }
}

void frame_path::note_members(const placement::service_table* own) {
    std::vector<support::member_id> present;
    if (own != nullptr) {
        present.reserve(own->source().members.size());
        for (const placement::member& one : own->source().members) {
            present.push_back(one.id);
        }
    }
    std::ranges::sort(present);
    for (const support::member_id id : this->noted_members) {
        if (!std::ranges::binary_search(present, id)) {
            this->flows.on_member_left(id);
        }
    }
    this->noted_members = std::move(present);
}

void frame_path::take_frame(const net::datagram& item,
                            const placement::service_table* own) {
    ++this->counters.frames;
    const auto frame = flow::parse_frame(item.payload);
    if (!frame.ok()) {
        this->count_dropped_frame(item.peer, frame.reason);
        return;
    }
    this->take_packet(frame.value, own);
}

void frame_path::take_packet(const flow::frame& frame,
                             const placement::service_table* own) {
    const auto packet =
        flow::parse_packet(frame.packet, {.verify_tcp_checksum = true});
    if (!packet.ok()) {
        const flow::agent_action dropped{.kind = flow::action_kind::drop,
                                         .reason = packet.reason};
        this->carry_out(dropped, packet.value, frame.packet);
        return;
    }
    if (packet.value.flags.is_initial_syn()) {
        this->gate.prepare(frame.header, this->flows.shared_counters());
    }
    const flow::agent_action action = this->flows.on_packet(
        frame.header, packet.value, this->loop.now(), this->gate, own);
    this->carry_out(action, packet.value, frame.packet);
}

void frame_path::carry_out(const flow::agent_action& action,
                           const flow::packet& packet,
                           std::span<const std::byte> bytes) {
    this->observe(action, packet);
    switch (action.kind) {
    case flow::action_kind::deliver:
        ++this->counters.delivered;
        this->to_stack(bytes);
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
    const bool is_usual = action.kind == flow::action_kind::deliver;
    if (is_opening || (!is_usual && this->may_observe())) {
        this->observer.on_packet(packet, action);
    }
}

void frame_path::count_dropped_frame(support::endpoint from,
                                     flow::drop_reason reason) {
    ++this->counters.dropped[static_cast<std::size_t>(reason)];
    if (this->may_observe()) {
        this->observer.on_bad_frame(from, reason);
    }
}

bool frame_path::may_observe() {
    if (this->observed == this->options.observed_packets_per_second) {
        return false;
    }
    ++this->observed;
    return true;
}

void frame_path::each_second() {
    this->observed = 0;
    this->flows.tick(this->loop.now());
}

} // namespace guavastair::agent
