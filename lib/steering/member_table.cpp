#include <guavastair/steering.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace guavastair::steering {

struct member_table::implementation {
    explicit implementation(member_settings chosen)
        : settings(std::move(chosen)) {}

    member* add(support::instant now, const peer::agent_report& report);
    bool is_in_use(const member& each) const;
    support::duration interval_of(const member& each) const;
    support::duration ping_interval_of(support::instant now,
                                       const member& each) const;
    support::duration scaled(const member& each, support::duration limit) const;
    void count_remote();

    member_settings settings;
    std::size_t remote_count = 0;
    std::map<support::endpoint, member> members;
    support::instant resumed_at{INT64_MIN / 2};
};

member* member_table::implementation::add(support::instant now,
                                          const peer::agent_report& report) {
    const auto found = this->members.find(report.agent);
    if (found != this->members.end()) {
        return &found->second;
    }
    if (this->members.size() >= this->settings.max_members) {
        return nullptr;
    }
    member& added = this->members[report.agent];
    added.report = report;
    added.first_seen = now;
    added.last_answer = now;
    added.last_ping = now - this->settings.absent_ping_interval;
    added.last_introduction = now - this->settings.introduction_interval;
    added.last_used = now - this->settings.use_time;
    added.used_since = added.last_used;
    this->count_remote();
    return &added;
}

void member_table::implementation::count_remote() {
    this->remote_count = static_cast<std::size_t>(std::count_if(
        this->members.begin(), this->members.end(), [this](const auto& entry) {
            return entry.second.report.data_centre !=
                   this->settings.own_data_centre;
        }));
}

/// An agent stays in use until it has answered some time after the last
/// packet, so a silent one is not asked less often again.
bool member_table::implementation::is_in_use(const member& each) const {
    return each.last_answer - each.last_used < this->settings.use_time;
}

/// Time between two pings of an agent that answers.
support::duration
member_table::implementation::interval_of(const member& each) const {
    const support::duration least = this->settings.ping_interval;
    const bool is_remote =
        each.report.data_centre != this->settings.own_data_centre;
    if (!is_remote || this->is_in_use(each)) {
        return least;
    }
    constexpr double ms_per_second = 1000.0;
    const double shared = static_cast<double>(this->remote_count) *
                          ms_per_second /
                          this->settings.remote_pings_per_second;
    const auto wanted =
        support::milliseconds(static_cast<std::int64_t>(shared));
    return std::clamp(wanted, least, this->settings.longest_remote_interval);
}

/// Time between two pings of an agent, whether it answers or not.
support::duration
member_table::implementation::ping_interval_of(support::instant now,
                                               const member& each) const {
    const support::duration silence = now - each.last_answer;
    if (silence > this->settings.forget_after / 4) {
        return this->settings.absent_ping_interval;
    }
    const bool may_be_given_up = silence > this->settings.dark_after &&
                                 silence <= this->settings.lost_after;
    if (may_be_given_up && this->is_in_use(each)) {
        return this->settings.silent_ping_interval;
    }
    return this->interval_of(each);
}

/// A limit on silence, for the interval at which the agent is pinged.
support::duration
member_table::implementation::scaled(const member& each,
                                     support::duration limit) const {
    return {limit.ms * this->interval_of(each).ms /
            this->settings.ping_interval.ms};
}

/// How long the agent has owed an answer. One that was pinged rarely until it
/// came into use owes none from before that.
static support::duration silence_of(support::instant now, const member& each) {
    return now - std::max(each.last_answer, each.used_since);
}

member_table::member_table(member_settings chosen)
    : self(std::make_unique<implementation>(std::move(chosen))) {}

member_table::~member_table() = default;

void member_table::set_listed(support::instant now,
                              std::span<const peer::agent_report> listed) {
    for (auto& [agent, each] : this->self->members) {
        each.is_listed = false;
    }
    for (const peer::agent_report& report : listed) {
        member* each = this->self->add(now, report);
        if (each == nullptr) {
            continue;
        }
        each->is_listed = true;
        // The agent's own word is newer than what it once wrote.
        if (!each->answered) {
            each->report = report;
        }
    }
}

void member_table::on_report(support::instant now,
                             const peer::agent_report& report) {
    member* each = this->self->add(now, report);
    if (each == nullptr) {
        return;
    }
    each->report = report;
    each->answered = true;
    each->last_answer = now;
    each->openings_since_report = 0;
}

