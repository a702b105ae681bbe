#include "tcp_connection.hpp"
#include "tcp_stack.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace guavastair::net {

/// How often lwIP's timers are checked. Its shortest timer period is 100 ms.
static constexpr support::duration protocol_timer_period{50};

/// How often connections are checked for an expired linger or TIME_WAIT period.
static constexpr support::duration wait_check_period = support::seconds(1);

static constexpr std::size_t min_ip_header_size = 20;
static constexpr std::uint8_t protocol_tcp = 6;
static constexpr std::uint8_t connection_priority = TCP_PRIO_NORMAL;

static std::uint32_t read_big_endian(std::span<const std::byte> bytes,
                                     std::size_t offset, std::size_t size) {
    constexpr unsigned bits_per_byte = 8;
    std::uint32_t result = 0;
    for (const std::byte byte : bytes.subspan(offset, size)) {
        result = (result << bits_per_byte) | std::to_integer<unsigned>(byte);
    }
    return result;
}

tcp_stack::implementation::implementation(event_loop& events,
                                          const tcp_stack_options& settings,
                                          packet_sink sink)
    : loop(events), options(settings), output(std::move(sink)) {
    static const bool initialised = [] {
        lwip_init();
        return true;
    }();
    static_cast<void>(initialised);
    const ip_addr_t address = to_lwip(settings.address);
    const ip_addr_t any_address = to_lwip({});
    netif_add(&this->interface, ip_2_ip4(&address), ip_2_ip4(&any_address),
              ip_2_ip4(&address), this, &implementation::initialise_interface,
              ip4_input);
    this->protocol_timer =
        this->loop.call_every(protocol_timer_period, sys_check_timeouts);
    this->wait_timer = this->loop.call_every(
        wait_check_period, [this] { this->reset_expired_connections(); });
    this->round_callback =
        this->loop.call_each_round([this] { this->finish_round(); });
}

tcp_stack::implementation::~implementation() {
    this->on_release = nullptr;
    this->loop.cancel(this->protocol_timer);
    this->loop.cancel(this->wait_timer);
    this->loop.cancel(this->round_callback);
    // The resets below must not reach the peers.
    this->output = [](std::span<const std::byte>) {};
    for (const auto& entry : this->listeners) {
        tcp_close(entry->pcb);
    }
    const auto open = this->connections;
    for (tcp_connection* const connection : open) {
        connection->abort();
    }
    this->finish_round();
    netif_remove(&this->interface);
}

err_t tcp_stack::implementation::initialise_interface(netif* interface) {
    const auto* const stack = static_cast<implementation*>(interface->state);
    interface->output = &implementation::on_output;
    interface->flags = NETIF_FLAG_LINK_UP;
    interface->mtu = stack->options.mtu;
    interface->name[0] = 'g';
    interface->name[1] = 's';
    return ERR_OK;
}

err_t tcp_stack::implementation::on_output(netif* interface, pbuf* packet,
                                           const ip4_addr_t*) {
    std::array<std::byte, max_datagram_size> buffer;
    const auto* const bytes = static_cast<const std::byte*>(pbuf_get_contiguous(
        packet, buffer.data(), buffer.size(), packet->tot_len, 0));
    if (bytes == nullptr || packet->tot_len < min_ip_header_size) {
        return ERR_BUF;
    }
    auto& stack = *static_cast<implementation*>(interface->state);
    ++stack.counters.packets_out;
    stack.output({bytes, packet->tot_len});
    return ERR_OK;
}

err_t tcp_stack::implementation::on_accept(void* listening, tcp_pcb* pcb,
                                           err_t error) {
    if (error != ERR_OK || pcb == nullptr) {
        return ERR_VAL;
    }
    const listener& entry = *static_cast<listener*>(listening);
    implementation& stack = *entry.stack;
    stack.set_keepalive(*pcb);
    tcp_connection& connection = stack.adopt(pcb);
    tcp_handler* const handler = entry.accept(connection);
    if (handler == nullptr) {
        connection.abort();
        return ERR_ABRT;
    }
    ++stack.counters.accepted;
    if (connection.self->is_aborted) {
        return ERR_ABRT;
    }
    connection.self->handler = handler;
    ++stack.attached_count;
    return ERR_OK;
}

tcp_connection& tcp_stack::implementation::adopt(tcp_pcb* pcb) {
    tcp_setprio(pcb, connection_priority);
    tcp_nagle_disable(pcb);
    auto* const connection = new tcp_connection(
        std::make_unique<tcp_connection::implementation>(*this, pcb));
    this->connections.insert(connection);
    return *connection;
}

