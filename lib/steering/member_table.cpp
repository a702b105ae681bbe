#include <guavastair/steering.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace guavastair::steering {

struct member_table::implementation {
    explicit implementation(member_settings initial_settings)
        : settings(std::move(initial_settings)) {}

    member* find_or_add(support::instant now, const peer::agent_report& report);
    bool is_in_use(const member& agent) const;
    support::duration base_ping_interval(const member& agent) const;
    support::duration current_ping_interval(support::instant now,
                                            const member& agent) const;
    support::duration scale_limit(const member& agent,
                                  support::duration limit) const;
    void update_remote_count();

    member_settings settings;
    std::size_t remote_count = 0;
    std::map<support::endpoint, member> members;
    support::instant resumed_at{INT64_MIN / 2};
};

member*
member_table::implementation::find_or_add(support::instant now,
                                          const peer::agent_report& report) {
    const auto it = this->members.find(report.agent);
    if (it != this->members.end()) {
        return &it->second;
    }
    if (this->members.size() >= this->settings.max_members) {
        return nullptr;
    }
    member& added = this->members[report.agent];
    added.report = report;
    added.first_seen = now;
    added.last_answer = now;
    added.last_ping = now - this->settings.unresponsive_ping_interval;
    added.last_balancer_list = now - this->settings.balancer_list_interval;
    added.last_used = now - this->settings.in_use_period;
    added.used_since = added.last_used;
    this->update_remote_count();
    return &added;
}

void member_table::implementation::update_remote_count() {
    this->remote_count = static_cast<std::size_t>(std::count_if(
        this->members.begin(), this->members.end(), [this](const auto& entry) {
            return entry.second.report.data_centre !=
                   this->settings.own_data_centre;
        }));
}

/// An agent stays in use until it has answered in_use_period after the last
/// packet to it. A silent agent thus keeps the shorter ping interval.
bool member_table::implementation::is_in_use(const member& agent) const {
    return agent.last_answer - agent.last_used < this->settings.in_use_period;
}

/// Time between two pings of a responsive agent.
support::duration
member_table::implementation::base_ping_interval(const member& agent) const {
    const support::duration min_interval = this->settings.ping_interval;
    const bool is_remote =
        agent.report.data_centre != this->settings.own_data_centre;
    if (!is_remote || this->is_in_use(agent)) {
        return min_interval;
    }
    constexpr double ms_per_second = 1000.0;
    const double shared_ms = static_cast<double>(this->remote_count) *
                             ms_per_second /
                             this->settings.remote_pings_per_second;
    const auto shared_interval =
        support::milliseconds(static_cast<std::int64_t>(shared_ms));
    return std::clamp(shared_interval, min_interval,
                      this->settings.max_remote_ping_interval);
}

/// Time between two pings of an agent, responsive or not.
support::duration
member_table::implementation::current_ping_interval(support::instant now,
                                                    const member& agent) const {
    const support::duration silence = now - agent.last_answer;
    if (silence > this->settings.retention_period / 4) {
        return this->settings.unresponsive_ping_interval;
    }
    const bool may_become_lost = silence > this->settings.unresponsive_after &&
                                 silence <= this->settings.lost_after;
    if (may_become_lost && this->is_in_use(agent)) {
        return this->settings.silent_ping_interval;
    }
    return this->base_ping_interval(agent);
}

/// Scales a limit on silence with the interval at which the agent is pinged.
support::duration
member_table::implementation::scale_limit(const member& agent,
                                          support::duration limit) const {
    return {limit.ms * this->base_ping_interval(agent).ms /
            this->settings.ping_interval.ms};
}

/// How long the agent has not answered. For an agent that was pinged less often
/// until it came into use, only the time in use counts.
static support::duration silence_of(support::instant now, const member& agent) {
    return now - std::max(agent.last_answer, agent.used_since);
}

member_table::member_table(member_settings initial_settings)
    : self(std::make_unique<implementation>(std::move(initial_settings))) {}

member_table::~member_table() = default;

void member_table::set_listed(support::instant now,
                              std::span<const peer::agent_report> listed) {
    for (auto& [agent, each] : this->self->members) {
        each.is_listed = false;
    }
    for (const peer::agent_report& report : listed) {
        member* each = this->self->find_or_add(now, report);
        if (each == nullptr) {
            continue;
        }
        each->is_listed = true;
        // The agent's own reports are newer than its entry in the store.
        if (!each->has_answered) {
            each->report = report;
        }
    }
}

void member_table::on_report(support::instant now,
                             const peer::agent_report& report) {
    member* reporter = this->self->find_or_add(now, report);
    if (reporter == nullptr) {
        return;
    }
    reporter->report = report;
    reporter->has_answered = true;
    reporter->last_answer = now;
    reporter->openings_since_report = 0;
}

