#include "server_state.hpp"

#include <algorithm>

namespace guavastair::standin {

/// Maximum number of reports kept for `report_lag`.
static constexpr std::size_t max_past_reports = 10'000;

server_state::server_state(const server_options& initial_options)
    : options(initial_options) {
    this->cold_since = this->clock.now();
}

int server_state::capacity(support::instant now) const {
    const support::duration age = now - this->cold_since;
    if (age >= this->options.warm_up) {
        return this->options.slots;
    }
    const std::int64_t growth = this->options.slots - this->options.cold_slots;
    const std::int64_t grown = growth * age.ms / this->options.warm_up.ms;
    return this->options.cold_slots + static_cast<int>(grown);
}

std::optional<support::duration> server_state::begin_request() {
    const std::lock_guard guard(this->lock);
    const support::instant now = this->clock.now();
    const int capacity_now = this->capacity(now);
    ++this->counts.requests;
    const int limit = capacity_now * this->options.shed_factor;
    if (this->is_draining || this->running >= limit) {
        ++this->counts.refused;
        return std::nullopt;
    }
    ++this->running;
    const auto present = static_cast<std::uint64_t>(this->running);
    this->counts.most_running = std::max(this->counts.most_running, present);
    this->record_report(now);
    if (this->running <= capacity_now) {
        return this->options.service_time;
    }
    // Beyond its capacity the server thrashes: the service time grows with the
    // square of the load.
    ++this->counts.overloaded;
    const std::int64_t running_squared =
        std::int64_t{this->running} * this->running;
    const std::int64_t capacity_squared =
        std::int64_t{capacity_now} * capacity_now;
    return support::duration{this->options.service_time.ms * running_squared /
                             capacity_squared};
}

void server_state::end() {
    const std::lock_guard guard(this->lock);
    --this->running;
    this->record_report(this->clock.now());
}

void server_state::record_report(support::instant now) {
    if (this->options.report_lag.ms == 0) {
        return;
    }
    this->past_reports.push_back(
        {now, {!this->is_draining, this->running, this->capacity(now)}});
    if (this->past_reports.size() > max_past_reports) {
        this->past_reports.pop_front();
    }
}

void server_state::count_order(const std::string& id) {
    const std::lock_guard guard(this->lock);
    ++this->counts.orders_run;
    const bool is_new = this->orders.insert(id).second;
    this->counts.orders_doubled += is_new ? 0 : 1;
}

void server_state::count_cancelled() {
    const std::lock_guard guard(this->lock);
    ++this->counts.cancelled;
}

void server_state::count_feed() {
    const std::lock_guard guard(this->lock);
    ++this->counts.feeds;
}

void server_state::drain() {
    const std::lock_guard guard(this->lock);
    this->is_draining = true;
    this->record_report(this->clock.now());
}

void server_state::turn_cold() {
    const std::lock_guard guard(this->lock);
    this->cold_since = this->clock.now();
}

void server_state::stop() {
    const std::lock_guard guard(this->lock);
    this->is_stopped = true;
}

bool server_state::is_stopping() const {
    const std::lock_guard guard(this->lock);
    return this->is_stopped;
}

server_report server_state::report() const {
    const std::lock_guard guard(this->lock);
    if (this->options.misreport) {
        return {true, 0, this->options.slots};
    }
    const support::instant now = this->clock.now();
    const server_report present{!this->is_draining, this->running,
                                this->capacity(now)};
    if (this->options.report_lag.ms == 0) {
        return present;
    }
    const support::instant seen = now - this->options.report_lag;
    server_report result{true, 0, this->options.slots};
    for (const past_report& entry : this->past_reports) {
        if (entry.at > seen) {
            break;
        }
        result = entry.report;
    }
    return result;
}

server_counters server_state::counters() const {
    const std::lock_guard guard(this->lock);
    return this->counts;
}

} // namespace guavastair::standin