void tcp_stack::implementation::on_handler_detached(
    tcp_connection& connection) {
    --this->attached_count;
    this->connections_to_notify.erase(&connection);
    connection.self->waiting_since.reset();
}

void tcp_stack::implementation::release(tcp_connection& connection,
                                        bool had_handler) {
    if (this->connections.erase(&connection) == 0) {
        return;
    }
    if (had_handler) {
        this->on_handler_detached(connection);
    }
    this->pending_deletion.push_back(&connection);
    if (this->on_release) {
        this->on_release(connection.local(), connection.peer());
    }
}

bool tcp_stack::implementation::is_wait_expired(
    tcp_connection& connection) const {
    tcp_connection::implementation& state = *connection.self;
    const bool in_time_wait = state.in_time_wait();
    const bool waits_for_peer =
        state.handler == nullptr && state.unacknowledged == 0;
    if (!in_time_wait && !waits_for_peer) {
        return false;
    }
    const support::instant now = this->loop.now();
    if (!state.waiting_since.has_value()) {
        state.waiting_since = now;
    }
    const support::duration limit =
        in_time_wait ? this->options.time_wait : this->options.linger;
    return now - *state.waiting_since >= limit;
}

void tcp_stack::implementation::reset_expired_connections() {
    std::vector<tcp_connection*> expired;
    for (tcp_connection* const connection : this->connections) {
        if (this->is_wait_expired(*connection)) {
            expired.push_back(connection);
        }
    }
    for (tcp_connection* const connection : expired) {
        connection->self->reset();
        if (connection->self->handler == nullptr) {
            this->release(*connection, false);
        }
    }
}

void tcp_stack::implementation::schedule_output(tcp_connection& connection) {
    if (connection.self->is_output_pending) {
        return;
    }
    connection.self->is_output_pending = true;
    this->pending_output.push_back(&connection);
}

void tcp_stack::implementation::schedule_end_notification(
    tcp_connection& connection) {
    const bool is_first = this->connections_to_notify.empty();
    this->connections_to_notify.insert(&connection);
    if (is_first) {
        this->loop.call_after({}, [this] { this->notify_ends(); });
    }
}

void tcp_stack::implementation::notify_ends() {
    while (!this->connections_to_notify.empty()) {
        tcp_connection* const connection = *this->connections_to_notify.begin();
        this->connections_to_notify.erase(connection);
        connection->self->handler->on_end(*connection);
    }
}

void tcp_stack::implementation::finish_round() {
    for (tcp_connection* const connection : this->pending_output) {
        connection->self->is_output_pending = false;
        if (connection->self->pcb != nullptr) {
            tcp_output(connection->self->pcb);
        }
    }
    this->pending_output.clear();
    for (const tcp_connection* const connection : this->pending_deletion) {
        delete connection;
    }
    this->pending_deletion.clear();
}

void tcp_stack::implementation::set_keepalive(tcp_pcb& pcb) const {
    ip_set_option(&pcb, SOF_KEEPALIVE);
    const tcp_stack_options& settings = this->options;
    pcb.keep_idle = static_cast<std::uint32_t>(settings.keepalive_idle.ms);
    pcb.keep_intvl = static_cast<std::uint32_t>(settings.keepalive_interval.ms);
    pcb.keep_cnt = settings.keepalive_probes;
}

bool tcp_stack::implementation::is_acceptable(
    std::span<const std::byte> packet) const {
    if (packet.size() < min_ip_header_size ||
        packet.size() > max_datagram_size) {
        return false;
    }
    constexpr std::size_t length_offset = 2;
    constexpr std::size_t fragment_offset = 6;
    constexpr std::size_t protocol_offset = 9;
    constexpr std::size_t source_offset = 12;
    constexpr std::size_t destination_offset = 16;
    constexpr std::uint32_t version_4 = 4;
    constexpr std::uint32_t more_fragments_or_offset = 0x3fff;
    const auto destination = read_big_endian(packet, destination_offset, 4);
    const auto source = read_big_endian(packet, source_offset, 4);
    const auto fragment = read_big_endian(packet, fragment_offset, 2);
    return read_big_endian(packet, 0, 1) >> 4 == version_4 &&
           read_big_endian(packet, length_offset, 2) == packet.size() &&
           (fragment & more_fragments_or_offset) == 0 &&
           read_big_endian(packet, protocol_offset, 1) == protocol_tcp &&
           destination == this->options.address.value &&
           // lwIP would loop its reply back to itself.
           source != this->options.address.value;
}

