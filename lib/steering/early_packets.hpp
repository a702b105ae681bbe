/// Packets that come before a balancer knows what it needs to decide.

#ifndef GUAVASTAIR_LIB_STEERING_EARLY_PACKETS_HPP
#define GUAVASTAIR_LIB_STEERING_EARLY_PACKETS_HPP

#include <guavastair/flow.hpp>
#include <guavastair/support.hpp>

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

namespace guavastair::steering {

/// A packet that waits for a decision.
struct early_packet {
    support::instant since;
    flow::packet head;
    std::vector<std::byte> bytes;
};

/// Keeps packets for a short while, in the order in which they came. Answers
/// this load pattern: many callers come back at the moment when the processes
/// do, and those whose first packet is dropped come again too late.
class early_packets {
public:
    early_packets(std::size_t capacity, support::duration longest)
        : most(capacity), limit(longest) {}

    /// Whether there is room; keeps `packet` if so.
    bool keep(early_packet packet) {
        if (this->waiting.size() >= this->most) {
            return false;
        }
        this->waiting.push_back(std::move(packet));
        return true;
    }

    /// Gives back everything that waits; whoever cannot decide yet keeps it
    /// again.
    std::deque<early_packet> take_all() {
        return std::exchange(this->waiting, {});
    }

    bool has_expired(support::instant now, const early_packet& each) const {
        return now - each.since > this->limit;
    }

    bool empty() const {
        return this->waiting.empty();
    }

private:
    std::size_t most;
    support::duration limit;
    std::deque<early_packet> waiting;
};

} // namespace guavastair::steering

#endif
