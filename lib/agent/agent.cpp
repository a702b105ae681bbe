#include "flow_session.hpp"
#include "frame_path.hpp"

#include <guavastair/agent.hpp>

#include <array>
#include <cassert>
#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

namespace guavastair::agent {

/// Size of the shared buffer in bytes: the most that a session reads at once.
static constexpr std::size_t scratch_size = 65'536;

static constexpr std::array<absl::string_view, 5> flow_end_names{
    "finished", "caller_lost", "server_unreachable", "server_lost", "stopped"};

absl::string_view to_string(flow_end end) {
    return flow_end_names[static_cast<std::size_t>(end)];
}

static admission::wall_time wall_now() {
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    using std::chrono::milliseconds;
    return {std::chrono::duration_cast<milliseconds>(since_epoch).count()};
}

static net::tcp_stack_options stack_options(const agent_options& options) {
    net::tcp_stack_options result = options.tcp;
    result.address = options.service_address.address;
    return result;
}

static admission::controller_settings
controller_settings(const agent_options& options) {
    admission::controller_settings result = options.admission;
    result.max_flows = static_cast<int>(options.max_connections);
    return result;
}

struct agent::implementation {
    implementation(net::event_loop& events, const agent_options& agent_config,
                   agent_observer& event_observer,
                   net::udp_socket frame_socket);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    absl::Status start();
    net::tcp_handler* accept(net::tcp_connection& connection);
    void on_stack_output(std::span<const std::byte> packet);
    void on_connection_released(support::endpoint caller);
    void remove_session(flow_session& session, flow_end end);
    void count_end(flow_end end);
    void deliver_wakeups();
    void set_wake_timer();
    bool has_no_flows() const;
    void end_round();
    void set_draining(bool should_drain);
    void reset_remaining_flows();
    std::vector<flow_session*> current_sessions() const;

