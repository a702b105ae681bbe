/// The metrics that a process exports, updated from the counters of its
/// components.

#ifndef GUAVASTAIR_LIB_NODE_METRICS_PAGE_HPP
#define GUAVASTAIR_LIB_NODE_METRICS_PAGE_HPP

#include <guavastair/agent.hpp>
#include <guavastair/balancer.hpp>
#include <guavastair/metrics.hpp>

#include <array>
#include <atomic>

namespace guavastair::node {

class process;

/// A counter value that one thread sets and the metrics page reads.
using shared_count = std::atomic<std::uint64_t>;

/// Dropped packets by reason, for both roles.
class drop_metrics {
public:
    explicit drop_metrics(metrics::registry& registry);

    void set(const std::array<std::uint64_t, flow::drop_reason_count>& dropped);

private:
    std::array<shared_count, flow::drop_reason_count> counts{};
};

/// Metrics of a balancer. The registry refers to this object's members, so the
/// object must live as long as the registry is read.
class balancer_metrics {
public:
    explicit balancer_metrics(metrics::registry& registry);

    void set(const balancer::balancer_counters& counters);

private:
    shared_count received = 0;
    shared_count forwarded = 0;
    shared_count opening = 0;
    drop_metrics drops;
};

/// Metrics of an agent, with the lifetime rule of balancer_metrics.
class agent_metrics {
public:
    explicit agent_metrics(metrics::registry& registry);

    void set(const agent::agent_counters& counters,
             const admission::controller_status& admission,
             std::size_t active_flows);

private:
    shared_count frames = 0;
    shared_count passed_on = 0;
    shared_count resets = 0;
    shared_count opened = 0;
    shared_count finished = 0;
    shared_count lost = 0;
    shared_count cut = 0;
    shared_count server_failures = 0;
    shared_count flows = 0;
    shared_count limit = 0;
    shared_count running = 0;
    shared_count cold = 0;
    drop_metrics drops;
};

/// Registers the counters of the control plane and of the store client.
void add_control_metrics(process& host_process);

} // namespace guavastair::node

#endif
