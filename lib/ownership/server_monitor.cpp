#include <guavastair/ownership.hpp>

#include <array>
#include <tuple>

namespace guavastair::ownership {

using peer::server_condition;

/// Added to the warm-up time that a server reports, because a report may
/// describe the server with a delay.
static constexpr support::duration warm_up_margin = support::milliseconds(150);

/// Number of timed-out probes after which a server with an overdue report is
/// considered gone.
static constexpr int probe_timeouts_until_gone = 2;

static constexpr std::array<absl::string_view, 4> effect_names{
    "outdated", "updated", "restarted", "first"};

absl::string_view to_string(report_effect effect) {
    return effect_names[static_cast<std::size_t>(effect)];
}

server_monitor::server_monitor(monitor_settings initial_settings,
                               support::instant now)
    : settings(initial_settings), last_report_at(now),
      last_probe(now - initial_settings.probe_interval) {}

report_effect server_monitor::on_report(support::instant now,
                                        const server_report& report) {
    const bool is_first = !this->last_received.has_value() ||
                          this->state == server_condition::gone;
    bool restarted = false;
    if (this->last_received.has_value()) {
        const auto order = [](const server_report& each) {
            return std::tuple(each.start_time_ms, each.sequence);
        };
        restarted =
            report.start_time_ms > this->last_received->start_time_ms ||
            (report.start_time_ms == this->last_received->start_time_ms &&
             report.id != this->last_received->id);
        if (!restarted && order(report) <= order(*this->last_received)) {
            return report_effect::outdated;
        }
    }
    this->last_received = report;
    this->has_unidentified_departure = false;
    this->last_report_at = now;
    this->unanswered_since.reset();
    this->consecutive_probe_timeouts = 0;
    this->warm_at = report.warm_up_left.ms > 0
                        ? now + report.warm_up_left + warm_up_margin
                        : now;
    this->state =
        report.draining ? server_condition::draining : server_condition::ready;
    if (restarted) {
        return report_effect::restarted;
    }
    return is_first ? report_effect::first : report_effect::updated;
}

bool server_monitor::on_deregistered(const std::string& id) {
    if (!this->last_received.has_value()) {
        this->has_unidentified_departure = true;
        return false;
    }
    if (this->last_received->id != id) {
        return false;
    }
    this->state = server_condition::gone;
    return true;
}

bool server_monitor::has_left() const {
    return this->state == server_condition::gone ||
           this->has_unidentified_departure;
}

void server_monitor::on_server_packet(support::instant /*now*/) {
    this->unanswered_since.reset();
    this->consecutive_probe_timeouts = 0;
    const bool was_unconfirmed = this->state == server_condition::silent ||
                                 this->state == server_condition::unknown;
    if (was_unconfirmed) {
        const bool is_draining =
            this->last_received.has_value() && this->last_received->draining;
        this->state =
            is_draining ? server_condition::draining : server_condition::ready;
    }
}

void server_monitor::on_delivered(support::instant now) {
    if (!this->unanswered_since.has_value()) {
        this->unanswered_since = now;
    }
}

void server_monitor::on_probe_accepted(support::instant now) {
    this->on_server_packet(now);
}

void server_monitor::on_probe_refused(support::instant /*now*/) {
    if (this->state != server_condition::unknown) {
        this->state = server_condition::gone;
    }
}

void server_monitor::on_probe_timeout(support::instant now) {
    ++this->consecutive_probe_timeouts;
    if (this->state == server_condition::ready ||
        this->state == server_condition::draining) {
        this->state = server_condition::silent;
    }
    const bool is_presumed_gone =
        this->consecutive_probe_timeouts >= probe_timeouts_until_gone &&
        this->is_overdue(now);
    if (this->state == server_condition::silent && is_presumed_gone) {
        this->state = server_condition::gone;
    }
}

void server_monitor::on_resumed(support::instant now) {
    this->last_report_at = now;
    this->unanswered_since.reset();
    this->consecutive_probe_timeouts = 0;
    this->warm_at.reset();
    if (this->state == server_condition::ready) {
        this->state = server_condition::unknown;
    }
}

void server_monitor::assume_cold(support::instant /*now*/) {
    this->warm_at.reset();
}

bool server_monitor::is_overdue(support::instant now) const {
    return now - this->last_report_at >
           this->settings.report_interval + this->settings.report_slack;
}

bool server_monitor::is_suspect(support::instant now) const {
    switch (this->state) {
    case server_condition::unknown:
    case server_condition::silent:
        return true;
    case server_condition::gone:
        return false;
    case server_condition::ready:
    case server_condition::draining:
        break;
    }
    const bool is_unresponsive =
        this->unanswered_since.has_value() &&
        now - *this->unanswered_since > this->settings.reaction_timeout;
    return is_unresponsive || this->is_overdue(now);
}

bool server_monitor::start_probe(support::instant now) {
    if (!this->is_suspect(now) ||
        now - this->last_probe < this->settings.probe_interval) {
        return false;
    }
    this->last_probe = now;
    return true;
}

server_condition server_monitor::condition() const {
    return this->state;
}

bool server_monitor::is_cold(support::instant now) const {
    return !this->warm_at.has_value() || now < *this->warm_at;
}

std::uint32_t server_monitor::slots() const {
    return this->last_received.has_value() ? this->last_received->slots : 1;
}

const std::optional<server_report>& server_monitor::last_report() const {
    return this->last_received;
}

} // namespace guavastair::ownership
