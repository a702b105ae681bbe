#include "tcp_connection.hpp"
#include "tcp_stack.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace guavastair::net {

support::ipv4_address from_lwip(const ip_addr_t& address) {
    return {lwip_ntohl(ip4_addr_get_u32(ip_2_ip4(&address)))};
}

ip_addr_t to_lwip(support::ipv4_address address) {
    ip_addr_t result{};
    ip_addr_set_ip4_u32_val(result, lwip_htonl(address.value));
    return result;
}

void tcp_handler::on_connected(tcp_connection&) {}

tcp_connection::implementation::implementation(tcp_stack::implementation& owner,
                                               tcp_pcb* control_block)
    : stack(owner),
      pcb(control_block), local{from_lwip(control_block->local_ip),
                                control_block->local_port},
      peer{from_lwip(control_block->remote_ip), control_block->remote_port} {}

tcp_connection::implementation::~implementation() {
    if (this->received != nullptr) {
        pbuf_free(this->received);
    }
}

void tcp_connection::implementation::attach(tcp_connection& connection) {
    tcp_arg(this->pcb, &connection);
    tcp_recv(this->pcb, &implementation::on_received);
    tcp_sent(this->pcb, &implementation::on_sent);
    tcp_err(this->pcb, &implementation::on_error);
}

tcp_pcb* tcp_connection::implementation::detach() {
    if (this->pcb == nullptr) {
        return nullptr;
    }
    tcp_arg(this->pcb, nullptr);
    tcp_recv(this->pcb, nullptr);
    tcp_sent(this->pcb, nullptr);
    tcp_err(this->pcb, nullptr);
    return std::exchange(this->pcb, nullptr);
}

void tcp_connection::implementation::drop_empty_buffers() {
    while (this->received != nullptr && this->received->len == 0) {
        pbuf* const first = this->received;
        this->received = first->next;
        if (this->received != nullptr) {
            pbuf_ref(this->received);
        }
        pbuf_free(first);
    }
}

void tcp_connection::implementation::drop_received() {
    if (this->received == nullptr) {
        return;
    }
    const std::uint16_t size = this->received->tot_len;
    pbuf_free(std::exchange(this->received, nullptr));
    if (this->pcb != nullptr) {
        tcp_recved(this->pcb, size);
    }
}

bool tcp_connection::implementation::in_time_wait() const {
    return this->pcb != nullptr && this->pcb->state == TIME_WAIT;
}

bool tcp_connection::implementation::is_undelivered() const {
    if (this->handler != nullptr || this->pcb == nullptr) {
        return false;
    }
    return this->pcb->state != FIN_WAIT_2 && this->pcb->state != TIME_WAIT;
}

void tcp_connection::implementation::reset() {
    tcp_pcb* const control_block = this->detach();
    if (control_block != nullptr) {
        this->is_aborted = true;
        tcp_abort(control_block);
    }
}

err_t tcp_connection::implementation::on_received(void* connection, tcp_pcb*,
                                                  pbuf* buffer, err_t) {
    auto& target = *static_cast<tcp_connection*>(connection);
    implementation& state = *target.self;
    if (buffer == nullptr) {
        state.has_peer_ended = true;
        if (state.received == nullptr && state.handler != nullptr) {
            state.is_end_notified = true;
            state.handler->on_end(target);
        }
        return state.is_aborted ? ERR_ABRT : ERR_OK;
    }
    if (state.received == nullptr) {
        state.received = buffer;
    } else {
        pbuf_cat(state.received, buffer);
    }
    state.drop_empty_buffers();
    if (state.handler == nullptr) {
        state.drop_received();
        return ERR_OK;
    }
    state.handler->on_readable(target);
    return state.is_aborted ? ERR_ABRT : ERR_OK;
}

err_t tcp_connection::implementation::on_sent(void* connection, tcp_pcb*,
                                              std::uint16_t size) {
    auto& target = *static_cast<tcp_connection*>(connection);
    implementation& state = *target.self;
    // lwIP counts an acknowledged FIN as a byte.
    state.unacknowledged -= std::min<std::size_t>(state.unacknowledged, size);
    if (state.handler != nullptr) {
        state.handler->on_writable(target);
    }
    return state.is_aborted ? ERR_ABRT : ERR_OK;
}

