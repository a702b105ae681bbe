#ifndef GUAVASTAIR_LIB_NET_TCP_CONNECTION_HPP
#define GUAVASTAIR_LIB_NET_TCP_CONNECTION_HPP

#include "lwip.hpp"

#include <guavastair/net.hpp>

#include <optional>

namespace guavastair::net {

/// State of one connection. `pcb` is lwIP's control block, null once lwIP has
/// freed it. `handler` is null once the owner has closed the connection.
struct tcp_connection::implementation {
    implementation(tcp_stack::implementation& owner, tcp_pcb* control_block);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    /// Registers the static callbacks below with lwIP, with `connection` as
    /// their argument.
    void attach(tcp_connection& connection);
    /// Unregisters the callbacks and returns the control block; null if lwIP
    /// has freed it.
    tcp_pcb* detach();
    /// Frees empty buffers at the head of the receive chain.
    void drop_empty_buffers();
    /// Frees all received buffers and reopens the receive window.
    void drop_received();
    /// Whether the connection is in TIME_WAIT.
    bool in_time_wait() const;
    /// Whether the owner has closed the connection and the peer has not yet
    /// acknowledged all bytes and the FIN.
    bool is_undelivered() const;
    /// Resets the connection if lwIP still has a control block. Sends no
    /// packet in TIME_WAIT.
    void reset();

    static err_t on_received(void* connection, tcp_pcb* control_block,
                             pbuf* buffer, err_t error);
    static err_t on_sent(void* connection, tcp_pcb* control_block,
                         std::uint16_t size);
    static err_t on_connected(void* connection, tcp_pcb* control_block,
                              err_t error);
    static void on_error(void* connection, err_t error);

    tcp_stack::implementation& stack;
    tcp_pcb* pcb;
    tcp_handler* handler = nullptr;
    support::endpoint local;
    support::endpoint peer;
    /// Received and unconsumed bytes, as a chain of lwIP buffers.
    pbuf* received = nullptr;
    std::size_t unacknowledged = 0;
    bool has_peer_ended = false;
    bool is_end_notified = false;
    /// Whether the stack calls tcp_output at the end of the round.
    bool is_output_pending = false;
    bool is_write_shut_down = false;
    /// Whether the lwIP callback in progress must return ERR_ABRT, because the
    /// control block was aborted.
    bool is_aborted = false;
    /// Start of the wait for the peer's FIN after close(), or of TIME_WAIT, as
    /// first observed by the periodic check.
    std::optional<support::instant> waiting_since;
};

/// Converts an lwIP address to host byte order.
support::ipv4_address from_lwip(const ip_addr_t& address);
/// Converts an address to lwIP's representation.
ip_addr_t to_lwip(support::ipv4_address address);

} // namespace guavastair::net

#endif
