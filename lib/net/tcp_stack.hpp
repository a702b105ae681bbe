#ifndef GUAVASTAIR_LIB_NET_TCP_STACK_HPP
#define GUAVASTAIR_LIB_NET_TCP_STACK_HPP

#include "lwip.hpp"

#include <guavastair/net.hpp>

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace guavastair::net {

/// One lwIP network interface and its connections.
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

    /// Creates the connection object of `pcb`. The stack owns it.
    tcp_connection& adopt(tcp_pcb* pcb);
    /// Updates the count and the pending notifications when a connection loses
    /// its handler.
    void on_handler_detached(tcp_connection& connection);
    /// Releases a connection; `had_handler` if it had a handler until now. Its
    /// memory is freed at the end of the round, because one of its callbacks
    /// may be in progress.
    void release(tcp_connection& connection, bool had_handler);
    /// Resets the connections whose linger or TIME_WAIT period is over.
    void reset_expired_connections();
    /// Whether the linger or TIME_WAIT period of `connection` is over. Records
    /// the start of the period if it has just begun.
    bool is_wait_expired(tcp_connection& connection) const;
    /// Schedules tcp_output for `connection` at the end of the round.
    void schedule_output(tcp_connection& connection);
    /// Schedules on_end for `connection`, outside the current call.
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
    /// Number of `connections` that have a handler.
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
