#include <guavastair/ownership.hpp>

#include <algorithm>

namespace guavastair::ownership {

static bool contains(const std::vector<peer::listed_flow>& flows,
                     const flow::flow_key& key) {
    return std::any_of(flows.begin(), flows.end(), [&key](const auto& listed) {
        return listed.key == key;
    });
}

flow_ledger::flow_ledger(ledger_settings initial_settings, support::instant now)
    : settings(initial_settings), interval(initial_settings.write_interval),
      started(now), last_write(now) {}

void flow_ledger::set_fleet_size(std::size_t agents) {
    constexpr double ms_per_second = 1000.0;
    const double fleet_interval_ms = static_cast<double>(agents) *
                                     ms_per_second /
                                     this->settings.fleet_writes_per_second;
    this->interval = std::max(
        this->settings.write_interval,
        support::milliseconds(static_cast<std::int64_t>(fleet_interval_ms)));
}

bool flow_ledger::is_worth_writing(const peer::flow_list& list) const {
    if (!this->last_written.has_value()) {
        return !list.flows.empty();
    }
    const peer::flow_list& before = *this->last_written;
    if (before.server_id != list.server_id ||
        before.server_born != list.server_born ||
        before.flows.size() != list.flows.size()) {
        return true;
    }
    for (std::size_t i = 0; i < list.flows.size(); ++i) {
        // Unsigned, because acknowledgement numbers wrap around.
        const std::uint32_t drift =
            list.flows[i].acknowledged - before.flows[i].acknowledged;
        if (list.flows[i].key != before.flows[i].key ||
            drift > this->settings.max_acknowledgement_drift) {
            return true;
        }
    }
    return false;
}

bool flow_ledger::is_due(support::instant now) const {
    return now - this->last_write >= this->interval;
}

std::optional<peer::flow_list>
flow_ledger::next_write(support::instant now,
                        std::vector<peer::listed_flow> open,
                        const std::optional<server_report>& server) {
    if (!this->is_due(now) || !server.has_value()) {
        return std::nullopt;
    }
    if (open.size() > peer::max_listed_flows) {
        open.resize(peer::max_listed_flows);
    }
    peer::flow_list list{server->start_time_ms, server->id, std::move(open)};
    if (!this->is_worth_writing(list)) {
        return std::nullopt;
    }
    this->last_write = now;
    this->last_written = list;
    return list;
}

const std::vector<peer::listed_flow>& flow_ledger::presumed_open_flows() const {
    return this->presumed_open;
}

void flow_ledger::on_stored_list(support::instant now, peer::flow_list list) {
    if (now - this->started > this->settings.stored_list_max_age) {
        return;
    }
    const bool is_held_by_server = std::any_of(
        this->early_server_keys.begin(), this->early_server_keys.end(),
        [&list](const auto& key) { return contains(list.flows, key); });
    this->early_server_keys.clear();
    this->presumed_open = list.flows;
    if (!is_held_by_server) {
        this->stored = std::move(list);
    }
}

void flow_ledger::on_server_packet(const flow::flow_key& key) {
    if (this->stored.has_value()) {
        if (contains(this->stored->flows, key)) {
            this->stored.reset();
        }
        return;
    }
    constexpr std::size_t max_early_keys = 64;
    if (!this->last_written.has_value() &&
        this->early_server_keys.size() < max_early_keys) {
        this->early_server_keys.push_back(key);
    }
}

std::vector<peer::listed_flow> flow_ledger::confirm_loss(support::instant now) {
    std::vector<peer::listed_flow> flows;
    if (this->stored.has_value()) {
        this->presumed_open.clear();
    }
    const bool is_recent_enough =
        now - this->started <= this->settings.stored_list_max_age;
    if (this->stored.has_value() && is_recent_enough) {
        flows = std::move(this->stored->flows);
    }
    this->stored.reset();
    return flows;
}

std::vector<peer::listed_flow>
flow_ledger::on_returned(support::instant now, const flow::flow_key& key) {
    if (!this->stored.has_value() || !contains(this->stored->flows, key)) {
        return {};
    }
    const bool is_duplicate =
        std::find(this->returned.begin(), this->returned.end(), key) !=
        this->returned.end();
    if (!is_duplicate) {
        this->returned.push_back(key);
    }
    const std::size_t needed = std::min(this->settings.returned_flows_as_proof,
                                        this->stored->flows.size());
    if (this->returned.size() < needed) {
        return {};
    }
    return this->confirm_loss(now);
}

std::vector<peer::listed_flow>
flow_ledger::on_report(support::instant now, const server_report& server) {
    if (!this->stored.has_value()) {
        return {};
    }
    const bool is_same_start =
        this->stored->server_born == server.start_time_ms &&
        this->stored->server_id == server.id;
    if (is_same_start) {
        this->stored.reset();
        return {};
    }
    return this->confirm_loss(now);
}

std::vector<peer::listed_flow>
flow_ledger::on_server_down(support::instant now) {
    return this->confirm_loss(now);
}

} // namespace guavastair::ownership
