#include "fabric.hpp"

#include <absl/container/flat_hash_set.h>

#include <map>
#include <random>
#include <unordered_map>
#include <utility>

namespace guavastair::standin {

/// Maximum number of flows that silence_known_flows() covers.
static constexpr std::size_t max_known_flows = 200'000;

static constexpr std::size_t source_offset = 12;
static constexpr std::size_t destination_offset = 16;
static constexpr std::size_t ports_offset = 20;
static constexpr std::size_t min_packet_size = 40;

static std::uint32_t read_word(std::span<const std::byte> bytes,
                               std::size_t offset) {
    std::uint32_t value = 0;
    for (const std::byte byte : bytes.subspan(offset, 4)) {
        value = (value << 8) | std::to_integer<std::uint32_t>(byte);
    }
    return value;
}

namespace {

/// The addresses and ports of a flow, in the direction from the caller.
struct flow_ends {
    std::uint32_t source;
    std::uint32_t destination;
    std::uint32_t ports;

    bool operator==(const flow_ends&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const flow_ends& ends) {
        return Hash::combine(std::move(state), ends.source, ends.destination,
                             ends.ports);
    }
};

flow_ends ends_of(std::span<const std::byte> packet) {
    return {read_word(packet, source_offset),
            read_word(packet, destination_offset),
            read_word(packet, ports_offset)};
}

flow_ends reversed(const flow_ends& ends) {
    constexpr unsigned bits_per_port = 16;
    const std::uint32_t ports =
        (ends.ports << bits_per_port) | (ends.ports >> bits_per_port);
    return {ends.destination, ends.source, ports};
}

/// A packet that is sent after its delay.
struct delayed_packet {
    net::udp_socket* socket;
    support::endpoint to;
    std::vector<std::byte> bytes;
};

} // namespace

struct fabric::implementation {
    implementation(net::event_loop& events,
                   const fabric_options& initial_options,
                   net::udp_socket caller_side, net::udp_socket agent_side);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    absl::Status start();
    bool draw_fault(std::uint32_t parts);
    void receive_from_callers();
    void receive_from_agents();
    void spray(const net::datagram& item);
    void forward_to_caller(const net::datagram& item);
    void transmit(net::udp_socket& socket, support::endpoint to,
                  std::span<const std::byte> bytes, support::duration delay);
    void transmit_once(net::udp_socket& socket, support::endpoint to,
                       std::span<const std::byte> bytes,
                       support::duration delay);
    void send_due_packets();

