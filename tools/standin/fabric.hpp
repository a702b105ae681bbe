/// A stand-in for the packet fabric. It sprays callers' packets over balancers,
/// packet by packet, and forwards agents' packets to the callers.

#ifndef GUAVASTAIR_TOOLS_STANDIN_FABRIC_HPP
#define GUAVASTAIR_TOOLS_STANDIN_FABRIC_HPP

#include <guavastair/net.hpp>
#include <guavastair/support.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace guavastair::standin {

/// Probabilities of packet faults, in parts of 10,000, in both directions.
struct fabric_faults {
    std::uint32_t lose = 0;
    std::uint32_t duplicate = 0;
    /// Packets delayed by up to `reorder_span`.
    std::uint32_t reorder = 0;
    support::duration reorder_span = support::milliseconds(5);

    bool operator==(const fabric_faults&) const = default;
};

/// A balancer and the one-way delay to its data centre.
struct fabric_balancer {
    support::endpoint address;
    support::duration delay;

    bool operator==(const fabric_balancer&) const = default;
};

struct fabric_options {
    /// UDP address for packets from callers.
    support::endpoint callers;
    /// UDP address for packets from agents to callers.
    support::endpoint returns;
    std::vector<fabric_balancer> balancers;
    /// One-way delay of returned packets.
    support::duration return_delay;
    fabric_faults faults;
    std::uint64_t seed = 1;
};

struct fabric_counters {
    std::uint64_t from_callers = 0;
    std::uint64_t from_agents = 0;
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t reordered = 0;
    /// Packets dropped because their flow was silenced.
    std::uint64_t silenced = 0;
    /// Packets to an unknown caller, truncated packets from agents, and packets
    /// that arrived while there was no balancer.
    std::uint64_t undeliverable = 0;
};

/// The fabric on an event loop.
class fabric {
public:
    static absl::StatusOr<std::unique_ptr<fabric>>
    open(net::event_loop& loop, const fabric_options& options);
    ~fabric();
    fabric(const fabric&) = delete;
    fabric& operator=(const fabric&) = delete;

    support::endpoint callers() const;
    support::endpoint returns() const;

    void set_balancers(std::vector<fabric_balancer> balancers);
    void set_faults(const fabric_faults& faults);

    /// Drops all further packets of the flows seen so far, in both directions.
    /// New flows are not affected.
    void silence_known_flows();

    const fabric_counters& counters() const;

private:
    struct implementation;
    explicit fabric(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::standin

#endif