void member_table::on_opening_sent(support::endpoint agent) {
    const auto it = this->self->members.find(agent);
    if (it != this->self->members.end()) {
        ++it->second.openings_since_report;
    }
}

void member_table::on_packet_sent(support::instant now,
                                  support::endpoint agent) {
    const auto it = this->self->members.find(agent);
    if (it == this->self->members.end()) {
        return;
    }
    member& receiver = it->second;
    if (this->self->base_ping_interval(receiver) >
        this->self->settings.ping_interval) {
        receiver.used_since = now;
    }
    receiver.last_used = now;
}

void member_table::on_resumed(support::instant now) {
    this->self->resumed_at = now;
    for (auto& [agent, each] : this->self->members) {
        each.last_answer = now;
        each.last_ping = now - this->self->settings.unresponsive_ping_interval;
    }
}

std::vector<due_ping> member_table::due_for_ping(support::instant now) {
    const member_settings& settings = this->self->settings;
    std::vector<due_ping> due;
    for (auto& [agent, each] : this->self->members) {
        const support::duration interval =
            this->self->current_ping_interval(now, each);
        if (now - each.last_ping < interval) {
            continue;
        }
        each.last_ping = now;
        const bool introduces =
            now - each.last_balancer_list >= settings.balancer_list_interval;
        if (introduces) {
            each.last_balancer_list = now;
        }
        due.push_back({agent, introduces});
    }
    return due;
}

void member_table::tick(support::instant now) {
    const support::instant oldest_retained =
        now - this->self->settings.retention_period;
    std::erase_if(this->self->members, [oldest_retained](const auto& entry) {
        const member& each = entry.second;
        return !each.is_listed && each.last_answer < oldest_retained;
    });
    this->self->update_remote_count();
}

std::vector<support::endpoint>
member_table::abandoned_agents(support::instant now) const {
    std::vector<support::endpoint> result;
    if (!this->is_connected(now)) {
        return result;
    }
    for (const auto& [agent, each] : this->self->members) {
        const support::instant silent_since =
            std::max(each.last_answer, this->self->resumed_at);
        if (each.is_listed &&
            now - silent_since > this->self->settings.abandoned_after) {
            result.push_back(agent);
        }
    }
    return result;
}

const member* member_table::find(support::endpoint agent) const {
    const auto it = this->self->members.find(agent);
    return it == this->self->members.end() ? nullptr : &it->second;
}

std::size_t member_table::size() const {
    return this->self->members.size();
}

bool member_table::is_present(support::instant now, const member& agent) const {
    const support::duration limit =
        this->self->scale_limit(agent, this->self->settings.unresponsive_after);
    return agent.has_answered && silence_of(now, agent) <= limit;
}

bool member_table::is_connected(support::instant now) const {
    std::size_t known_count = 0;
    std::size_t present_count = 0;
    for (const auto& [agent, each] : this->self->members) {
        known_count += each.has_answered ? 1 : 0;
        present_count += this->is_present(now, each) ? 1 : 0;
    }
    return present_count > 0 && 2 * present_count >= known_count;
}

bool member_table::is_lost(support::instant now, const member& agent) const {
    const member_settings& settings = this->self->settings;
    const support::duration limit =
        agent.report.restarting
            ? settings.restart_timeout
            : this->self->scale_limit(agent, settings.lost_after);
    const support::duration silence =
        std::min(silence_of(now, agent), now - this->self->resumed_at);
    return silence > limit && this->is_connected(now);
}

bool member_table::takes_openings(support::instant now,
                                  const member& agent) const {
    // A listed agent that has not had time to answer yet gets opening packets;
    // it can still pass them on.
    const bool is_new =
        !agent.has_answered &&
        now - agent.first_seen <= this->self->settings.unresponsive_after;
    if (is_new) {
        return true;
    }
    return this->is_present(now, agent) && agent.report.takes_openings &&
           !agent.report.restarting &&
           agent.openings_since_report < agent.report.opening_budget;
}

std::vector<const member*>
member_table::members_of(const support::service_name& service) const {
    std::vector<const member*> result;
    for (const auto& [agent, each] : this->self->members) {
        if (each.report.service == service) {
            result.push_back(&each);
        }
    }
    return result;
}

std::vector<const member*> member_table::all() const {
    std::vector<const member*> result;
    result.reserve(this->self->members.size());
    for (const auto& [agent, each] : this->self->members) {
        result.push_back(&each);
    }
    return result;
}

} // namespace guavastair::steering