    net::event_loop& loop;
    fabric_options options;
    net::udp_socket callers;
    net::udp_socket agents;
    std::mt19937_64 random;
    fabric_counters counters;
    std::unordered_map<std::uint32_t, support::endpoint> caller_of_address;
    absl::flat_hash_set<flow_ends> seen_flows;
    absl::flat_hash_set<flow_ends> silenced_flows;
    std::multimap<support::instant, delayed_packet> delayed_packets;
    net::timer_id send_timer;
    net::timer_id flush_callback;
};

fabric::implementation::implementation(net::event_loop& events,
                                       const fabric_options& initial_options,
                                       net::udp_socket caller_side,
                                       net::udp_socket agent_side)
    : loop(events), options(initial_options), callers(std::move(caller_side)),
      agents(std::move(agent_side)), random(initial_options.seed) {
    this->flush_callback = this->loop.call_each_round([this] {
        this->callers.flush();
        this->agents.flush();
    });
    this->send_timer = this->loop.call_every(
        support::milliseconds(1), [this] { this->send_due_packets(); });
}

fabric::implementation::~implementation() {
    this->loop.cancel(this->flush_callback);
    this->loop.cancel(this->send_timer);
    this->loop.unwatch(this->callers.descriptor());
    this->loop.unwatch(this->agents.descriptor());
}

absl::Status fabric::implementation::start() {
    absl::Status first =
        this->loop.watch(this->callers.descriptor(), {.readable = true},
                         [this](auto) { this->receive_from_callers(); });
    if (!first.ok()) {
        return first;
    }
    return this->loop.watch(this->agents.descriptor(), {.readable = true},
                            [this](auto) { this->receive_from_agents(); });
}

bool fabric::implementation::draw_fault(std::uint32_t parts) {
    constexpr std::uint64_t is_complete = 10'000;
    return parts > 0 && this->random() % is_complete < parts;
}

void fabric::implementation::receive_from_callers() {
    for (const net::datagram& item : this->callers.receive()) {
        ++this->counters.from_callers;
        this->spray(item);
    }
    this->agents.flush();
}

void fabric::implementation::receive_from_agents() {
    for (const net::datagram& item : this->agents.receive()) {
        ++this->counters.from_agents;
        this->forward_to_caller(item);
    }
    this->callers.flush();
}

void fabric::implementation::spray(const net::datagram& item) {
    const bool is_complete = item.payload.size() >= min_packet_size;
    if (is_complete) {
        const flow_ends ends = ends_of(item.payload);
        this->caller_of_address[ends.source] = item.peer;
        if (this->seen_flows.size() < max_known_flows) {
            this->seen_flows.insert(ends);
        }
        if (!this->silenced_flows.empty() &&
            this->silenced_flows.contains(ends)) {
            ++this->counters.silenced;
            return;
        }
    }
    if (this->options.balancers.empty()) {
        ++this->counters.undeliverable;
        return;
    }
    const std::size_t count = this->options.balancers.size();
    const fabric_balancer& balancer =
        this->options.balancers[this->random() % count];
    this->transmit(this->agents, balancer.address, item.payload,
                   balancer.delay);
}

void fabric::implementation::forward_to_caller(const net::datagram& item) {
    if (item.payload.size() < min_packet_size) {
        ++this->counters.undeliverable;
        return;
    }
    const flow_ends ends = reversed(ends_of(item.payload));
    if (!this->silenced_flows.empty() && this->silenced_flows.contains(ends)) {
        ++this->counters.silenced;
        return;
    }
    const auto found = this->caller_of_address.find(ends.source);
    if (found == this->caller_of_address.end()) {
        ++this->counters.undeliverable;
        return;
    }
    this->transmit(this->callers, found->second, item.payload,
                   this->options.return_delay);
}

void fabric::implementation::transmit(net::udp_socket& socket,
                                      support::endpoint to,
                                      std::span<const std::byte> bytes,
                                      support::duration delay) {
    const fabric_faults& faults = this->options.faults;
    if (this->draw_fault(faults.lose)) {
        ++this->counters.lost;
        return;
    }
    if (this->draw_fault(faults.duplicate)) {
        ++this->counters.duplicated;
        this->transmit_once(socket, to, bytes, delay);
    }
    if (this->draw_fault(faults.reorder)) {
        ++this->counters.reordered;
        const auto span = static_cast<std::uint64_t>(faults.reorder_span.ms);
        const auto more = static_cast<std::int64_t>(this->random() % span);
        delay = delay + support::milliseconds(1 + more);
    }
    this->transmit_once(socket, to, bytes, delay);
}

void fabric::implementation::transmit_once(net::udp_socket& socket,
                                           support::endpoint to,
                                           std::span<const std::byte> bytes,
                                           support::duration delay) {
    if (delay.ms == 0) {
        socket.queue_copy(to, bytes);
        return;
    }
    this->delayed_packets.emplace(
        this->loop.now() + delay,
        delayed_packet{&socket, to, {bytes.begin(), bytes.end()}});
}

void fabric::implementation::send_due_packets() {
    const support::instant now = this->loop.now();
    while (!this->delayed_packets.empty() &&
           this->delayed_packets.begin()->first <= now) {
        const delayed_packet& item = this->delayed_packets.begin()->second;
        item.socket->queue_copy(item.to, item.bytes);
        this->delayed_packets.erase(this->delayed_packets.begin());
    }
}

absl::StatusOr<std::unique_ptr<fabric>>
fabric::open(net::event_loop& loop, const fabric_options& options) {
    auto callers = net::udp_socket::open({.local = options.callers});
    if (!callers.ok()) {
        return callers.status();
    }
    auto agents = net::udp_socket::open({.local = options.returns});
    if (!agents.ok()) {
        return agents.status();
    }
    auto state = std::make_unique<implementation>(
        loop, options, *std::move(callers), *std::move(agents));
    const absl::Status started = state->start();
    if (!started.ok()) {
        return started;
    }
    return std::unique_ptr<fabric>(new fabric(std::move(state)));
}

fabric::fabric(std::unique_ptr<implementation> state)
    : self(std::move(state)) {}

fabric::~fabric() = default;

support::endpoint fabric::callers() const {
    return this->self->callers.local();
}

support::endpoint fabric::returns() const {
    return this->self->agents.local();
}

void fabric::set_balancers(std::vector<fabric_balancer> balancers) {
    this->self->options.balancers = std::move(balancers);
}

void fabric::set_faults(const fabric_faults& faults) {
    this->self->options.faults = faults;
}

void fabric::silence_known_flows() {
    this->self->silenced_flows.insert(this->self->seen_flows.begin(),
                                      this->self->seen_flows.end());
}

const fabric_counters& fabric::counters() const {
    return this->self->counters;
}

} // namespace guavastair::standin
