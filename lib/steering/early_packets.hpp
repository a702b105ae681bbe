/// Packets that arrive before a balancer has the state to decide on them.

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
    support::instant received_at;
    flow::packet head;
    std::vector<std::byte> bytes;
};

/// A bounded queue that holds packets for a short time in order of arrival.
/// When the processes restart, many callers reconnect at the same moment; the
/// retransmission of a dropped first packet would come too late.
class early_packets {
public:
    early_packets(std::size_t capacity, support::duration timeout)
        : capacity(capacity), timeout(timeout) {}

    /// Appends `packet`. Returns false if the queue is full.
    bool try_push(early_packet packet) {
        if (this->packets.size() >= this->capacity) {
            return false;
        }
        this->packets.push_back(std::move(packet));
        return true;
    }

    /// Removes and returns all packets. The caller puts back those that still
    /// cannot be decided on.
    std::deque<early_packet> pop_all() {
        return std::exchange(this->packets, {});
    }

    bool has_expired(support::instant now, const early_packet& packet) const {
        return now - packet.received_at > this->timeout;
    }

    bool empty() const {
        return this->packets.empty();
    }

private:
    std::size_t capacity;
    support::duration timeout;
    std::deque<early_packet> packets;
};

} // namespace guavastair::steering

#endif
