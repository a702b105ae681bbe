#include <guavastair/balancer.hpp>

#include <atomic>
#include <cassert>
#include <utility>

namespace guavastair::balancer {

using view_pointer = std::shared_ptr<const placement::fleet_view>;

struct balancer::implementation {
    implementation(net::event_loop& events,
                   const balancer_options& balancer_config,
                   balancer_observer& event_observer,
                   net::udp_socket packet_socket);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void receive();
    void forward(const placement::fleet_view& view, const net::datagram& item);
    void count_drop(support::endpoint from);

    net::event_loop& loop;
    balancer_options options;
    balancer_observer& observer;
    net::udp_socket socket;
    std::atomic<view_pointer> view;
    balancer_counters counters;
    /// Reused for all packets.
    flow::forward_action action;
    net::timer_id drop_timer;
    std::uint32_t drops_observed = 0;
    std::uint64_t drops_unobserved = 0;
};

balancer::implementation::implementation(
    net::event_loop& events, const balancer_options& balancer_config,
    balancer_observer& event_observer, net::udp_socket packet_socket)
    : loop(events), options(balancer_config), observer(event_observer),
      socket(std::move(packet_socket)),
      view(std::make_shared<const placement::fleet_view>()) {
    this->drop_timer = this->loop.call_every(
        support::seconds(1), [this] { this->drops_observed = 0; });
}

balancer::implementation::~implementation() {
    this->loop.cancel(this->drop_timer);
    this->loop.unwatch(this->socket.descriptor());
}

void balancer::implementation::receive() {
    for (std::size_t i = 0; i < this->options.batches_per_round; ++i) {
        const auto batch = this->socket.receive();
        if (batch.empty()) {
            return;
        }
        const view_pointer current = this->view.load();
        for (const net::datagram& item : batch) {
            this->forward(*current, item);
        }
        this->socket.flush();
        if (batch.size() < this->options.batch) {
            return;
        }
    }
}

void balancer::implementation::forward(const placement::fleet_view& view,
                                       const net::datagram& item) {
    ++this->counters.received;
    flow::forward_decision(view, item.payload, this->action);
    if (this->action.kind == flow::forward_kind::drop) {
        this->count_drop(item.peer);
        return;
    }
    const std::span head(this->action.header);
    this->socket.queue(this->action.next,
                       std::as_bytes(head.first(this->action.header_size)),
                       item.payload);
    ++this->counters.forwarded;
    if (this->action.headers.flags.is_initial_syn()) {
        ++this->counters.opening;
        this->observer.on_opening(this->action);
    }
}

void balancer::implementation::count_drop(support::endpoint from) {
    ++this->counters.dropped[static_cast<std::size_t>(this->action.reason)];
    if (this->drops_observed == this->options.observed_drops_per_second) {
        ++this->drops_unobserved;
        return;
    }
    ++this->drops_observed;
    const std::uint64_t unobserved = std::exchange(this->drops_unobserved, 0);
    this->observer.on_drop(from, this->action, unobserved);
}

absl::StatusOr<std::unique_ptr<balancer>>
balancer::open(net::event_loop& loop, const balancer_options& options,
               balancer_observer& observer) {
    auto socket = net::udp_socket::open(
        {.local = options.listen, .batch = options.batch});
    if (!socket.ok()) {
        return socket.status();
    }
    auto state = std::make_unique<implementation>(loop, options, observer,
                                                  *std::move(socket));
    implementation* const state_pointer = state.get();
    const absl::Status watched = loop.watch(
        state_pointer->socket.descriptor(), {.readable = true},
        [state_pointer](net::readiness) { state_pointer->receive(); });
    if (!watched.ok()) {
        return watched;
    }
    return std::unique_ptr<balancer>(new balancer(std::move(state)));
}

balancer::balancer(std::unique_ptr<implementation> state)
    : self(std::move(state)) {}

balancer::~balancer() = default;

void balancer::set_view(std::shared_ptr<const placement::fleet_view> view) {
    assert(view != nullptr && "no service is expressed by an empty view");
    this->self->view.store(std::move(view));
}

support::endpoint balancer::local() const {
    return this->self->socket.local();
}

balancer_counters balancer::counters() const {
    balancer_counters result = this->self->counters;
    result.socket = this->self->socket.counters();
    return result;
}

} // namespace guavastair::balancer