tcp_stack::tcp_stack(event_loop& loop, const tcp_stack_options& options,
                     packet_sink output)
    : self(std::make_unique<implementation>(loop, options, std::move(output))) {
}

tcp_stack::~tcp_stack() = default;

absl::Status tcp_stack::listen(std::uint16_t port, accept_callback accept) {
    tcp_pcb* const pcb = tcp_new();
    assert(pcb != nullptr && "lwIP's pools are not bounded");
    ip_set_option(pcb, SOF_REUSEADDR);
    tcp_bind_netif(pcb, &this->self->interface);
    const support::endpoint local{this->self->options.address, port};
    const ip_addr_t address = to_lwip(local.address);
    err_t error = tcp_bind(pcb, &address, port);
    tcp_pcb* listening = nullptr;
    if (error == ERR_OK) {
        listening = tcp_listen_with_backlog_and_err(
            pcb, TCP_DEFAULT_LISTEN_BACKLOG, &error);
    }
    if (listening == nullptr) {
        tcp_close(pcb);
        return support::make_error(
            support::error_kind::address_in_use,
            absl::StrCat("cannot listen on ", support::to_string(local),
                         " in user space: already in use"));
    }
    auto entry =
        std::make_unique<implementation::listener>(implementation::listener{
            this->self.get(), listening, std::move(accept)});
    tcp_arg(listening, entry.get());
    tcp_accept(listening, &implementation::on_accept);
    this->self->listeners.push_back(std::move(entry));
    return absl::OkStatus();
}

absl::StatusOr<tcp_connection*> tcp_stack::connect(support::endpoint peer,
                                                   tcp_handler& handler,
                                                   std::uint16_t local_port) {
    const support::endpoint local{this->self->options.address, local_port};
    if (peer.address == local.address) {
        return support::make_error(
            support::error_kind::invalid_input,
            absl::StrCat("the stack at ", support::to_string(local.address),
                         " cannot connect to itself"));
    }
    tcp_pcb* const pcb = tcp_new();
    assert(pcb != nullptr && "lwIP's pools are not bounded");
    this->self->set_keepalive(*pcb);
    tcp_bind_netif(pcb, &this->self->interface);
    const ip_addr_t local_address = to_lwip(local.address);
    const ip_addr_t peer_address = to_lwip(peer.address);
    err_t error = tcp_bind(pcb, &local_address, local_port);
    if (error == ERR_OK) {
        error = tcp_connect(pcb, &peer_address, peer.port,
                            &tcp_connection::implementation::on_connected);
    }
    if (error != ERR_OK) {
        tcp_abort(pcb);
        return support::make_error(
            support::error_kind::address_in_use,
            absl::StrCat("cannot connect from ", support::to_string(local),
                         " to ", support::to_string(peer)));
    }
    tcp_connection& connection = this->self->adopt(pcb);
    connection.self->handler = &handler;
    ++this->self->attached_count;
    return &connection;
}

void tcp_stack::input(std::span<const std::byte> packet) {
    if (!this->self->is_acceptable(packet)) {
        ++this->self->counters.bad_packets;
        return;
    }
    const auto size = static_cast<std::uint16_t>(packet.size());
    pbuf* const buffer = pbuf_alloc(PBUF_RAW, size, PBUF_RAM);
    if (buffer == nullptr) {
        ++this->self->counters.bad_packets;
        return;
    }
    pbuf_take(buffer, packet.data(), size);
    ++this->self->counters.packets_in;
    // lwIP sends the reset for an unknown connection through the first
    // interface that is up, so only the receiving interface is up here.
    this->self->interface.flags |= NETIF_FLAG_UP;
    ip4_input(buffer, &this->self->interface);
    this->self->interface.flags &= static_cast<u8_t>(~NETIF_FLAG_UP);
}

void tcp_stack::set_release_callback(release_callback on_release) {
    this->self->on_release = std::move(on_release);
}

std::size_t tcp_stack::connection_count() const {
    return this->self->attached_count;
}

std::size_t tcp_stack::undelivered_count() const {
    const auto& all = this->self->connections;
    const auto count =
        std::count_if(all.begin(), all.end(), [](const tcp_connection* each) {
            return each->self->is_undelivered();
        });
    return static_cast<std::size_t>(count);
}

std::size_t tcp_stack::closing_count() const {
    return this->self->connections.size() - this->self->attached_count;
}

const tcp_stack_counters& tcp_stack::counters() const {
    return this->self->counters;
}

} // namespace guavastair::net