    net::event_loop& loop;
    agent_options options;
    agent_observer& observer;
    agent_counters counters;
    admission::controller admission;
    frame_path frames;
    net::tcp_stack stack;
    std::vector<std::byte> scratch;
    session_host host;
    std::unordered_map<std::uint64_t, std::unique_ptr<flow_session>> sessions;
    std::unordered_map<const flow_session*, std::uint64_t> session_numbers;
    std::vector<std::unique_ptr<flow_session>> ended_sessions;
    std::uint64_t last_number = 0;
    bool is_waking = false;
    bool needs_another_wake_pass = false;
    net::timer_id wake_timer;
    net::timer_id stop_timer;
    /// Ends the time in which a draining agent still serves requests on open
    /// flows.
    net::timer_id refusal_timer;
    net::timer_id round_callback;
    std::function<void()> on_stopped;
    /// Whether the time limit of the planned stop has expired.
    bool stop_is_overdue = false;
    bool draining = false;
};

agent::implementation::implementation(net::event_loop& events,
                                      const agent_options& agent_config,
                                      agent_observer& event_observer,
                                      net::udp_socket frame_socket)
    : loop(events), options(agent_config), observer(event_observer),
      admission(controller_settings(agent_config), events.now(), wall_now()),
      frames(events, this->options, event_observer, this->counters,
             this->admission, std::move(frame_socket)),
      stack(events, stack_options(agent_config),
            [this](std::span<const std::byte> packet) {
                this->on_stack_output(packet);
            }),
      scratch(scratch_size), host{events,
                                  this->options,
                                  event_observer,
                                  this->admission,
                                  this->counters,
                                  this->scratch,
                                  [this](flow_session& session, flow_end end) {
                                      this->remove_session(session, end);
                                  },
                                  [this] { this->deliver_wakeups(); }} {
    this->round_callback =
        this->loop.call_each_round([this] { this->end_round(); });
}

agent::implementation::~implementation() {
    this->loop.cancel(this->wake_timer);
    this->loop.cancel(this->stop_timer);
    this->loop.cancel(this->refusal_timer);
    this->loop.cancel(this->round_callback);
}

absl::Status agent::implementation::start() {
    absl::Status listening = this->stack.listen(
        this->options.service_address.port,
        [this](net::tcp_connection& c) { return this->accept(c); });
    if (!listening.ok()) {
        return listening;
    }
    this->stack.set_release_callback(
        [this](support::endpoint, support::endpoint caller) {
            this->on_connection_released(caller);
        });
    // Starts the controller's wakeup timer, which also runs without callers.
    this->deliver_wakeups();
    return this->frames.start([this](std::span<const std::byte> packet) {
        this->stack.input(packet);
    });
}

net::tcp_handler*
agent::implementation::accept(net::tcp_connection& connection) {
    const std::uint64_t number = ++this->last_number;
    auto session = this->options.flow_protocol == protocol::http
                       ? make_http_session(this->host, connection, number)
                       : make_tcp_session(this->host, connection);
    flow_session* const accepted = session.get();
    this->sessions.emplace(number, std::move(session));
    this->session_numbers.emplace(accepted, number);
    ++this->counters.flows_opened;
    this->admission.flow_opened(this->loop.now());
    if (this->draining) {
        accepted->drain();
    }
    return accepted;
}

void agent::implementation::on_stack_output(std::span<const std::byte> packet) {
    constexpr std::size_t flags_offset = 33;
    constexpr std::uint8_t syn_ack =
        flow::tcp_flags::syn_bit | flow::tcp_flags::ack_bit;
    assert(packet.size() > flags_offset && "lwIP sends complete TCP packets");
    const auto read = [packet](std::size_t offset, std::size_t size) {
        std::uint32_t value = 0;
        for (const std::byte byte : packet.subspan(offset, size)) {
            value = (value << 8) | std::to_integer<std::uint32_t>(byte);
        }
        return value;
    };
    const auto flags = static_cast<std::uint8_t>(read(flags_offset, 1));
    if ((flags & syn_ack) == syn_ack) {
        constexpr std::size_t address_offset = 16;
        constexpr std::size_t port_offset = 22;
        constexpr std::size_t sequence_offset = 24;
        const support::endpoint caller{
            {read(address_offset, 4)},
            static_cast<std::uint16_t>(read(port_offset, 2))};
        this->frames.table().on_syn_ack_sent(caller, read(sequence_offset, 4));
    }
    this->frames.send_to_caller(packet);
}

void agent::implementation::on_connection_released(support::endpoint caller) {
    this->frames.table().on_flow_closed(caller);
}

void agent::implementation::remove_session(flow_session& session,
                                           flow_end end) {
    const auto entry = this->session_numbers.find(&session);
    assert(entry != this->session_numbers.end() && "a session is removed once");
    const auto owned_entry = this->sessions.find(entry->second);
    this->ended_sessions.push_back(std::move(owned_entry->second));
    this->sessions.erase(owned_entry);
    this->session_numbers.erase(entry);
    this->count_end(end);
    this->admission.flow_closed(this->loop.now());
    this->observer.on_flow_ended(session.caller(), end);
}

void agent::implementation::count_end(flow_end end) {
    switch (end) {
    case flow_end::finished:
        ++this->counters.flows_finished;
        return;
    case flow_end::caller_lost:
        ++this->counters.flows_lost;
        return;
    case flow_end::server_unreachable:
    case flow_end::server_lost:
        ++this->counters.server_failures;
        return;
    case flow_end::stopped:
        ++this->counters.flows_cut;
        return;
    }
}

void agent::implementation::deliver_wakeups() {
    if (this->is_waking) {
        this->needs_another_wake_pass = true;
        return;
    }
    this->is_waking = true;
    do {
        this->needs_another_wake_pass = false;
        for (const admission::wakeup& wake :
             this->admission.take_wakeups(this->loop.now())) {
            const auto entry = this->sessions.find(wake.owner);
            if (entry != this->sessions.end()) {
                entry->second->wait_ended(wake);
            }
        }
    } while (this->needs_another_wake_pass);
    this->is_waking = false;
    this->set_wake_timer();
}

void agent::implementation::set_wake_timer() {
    this->loop.cancel(this->wake_timer);
    const auto next = this->admission.next_wakeup();
    if (!next.has_value()) {
        return;
    }
    const support::duration delay =
        std::max(*next - this->loop.now(), support::duration{});
    this->wake_timer =
        this->loop.call_after(delay, [this] { this->deliver_wakeups(); });
}

/// Whether no flow is left. Until the time limit of the stop expires, this also
/// waits for handshakes in progress, because their callers may consider the
/// flow open, and for responses that their callers have not received
/// completely.
bool agent::implementation::has_no_flows() const {
    if (!this->sessions.empty()) {
        return false;
    }
    if (this->stop_is_overdue) {
        return true;
    }
    return this->frames.table().counts().half_open == 0 &&
           this->stack.undelivered_count() == 0;
}

void agent::implementation::end_round() {
    this->ended_sessions.clear();
    if (this->on_stopped && this->has_no_flows()) {
        this->loop.cancel(this->stop_timer);
        const auto done = std::exchange(this->on_stopped, nullptr);
        done();
    }
}

std::vector<flow_session*> agent::implementation::current_sessions() const {
    std::vector<flow_session*> result;
    result.reserve(this->sessions.size());
    for (const auto& [number, session] : this->sessions) {
        result.push_back(session.get());
    }
    return result;
}

void agent::implementation::set_draining(bool should_drain) {
    this->frames.table().set_draining(should_drain);
    this->loop.cancel(this->refusal_timer);
    this->draining = should_drain;
    if (!should_drain) {
        this->admission.set_draining(false);
        return;
    }
    // Requests in flight to open flows are still served.
    this->refusal_timer =
        this->loop.call_after(this->options.drain_serving_time,
                              [this] { this->admission.set_draining(true); });
    for (flow_session* const session : this->current_sessions()) {
        // Draining another session may have ended this one. Its memory is kept
        // in `ended_sessions`.
        if (this->session_numbers.contains(session)) {
            session->drain();
        }
    }
}

void agent::implementation::reset_remaining_flows() {
    this->stop_is_overdue = true;
    for (flow_session* const session : this->current_sessions()) {
        if (this->session_numbers.contains(session)) {
            session->reset_for_stop();
        }
    }
}

absl::StatusOr<std::unique_ptr<agent>> agent::open(net::event_loop& loop,
                                                   const agent_options& options,
                                                   agent_observer& observer) {
    auto socket = net::udp_socket::open(
        {.local = options.listen, .batch = options.batch});
    if (!socket.ok()) {
        return socket.status();
    }
    auto state = std::make_unique<implementation>(loop, options, observer,
                                                  *std::move(socket));
    const absl::Status started = state->start();
    if (!started.ok()) {
        return started;
    }
    return std::unique_ptr<agent>(new agent(std::move(state)));
}

agent::agent(std::unique_ptr<implementation> state) : self(std::move(state)) {}

agent::~agent() = default;

void agent::set_view(std::shared_ptr<const placement::fleet_view> view) {
    this->self->frames.set_view(std::move(view));
}

support::endpoint agent::local() const {
    return this->self->frames.udp().local();
}

void agent::set_draining(bool draining) {
    this->self->set_draining(draining);
}

void agent::set_max_connections(std::uint32_t limit) {
    this->self->frames.set_max_connections(limit);
}

void agent::stop(support::duration bound, std::function<void()> done) {
    this->self->on_stopped = std::move(done);
    this->self->set_draining(true);
    this->self->stop_timer = this->self->loop.call_after(
        bound, [state = this->self.get()] { state->reset_remaining_flows(); });
}

std::size_t agent::active_flows() const {
    return this->self->sessions.size();
}

agent_counters agent::counters() const {
    agent_counters result = this->self->counters;
    result.socket = this->self->frames.udp().counters();
    result.stack = this->self->stack.counters();
    return result;
}

const admission::controller& agent::admission() const {
    return this->self->admission;
}

admission::controller& agent::admission() {
    return this->self->admission;
}

} // namespace guavastair::agent
