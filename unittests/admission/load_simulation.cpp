#include "load_simulation.hpp"

#include <algorithm>
#include <numeric>

namespace admission_test {

namespace {

constexpr support::duration sample_period = support::milliseconds(10);
constexpr double ms_per_second = 1000.0;

std::int64_t percentile(const std::vector<std::int64_t>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * share)];
}

} // namespace

bool load_simulation::event::operator<(const event& other) const {
    if (this->when != other.when) {
        return this->when > other.when;
    }
    return this->order > other.order;
}

load_simulation::load_simulation(const load_settings& settings)
    : settings(settings), random(settings.seed) {
    for (int i = 0; i < settings.balancers; ++i) {
        this->next_server.push_back(i);
    }
    for (int i = 0; i < settings.servers; ++i) {
        this->candidates.push_back(i);
        admission::controller_settings server_settings = settings.controller;
        server_settings.seed = this->random();
        this->nodes.push_back(
            {fake_server(settings.server, this->random()),
             admission::controller(server_settings, support::instant{}, {})});
    }
}

fake_server& load_simulation::server(int index) {
    return this->nodes[static_cast<std::size_t>(index)].server;
}

admission::controller& load_simulation::controller(int index) {
    return this->nodes[static_cast<std::size_t>(index)].controller;
}

void load_simulation::at(support::instant when,
                         std::function<void(support::instant)> action) {
    this->events.push({when, ++this->last_order, std::move(action)});
}

bool load_simulation::is_measured(support::instant now) const {
    return now >= support::instant{} + this->settings.measure_after;
}

int load_simulation::place(support::instant now) {
    switch (this->settings.rule) {
    case placement_rule::random: {
        std::uniform_int_distribution<int> any(0, this->settings.servers - 1);
        return any(this->random);
    }
    case placement_rule::round_robin:
        return this->place_round_robin();
    case placement_rule::choices:
        return this->probe_candidates(now);
    }
    return 0;
}

int load_simulation::place_round_robin() {
    std::uniform_int_distribution<std::size_t> any(0, this->next_server.size() -
                                                          1);
    return this->next_server[any(this->random)]++ % this->settings.servers;
}

// The candidates of a flow are in random order, as with rendezvous hashing.
int load_simulation::probe_candidates(support::instant now) {
    const int probe_count =
        std::min(this->settings.choices, this->settings.servers);
    std::shuffle(this->candidates.begin(), this->candidates.end(),
                 this->random);
    for (int i = 0; i + 1 < probe_count; ++i) {
        const int index = this->candidates[static_cast<std::size_t>(i)];
        const auto verdict = this->controller(index).admit_flow(now, true);
        if (verdict == admission::flow_verdict::accept) {
            return index;
        }
    }
    return this->candidates[static_cast<std::size_t>(probe_count - 1)];
}

void load_simulation::generate_arrivals(support::instant now) {
    const double per_ms = this->settings.load * this->settings.servers *
                          this->settings.server.slots /
                          this->settings.server.mean_ms;
    // Several requests may arrive within one clock step of 1 ms.
    std::poisson_distribution<int> arrivals(per_ms);
    const int count = arrivals(this->random);
    for (int i = 0; i < count; ++i) {
        this->arrive(now);
    }
    const support::instant next = now + support::milliseconds(1);
    if (next < support::instant{} + this->settings.length) {
        this->at(next,
                 [this](support::instant t) { this->generate_arrivals(t); });
    }
}

void load_simulation::arrive(support::instant now) {
    const int index = this->place(now);
    const std::uint64_t id = ++this->last_id;
    this->requests[id] = {now, now, index, {}, false};
    if (this->is_measured(now)) {
        ++this->result.arrived;
    }
    admission::controller& controller = this->controller(index);
    controller.flow_opened(now);
    admission::deadline request_deadline;
    if (this->settings.deadline.ms > 0) {
        request_deadline =
            admission::deadline_after(now, this->settings.deadline);
    }
    this->apply_admission(now, id, controller.admit(now, id, request_deadline));
    this->wake(now, index);
}

void load_simulation::apply_admission(
    support::instant now, std::uint64_t id,
    const admission::request_admission& answer) {
    request& r = this->requests.at(id);
    switch (answer.verdict) {
    case admission::request_verdict::run:
        r.ticket = answer.id;
        this->start(now, id);
        break;
    case admission::request_verdict::wait:
        r.ticket = answer.id;
        break;
    case admission::request_verdict::refuse:
        this->handle_refusal(now, id, answer.retry_after);
        break;
    }
}