err_t tcp_connection::implementation::on_connected(void* connection, tcp_pcb*,
                                                   err_t) {
    auto& target = *static_cast<tcp_connection*>(connection);
    implementation& state = *target.self;
    ++state.stack.counters.connected;
    if (state.is_write_shut_down) {
        tcp_shutdown(state.pcb, 0, 1);
    }
    state.handler->on_connected(target);
    return state.is_aborted ? ERR_ABRT : ERR_OK;
}

void tcp_connection::implementation::on_error(void* connection, err_t error) {
    auto& target = *static_cast<tcp_connection*>(connection);
    implementation& state = *target.self;
    // lwIP has already freed the control block.
    state.pcb = nullptr;
    if (error == ERR_CLSD && state.handler != nullptr) {
        // Both ends have closed, but received bytes are not consumed yet.
        return;
    }
    tcp_handler* const handler = std::exchange(state.handler, nullptr);
    state.stack.release(target, handler != nullptr);
    if (handler == nullptr) {
        return;
    }
    ++state.stack.counters.failed;
    const bool was_reset = error == ERR_RST;
    const absl::Status reason =
        was_reset ? support::make_error(support::error_kind::cancelled,
                                        "the peer reset the connection")
                  : support::make_error(
                        support::error_kind::peer_unreachable,
                        "the peer did not answer before the time-out");
    handler->on_failed(target, reason);
}

tcp_connection::tcp_connection(std::unique_ptr<implementation> state)
    : self(std::move(state)) {
    this->self->attach(*this);
}

tcp_connection::~tcp_connection() = default;

support::endpoint tcp_connection::local() const {
    return this->self->local;
}

support::endpoint tcp_connection::peer() const {
    return this->self->peer;
}

std::span<const std::byte> tcp_connection::peek() const {
    const pbuf* const first = this->self->received;
    if (first == nullptr) {
        return {};
    }
    return {static_cast<const std::byte*>(first->payload), first->len};
}

void tcp_connection::consume(std::size_t count) {
    assert(count <= this->peek().size() && "count exceeds the size of peek()");
    if (count == 0) {
        return;
    }
    implementation& state = *this->self;
    const auto size = static_cast<std::uint16_t>(count);
    state.received = pbuf_free_header(state.received, size);
    state.drop_empty_buffers();
    if (state.pcb != nullptr) {
        tcp_recved(state.pcb, size);
    }
    if (state.received == nullptr && state.has_peer_ended &&
        !state.is_end_notified) {
        state.is_end_notified = true;
        state.stack.schedule_end_notification(*this);
    }
}

std::size_t tcp_connection::write(std::span<const std::byte> bytes) {
    implementation& state = *this->self;
    assert(!state.is_write_shut_down && "write after shutdown_write");
    const std::size_t count = std::min(bytes.size(), this->writable_size());
    if (count == 0) {
        return 0;
    }
    const auto size = static_cast<std::uint16_t>(count);
    const err_t error =
        tcp_write(state.pcb, bytes.data(), size, TCP_WRITE_FLAG_COPY);
    if (error != ERR_OK) {
        return 0;
    }
    state.unacknowledged += count;
    state.stack.schedule_output(*this);
    return count;
}

std::size_t tcp_connection::writable_size() const {
    if (this->self->pcb == nullptr || this->self->is_write_shut_down) {
        return 0;
    }
    return tcp_sndbuf(this->self->pcb);
}

std::size_t tcp_connection::unacknowledged_size() const {
    return this->self->unacknowledged;
}

void tcp_connection::shutdown_write() {
    implementation& state = *this->self;
    if (state.pcb == nullptr || state.is_write_shut_down) {
        return;
    }
    state.is_write_shut_down = true;
    // During the handshake the FIN is deferred to on_connected.
    if (state.pcb->state != SYN_SENT) {
        // lwIP retries on its own if it lacks the memory for a FIN.
        tcp_shutdown(state.pcb, 0, 1);
    }
}

void tcp_connection::close() {
    implementation& state = *this->self;
    if (state.handler == nullptr) {
        return;
    }
    this->shutdown_write();
    state.handler = nullptr;
    state.drop_received();
    state.stack.on_handler_detached(*this);
    const bool never_connected =
        state.pcb != nullptr && state.pcb->state == SYN_SENT;
    if (never_connected) {
        state.reset();
    }
    if (state.pcb == nullptr) {
        state.stack.release(*this, false);
    }
}

void tcp_connection::abort() {
    implementation& state = *this->self;
    const bool had_handler = std::exchange(state.handler, nullptr) != nullptr;
    state.reset();
    state.stack.release(*this, had_handler);
}

} // namespace guavastair::net
