#include "caller.hpp"
#include "caller_flow.hpp"

#include <Poco/JSON/Object.h>

#include <array>
#include <sstream>
#include <utility>
#include <vector>

namespace guavastair::standin {

static constexpr std::array<absl::string_view, 3> mode_names{"content", "order",
                                                             "feed"};

std::optional<caller_mode> parse_caller_mode(absl::string_view text) {
    for (std::size_t i = 0; i < mode_names.size(); ++i) {
        if (mode_names[i] == text) {
            return static_cast<caller_mode>(i);
        }
    }
    return std::nullopt;
}

static latency_histogram make_latency_histogram() {
    namespace axis = boost::histogram::axis;
    constexpr unsigned bins = 700;
    constexpr double lowest_ms = 0.01;
    constexpr double highest_ms = 100'000;
    return boost::histogram::make_histogram(
        axis::regular<double, axis::transform::log>(bins, lowest_ms,
                                                    highest_ms));
}

/// Returns the upper edge of the bin that contains `quantile` (0 to 1); 0 for
/// an empty histogram.
static double quantile_of(const latency_histogram& values, double quantile) {
    const double total = boost::histogram::algorithm::sum(values);
    double seen = 0;
    for (const auto& bin : boost::histogram::indexed(values)) {
        seen += *bin;
        if (total > 0 && seen >= total * quantile) {
            return bin.bin().upper();
        }
    }
    return 0;
}

struct caller::implementation {
    implementation(net::event_loop& events,
                   const caller_options& initial_options,
                   net::udp_socket opened, std::function<void()> on_done);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    absl::Status start();
    void open_next_flows();
    void stop_if_finished();
    void stop();
    void on_flow_finished();

    net::event_loop& loop;
    caller_options options;
    net::udp_socket socket;
    net::tcp_stack stack;
    caller_summary summary;
    latency_histogram latencies = make_latency_histogram();
    caller_context context;
    std::vector<std::unique_ptr<caller_flow>> flows;
    std::size_t flows_done = 0;
    std::function<void()> done;
    support::instant end;
    net::timer_id open_timer;
    net::timer_id end_timer;
    net::timer_id flush_callback;
};

caller::implementation::implementation(net::event_loop& events,
                                       const caller_options& initial_options,
                                       net::udp_socket opened,
                                       std::function<void()> on_done)
    : loop(events), options(initial_options), socket(std::move(opened)),
      stack(events, {.address = initial_options.address},
            [this](std::span<const std::byte> packet) {
                this->socket.queue_copy(this->options.fabric, packet);
            }),
      context{.loop = events,
              .options = this->options,
              .summary = this->summary,
              .latencies = this->latencies,
              .stack = this->stack,
              .next_port = initial_options.first_port,
              .on_flow_finished = [this] { this->on_flow_finished(); }},
      done(std::move(on_done)), end(events.now() + initial_options.duration) {}

caller::implementation::~implementation() {
    this->loop.cancel(this->open_timer);
    this->loop.cancel(this->end_timer);
    this->loop.cancel(this->flush_callback);
    this->loop.unwatch(this->socket.descriptor());
}

absl::Status caller::implementation::start() {
    this->flush_callback =
        this->loop.call_each_round([this] { this->socket.flush(); });
    constexpr support::duration step = support::milliseconds(10);
    this->open_timer =
        this->loop.call_every(step, [this] { this->open_next_flows(); });
    this->end_timer =
        this->loop.call_every(step, [this] { this->stop_if_finished(); });
    return this->loop.watch(
        this->socket.descriptor(), {.readable = true}, [this](auto) {
            for (const net::datagram& item : this->socket.receive()) {
                this->stack.input(item.payload);
            }
        });
}

void caller::implementation::open_next_flows() {
    constexpr std::size_t steps_per_second = 100;
    std::size_t left = std::max<std::size_t>(
        1, this->options.opened_per_second / steps_per_second);
    while (left > 0 && this->flows.size() < this->options.connections &&
           !this->context.is_stopping) {
        --left;
        this->flows.push_back(std::make_unique<caller_flow>(this->context));
        this->flows.back()->start();
    }
}

void caller::implementation::stop_if_finished() {
    const std::uint64_t limit = this->options.max_requests;
    const bool enough = limit > 0 && this->summary.requests >= limit;
    if (enough || this->loop.now() >= this->end) {
        this->stop();
    }
}

void caller::implementation::stop() {
    if (std::exchange(this->context.is_stopping, true)) {
        return;
    }
    for (const auto& flow : this->flows) {
        flow->stop();
    }
    this->on_flow_finished();
}

void caller::implementation::on_flow_finished() {
    std::size_t finished = 0;
    for (const auto& flow : this->flows) {
        finished += flow->is_finished() ? 1 : 0;
    }
    const bool all =
        this->context.is_stopping && finished == this->flows.size();
    if (!all || this->done == nullptr) {
        return;
    }
    const auto on_done = std::exchange(this->done, nullptr);
    this->loop.call_after({}, on_done);
}

absl::StatusOr<std::unique_ptr<caller>>
caller::open(net::event_loop& loop, const caller_options& options,
             std::function<void()> done) {
    const support::endpoint any{support::ipv4_address{0x7f000001}, 0};
    auto socket = net::udp_socket::open({.local = any});
    if (!socket.ok()) {
        return socket.status();
    }
    auto state = std::make_unique<implementation>(
        loop, options, *std::move(socket), std::move(done));
    const absl::Status started = state->start();
    if (!started.ok()) {
        return started;
    }
    return std::unique_ptr<caller>(new caller(std::move(state)));
}

caller::caller(std::unique_ptr<implementation> state)
    : self(std::move(state)) {}

caller::~caller() = default;

void caller::stop() {
    this->self->stop();
}

caller_summary caller::summary() const {
    constexpr double median = 0.5;
    constexpr double percentile_99 = 0.99;
    caller_summary result = this->self->summary;
    result.p50_ms = quantile_of(this->self->latencies, median);
    result.p99_ms = quantile_of(this->self->latencies, percentile_99);
    return result;
}

bool caller::is_fully_closed() const {
    return this->self->stack.undelivered_count() == 0;
}

std::size_t caller::open_flows() const {
    std::size_t result = 0;
    for (const auto& flow : this->self->flows) {
        result += flow->is_open() ? 1 : 0;
    }
    return result;
}

std::string to_json(const caller_summary& summary) {
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    const auto set = [&object](const char* name, auto value) {
        object.set(name, value);
    };
    set("flows_opened", summary.flows_opened);
    set("flows_refused", summary.flows_refused);
    set("flows_broken", summary.flows_broken);
    set("flows_ended_idle", summary.flows_ended_idle);
    set("requests", summary.requests);
    set("done", summary.done);
    set("refused", summary.refused);
    set("unknown", summary.unknown);
    set("failed", summary.failed);
    set("late", summary.late);
    set("lost", summary.lost);
    set("wrong_bytes", summary.wrong_bytes);
    set("bytes", summary.bytes);
    set("p50_ms", summary.p50_ms);
    set("p99_ms", summary.p99_ms);
    set("longest_gap_ms", summary.longest_gap_ms);
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

} // namespace guavastair::standin