void member_table::on_opening_sent(support::endpoint agent) {
    const auto found = this->self->members.find(agent);
    if (found != this->self->members.end()) {
        ++found->second.openings_since_report;
    }
}

void member_table::on_packet_sent(support::instant now,
                                  support::endpoint agent) {
    const auto found = this->self->members.find(agent);
    if (found == this->self->members.end()) {
        return;
    }
    member& each = found->second;
    if (this->self->interval_of(each) > this->self->settings.ping_interval) {
        each.used_since = now;
    }
    each.last_used = now;
}

void member_table::on_resumed(support::instant now) {
    this->self->resumed_at = now;
    for (auto& [agent, each] : this->self->members) {
        each.last_answer = now;
        each.last_ping = now - this->self->settings.absent_ping_interval;
    }
}

std::vector<due_ping> member_table::due_for_ping(support::instant now) {
    const member_settings& settings = this->self->settings;
    std::vector<due_ping> due;
    for (auto& [agent, each] : this->self->members) {
        const support::duration interval =
            this->self->ping_interval_of(now, each);
        if (now - each.last_ping < interval) {
            continue;
        }
        each.last_ping = now;
        const bool introduces =
            now - each.last_introduction >= settings.introduction_interval;
        if (introduces) {
            each.last_introduction = now;
        }
        due.push_back({agent, introduces});
    }
    return due;
}

void member_table::tick(support::instant now) {
    const support::instant limit = now - this->self->settings.forget_after;
    std::erase_if(this->self->members, [limit](const auto& entry) {
        const member& each = entry.second;
        return !each.is_listed && each.last_answer < limit;
    });
    this->self->count_remote();
}

std::vector<support::endpoint>
member_table::abandoned_agents(support::instant now) const {
    std::vector<support::endpoint> found;
    if (!this->is_connected(now)) {
        return found;
    }
    for (const auto& [agent, each] : this->self->members) {
        const support::instant heard =
            std::max(each.last_answer, this->self->resumed_at);
        if (each.is_listed &&
            now - heard > this->self->settings.abandoned_after) {
            found.push_back(agent);
        }
    }
    return found;
}

const member* member_table::find(support::endpoint agent) const {
    const auto found = this->self->members.find(agent);
    return found == this->self->members.end() ? nullptr : &found->second;
}

std::size_t member_table::size() const {
    return this->self->members.size();
}

bool member_table::is_present(support::instant now, const member& each) const {
    const support::duration limit =
        this->self->scaled(each, this->self->settings.dark_after);
    return each.answered && silence_of(now, each) <= limit;
}

bool member_table::is_connected(support::instant now) const {
    std::size_t answered = 0;
    std::size_t present = 0;
    for (const auto& [agent, each] : this->self->members) {
        answered += each.answered ? 1 : 0;
        present += this->is_present(now, each) ? 1 : 0;
    }
    return present > 0 && 2 * present >= answered;
}

bool member_table::is_lost(support::instant now, const member& each) const {
    const member_settings& settings = this->self->settings;
    const support::duration limit =
        each.report.restarting ? settings.restart_timeout
                               : this->self->scaled(each, settings.lost_after);
    const support::duration silence =
        std::min(silence_of(now, each), now - this->self->resumed_at);
    return silence > limit && this->is_connected(now);
}

bool member_table::takes_openings(support::instant now,
                                  const member& each) const {
    // A listed agent that has not had time to answer decides for itself.
    const bool is_new = !each.answered && now - each.first_seen <=
                                              this->self->settings.dark_after;
    if (is_new) {
        return true;
    }
    return this->is_present(now, each) && each.report.takes_openings &&
           !each.report.restarting &&
           each.openings_since_report < each.report.opening_budget;
}

std::vector<const member*>
member_table::members_of(const support::service_name& service) const {
    std::vector<const member*> found;
    for (const auto& [agent, each] : this->self->members) {
        if (each.report.service == service) {
            found.push_back(&each);
        }
    }
    return found;
}

std::vector<const member*> member_table::all() const {
    std::vector<const member*> found;
    found.reserve(this->self->members.size());
    for (const auto& [agent, each] : this->self->members) {
        found.push_back(&each);
    }
    return found;
}

} // namespace guavastair::steering
