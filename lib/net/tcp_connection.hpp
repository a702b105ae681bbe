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

    /// Makes lwIP call the static functions below with `connection`.
    void attach(tcp_connection& connection);
    /// Makes lwIP forget the connection, and returns its control block.
    tcp_pcb* detach();
    /// Frees received buffers without a byte in them.
    void drop_empty_buffers();
    /// Frees all received buffers and opens the window again.
    void drop_received();
    /// Whether lwIP only waits for late packets.
    bool in_time_wait() const;
    /// Closed by its owner, and the peer may lack bytes or the end.
    bool is_undelivered() const;
    /// Resets the connection if lwIP still has it; silent in TIME_WAIT.
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
    /// Received and not yet consumed; a chain of lwIP buffers.
    pbuf* received = nullptr;
    std::size_t unacknowledged = 0;
    bool has_peer_ended = false;
    bool is_end_notified = false;
    /// Whether the stack has to call tcp_output at the end of the round.
    bool is_output_pending = false;
    bool is_write_shut_down = false;
    /// Whether lwIP must hear ERR_ABRT from the callback in progress.
    bool is_aborted = false;
    /// Since when close() waits for the peer, or the connection is in
    /// TIME_WAIT.
    std::optional<support::instant> waiting_since;
};

/// The address of lwIP in the host's terms.
support::ipv4_address from_lwip(const ip_addr_t& address);
/// The address in lwIP's terms.
ip_addr_t to_lwip(support::ipv4_address address);

} // namespace guavastair::net

#endif
