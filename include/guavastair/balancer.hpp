/// The balancer receives packets from the packet fabric, selects an agent for
/// each with flow::forward_decision and sends the packet there in a frame. It
/// keeps no flow state.

#ifndef GUAVASTAIR_BALANCER_HPP
#define GUAVASTAIR_BALANCER_HPP

#include <guavastair/flow.hpp>
#include <guavastair/net.hpp>
#include <guavastair/placement.hpp>
#include <guavastair/support.hpp>

#include <absl/status/statusor.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace guavastair::balancer {

/// Options of balancer::open.
struct balancer_options {
    /// Address on which packets from the packet fabric are received, one IPv4
    /// packet per UDP datagram.
    support::endpoint listen;
    /// Maximum number of packets in one system call.
    std::size_t batch = 64;
    /// Maximum number of batches forwarded before control returns to the event
    /// loop.
    std::size_t batches_per_round = 8;
    /// Maximum number of drops reported to the observer in one second. All
    /// drops are counted.
    std::uint32_t observed_drops_per_second = 10;
};

/// Counters since the balancer was opened.
struct balancer_counters {
    std::uint64_t received = 0;
    std::uint64_t forwarded = 0;
    /// Forwarded packets with an initial SYN.
    std::uint64_t opening = 0;
    /// Dropped packets by flow::drop_reason.
    std::array<std::uint64_t, flow::drop_reason_count> dropped{};
    net::udp_counters socket;

    std::uint64_t dropped_for(flow::drop_reason reason) const {
        return this->dropped[static_cast<std::size_t>(reason)];
    }
};

/// Receives the decisions that are logged. It is called on the loop's thread
/// from the packet path, so it must return quickly.
class balancer_observer {
public:
    virtual ~balancer_observer() = default;

    /// A packet with an initial SYN was forwarded.
    virtual void on_opening(const flow::forward_action& action) = 0;

    /// A packet from `from` was dropped. `unobserved` is the number of drops
    /// since the previous call that were counted but not reported.
    virtual void on_drop(support::endpoint from,
                         const flow::forward_action& action,
                         std::uint64_t unobserved) = 0;
};

/// Forwards packets on an event loop. All functions except set_view must be
/// called on the loop's thread.
class balancer {
public:
    /// Opens the socket and starts forwarding. `loop` and `observer` must
    /// outlive the balancer. Returns the errors of udp_socket::open and of the
    /// event loop's watch.
    static absl::StatusOr<std::unique_ptr<balancer>>
    open(net::event_loop& loop, const balancer_options& options,
         balancer_observer& observer);

    ~balancer();
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;

    /// Replaces the view by which packets are forwarded. Each batch uses a
    /// single view. May be called from any thread. `view` must not be null.
    void set_view(std::shared_ptr<const placement::fleet_view> view);

    /// The address on which packets are received.
    support::endpoint local() const;

    balancer_counters counters() const;

private:
    struct implementation;
    explicit balancer(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::balancer

#endif
