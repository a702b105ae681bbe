#ifndef GUAVASTAIR_LIB_NET_TCP_STACK_HPP
#define GUAVASTAIR_LIB_NET_TCP_STACK_HPP

#include "lwip.hpp"

#include <guavastair/net.hpp>

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace guavastair::net {

/// One interface of lwIP with its connections.
struct tcp_stack::implementation {
    struct listener {
        implementation* stack;
        tcp_pcb* pcb;
        accept_callback accept;
    };

    implementation(event_loop& events, const tcp_stack_options& settings,
                   packet_sink sink);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    /// Makes a connection round `pcb`, owned by this stack.
    tcp_connection& adopt(tcp_pcb* pcb);
    /// Counts a connection as closed by its handler.
    void detach_handler(tcp_connection& connection);
    /// Ends a connection, which a handler held until now if `had_handler`. Its
    /// memory lives until the round ends, because a callback of it may be in
    /// progress.
    void release(tcp_connection& connection, bool had_handler);
    /// Ends the connections that have waited for their peers long enough.
    void reset_expired_connections();
    /// Whether the wait of `connection` is over.
    bool is_wait_expired(tcp_connection& connection) const;
    /// Remembers to call tcp_output for `connection`.
    void schedule_output(tcp_connection& connection);
    /// Remembers to call on_end for `connection`, outside the present call.
    void schedule_end_notification(tcp_connection& connection);
    void notify_ends();
    void finish_round();
    void set_keepalive(tcp_pcb& pcb) const;
    bool is_acceptable(std::span<const std::byte> packet) const;

    static err_t initialise_interface(netif* interface);
    static err_t on_output(netif* interface, pbuf* packet,
                           const ip4_addr_t* next_hop);
    static err_t on_accept(void* listening, tcp_pcb* pcb, err_t error);

    event_loop& loop;
    tcp_stack_options options;
    packet_sink output;
    netif interface {};
    tcp_stack_counters counters;
    std::vector<std::unique_ptr<listener>> listeners;
    std::unordered_set<tcp_connection*> connections;
    /// Those of `connections` that have a handler.
    std::size_t attached_count = 0;
    release_callback on_release;
    std::unordered_set<tcp_connection*> connections_to_notify;
    std::vector<tcp_connection*> pending_output;
    std::vector<tcp_connection*> pending_deletion;
    timer_id protocol_timer;
    timer_id wait_timer;
    timer_id round_callback;
};

} // namespace guavastair::net

#endif