void load_simulation::start(support::instant now, std::uint64_t id) {
    request& r = this->requests.at(id);
    r.is_forwarded = true;
    if (this->is_measured(r.arrived)) {
        this->waits.push_back((now - r.arrived).ms);
    }
    this->controller(r.server).request_forwarded(now, r.ticket);
    const auto offer = this->server(r.server).offer(now);
    if (offer.refused) {
        this->end_request(now, id, admission::completion::refused_by_server);
        return;
    }
    this->at(offer.answered, [this, id](support::instant t) {
        const int index = this->requests.at(id).server;
        this->server(index).finish_request();
        this->end_request(t, id, admission::completion::answered);
        this->wake(t, index);
    });
}

void load_simulation::end_request(support::instant now, std::uint64_t id,
                                  admission::completion result) {
    const request r = this->requests.at(id);
    this->requests.erase(id);
    this->controller(r.server).finish(now, r.ticket, result);
    this->controller(r.server).flow_closed(now);
    const bool in_time = this->settings.deadline.ms == 0 ||
                         now - r.arrived <= this->settings.deadline;
    const bool before_end = now < support::instant{} + this->settings.length;
    if (result == admission::completion::answered && in_time && before_end &&
        this->is_measured(now)) {
        ++this->result.answered;
    }
}

void load_simulation::handle_refusal(support::instant now, std::uint64_t id,
                                     support::duration retry_delay) {
    const request r = this->requests.at(id);
    this->requests.erase(id);
    this->controller(r.server).flow_closed(now);
    this->result.refused_after_forwarding += r.is_forwarded ? 1 : 0;
    if (this->is_measured(now)) {
        ++this->result.refused;
    }
    if (this->settings.callers_retry) {
        this->at(now + retry_delay,
                 [this](support::instant t) { this->arrive(t); });
    }
}

void load_simulation::wake(support::instant now, int index) {
    const auto woken = this->controller(index).take_wakeups(now);
    for (const admission::wakeup& wakeup : woken) {
        this->apply_admission(now, wakeup.owner, wakeup.admission);
    }
    const auto next = this->controller(index).next_wakeup();
    if (next.has_value() && !woken.empty()) {
        this->at(*next,
                 [this, index](support::instant t) { this->wake(t, index); });
    }
}

void load_simulation::sample(support::instant now) {
    int busiest = 0;
    int highest_load = 0;
    int busy = 0;
    int load = 0;
    for (int i = 0; i < this->settings.servers; ++i) {
        const auto status = this->controller(i).status();
        busiest = std::max(busiest, status.running);
        highest_load = std::max(highest_load, status.running + status.waiting);
        busy += status.running;
        load += status.running + status.waiting;
        this->wake(now, i);
    }
    if (this->is_measured(now)) {
        this->busiest_sum += busiest;
        this->highest_load_sum += highest_load;
        this->busy_mean_sum +=
            static_cast<double>(busy) / this->settings.servers;
        this->load_mean_sum +=
            static_cast<double>(load) / this->settings.servers;
    }
    this->at(now + sample_period,
             [this](support::instant t) { this->sample(t); });
}

load_result load_simulation::run() {
    this->at({}, [this](support::instant t) { this->generate_arrivals(t); });
    this->at({}, [this](support::instant t) { this->sample(t); });
    const support::instant end = support::instant{} + this->settings.length;
    while (!this->events.empty() && this->events.top().when < end) {
        const event next = this->events.top();
        this->events.pop();
        next.action(next.when);
    }
    load_result& r = this->result;
    for (const node& n : this->nodes) {
        r.offered += n.server.offered;
        r.overloads += n.server.overloads;
    }
    const double seconds =
        static_cast<double>(
            (this->settings.length - this->settings.measure_after).ms) /
        ms_per_second;
    const double capacity = this->settings.servers *
                            this->settings.server.slots * ms_per_second /
                            this->settings.server.mean_ms;
    r.goodput = static_cast<double>(r.answered) / (capacity * seconds);
    r.busy_imbalance = this->busiest_sum / std::max(this->busy_mean_sum, 1e-9);
    r.load_imbalance =
        this->highest_load_sum / std::max(this->load_mean_sum, 1e-9);
    std::sort(this->waits.begin(), this->waits.end());
    r.wait_p50_ms = percentile(this->waits, 0.5);
    r.wait_p99_ms = percentile(this->waits, 0.99);
    const double total =
        std::accumulate(this->waits.begin(), this->waits.end(), 0.0);
    r.wait_mean_ms = this->waits.empty()
                         ? 0.0
                         : total / static_cast<double>(this->waits.size());
    return r;
}

} // namespace admission_test
