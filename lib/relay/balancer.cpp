#include "balancer.hpp"
#include "operator_documents.hpp"
#include "server_report.hpp"

#include <guavastair/relay.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>

namespace guavastair::relay {

using ablation::mechanism;

namespace {

constexpr support::duration ping_tick = support::milliseconds(50);
constexpr support::duration slow_tick = support::seconds(1);

/// How long a balancer serves on after it has said that it is not ready: the
/// routers ask twice a second and turn away after two misses.
constexpr support::duration turn_away_time = support::milliseconds(1800);

/// Without an answer from any agent a balancer calls itself ready after this.
constexpr support::duration longest_start = support::seconds(2);

/// How long after its start, or after it stood still, a balancer gives up no
/// agent.
constexpr support::duration settling_time = support::milliseconds(1500);

/// How long the store's list of agents counts as whole without its word: the
/// longest watch and the client's time for it.
constexpr support::duration list_lifetime = support::seconds(9);

/// A balancer that no agent has mentioned for so long is forgotten.
constexpr support::duration balancer_lifetime = support::seconds(5);

/// Longest watch for the operators' changes. A store that forgets its history
/// may keep one from a watch until that ends; the first process to learn of it
/// tells the others.
constexpr support::duration view_watch_time = support::seconds(3);

registry::follower_settings follow_agents() {
    registry::follower_settings result;
    result.prefix = platform::agent_prefix();
    return result;
}

/// Stands for no bound at all.
constexpr double unbounded = 1e9;
constexpr support::duration never = support::seconds(1'000'000);

steering::member_settings member_settings(const process& owner) {
    steering::member_settings result;
    result.own_data_centre = owner.settings.data_centre;
    if (!owner.enabled.has(mechanism::shared_pings)) {
        result.remote_pings_per_second = unbounded;
    }
    if (!owner.enabled.has(mechanism::silent_agent_resets)) {
        result.lost_after = never;
        result.restart_timeout = never;
    }
    return result;
}

steering::dispatcher_settings dispatcher_settings(const process& owner) {
    steering::dispatcher_settings result;
    if (owner.enabled.has(mechanism::local_first)) {
        result.opening.own_data_centre = owner.settings.data_centre;
    }
    if (!owner.enabled.has(mechanism::two_choices)) {
        result.opening.agents_compared = 1;
    }
    if (!owner.enabled.has(mechanism::search_budget)) {
        result.search_messages_per_second = unbounded;
        result.search_message_burst = unbounded;
    }
    if (!owner.enabled.has(mechanism::early_packets)) {
        result.max_early_packets = 0;
    }
    result.location_lifetime = owner.settings.longest_flow;
    return result;
}

} // namespace

balancer::balancer(platform::settings chosen, const run_options& options)
    : shell(std::move(chosen), options), link(shell),
      view(shell, view_watch_time, [] {}),
      agents(shell, follow_agents(), [this] { this->on_agents_listed(); }),
      cleaner(shell), members(member_settings(shell)),
      dispatcher(dispatcher_settings(shell), members, view.rules()),
      control(shell.loop,
              [this](const http::request& ask) { return this->answer(ask); }),
      packets(shell), run_id(shell.random()) {}

/// Whether the store's list of agents is known to be whole. An agent takes no
/// flow before it is in that list.
bool balancer::knows_all_agents() const {
    const support::instant listed = this->agents.last_success();
    return listed >= this->awake_since &&
           this->shell.now() - listed <= list_lifetime;
}

/// The report that an agent has left under its key, if `entry` is one.
static std::optional<peer::agent_report>
read_entry(const registry::entry& entry) {
    alignas(8) std::array<std::byte, peer::max_message_size> aligned;
    const std::size_t size = entry.value.size();
    if (size > aligned.size()) {
        return std::nullopt;
    }
    std::memcpy(aligned.data(), entry.value.data(), size);
    const auto body = peer::decode(std::span(aligned).first(size));
    const auto* pong = body.ok() ? std::get_if<peer::pong>(&*body) : nullptr;
    const bool is_its_own =
        pong != nullptr && platform::agent_key(pong->report.agent) == entry.key;
    return is_its_own ? std::optional(pong->report) : std::nullopt;
}

void balancer::on_agents_listed() {
    std::vector<peer::agent_report> listed;
    for (const auto& [key, each] : this->agents.state().entries()) {
        if (auto report = read_entry(each)) {
            listed.push_back(*std::move(report));
            continue;
        }
        logging::line line("entry_refused");
        line.add("key", key).add("revision", each.modified.value);
        this->shell.log(logging::level::warn, "entry_refused", line);
    }
    this->members.set_listed(this->shell.now(), listed);
    this->ping_members();
}

peer::listing balancer::listing_of(support::endpoint agent) const {
    const steering::member* each = this->members.find(agent);
    if (each == nullptr || !this->knows_all_agents()) {
        return peer::listing::unknown;
    }
    return each->is_listed ? peer::listing::present : peer::listing::absent;
}

void balancer::ping_members() {
    const support::instant now = this->shell.now();
    const auto due = this->members.due_for_ping(now);
    if (due.empty()) {
        return;
    }
    peer::ping body;
    body.sequence = ++this->ping_sequence;
    body.run = this->run_id;
    body.view = this->view.summary();
    body.agents = static_cast<std::uint32_t>(this->members.size());
    const std::vector<support::endpoint> nobody;
    std::vector<support::endpoint> known;
    for (const auto& [other, heard] : this->balancers) {
        known.push_back(other);
    }
    const auto others = peer::rotating_subset(known, this->introductions);
    const bool any_introduces =
        std::any_of(due.begin(), due.end(),
                    [](const auto& each) { return each.lists_balancers; });
    this->introductions += any_introduces ? 1 : 0;
    for (const steering::due_ping& each : due) {
        body.listed = this->listing_of(each.agent);
        body.introduces = each.lists_balancers;
        body.balancers = each.lists_balancers ? others : nobody;
        this->link.send(each.agent, body);
    }
    this->note_presence();
    this->give_up_lost();
}

/// Resets the flows of agents that are lost: their callers would wait in vain.
void balancer::give_up_lost() {
    const support::instant now = this->shell.now();
    if (now - this->awake_since < settling_time) {
        return;
    }
    for (const steering::member* each : this->members.all()) {
        const support::endpoint agent = each->report.agent;
        if (!this->members.is_lost(now, *each)) {
            this->given_up.erase(agent);
            continue;
        }
        if (!this->given_up.insert(agent).second) {
            continue;
        }
        const auto lost = this->dispatcher.extract_lost_flows(agent);
        logging::line line("agent_given_up");
        line.add("agent", agent)
            .add("silent_ms", (now - each->last_answer).ms)
            .add("flows", lost.size());
        this->shell.log(logging::level::warn, "agent_given_up", line);
        for (const steering::lost_flow& flow : lost) {
            this->reset(flow.key, flow.acknowledgement);
        }
    }
}

/// Takes the entry of one agent whose VM is gone for good out of the store.
/// Balancers take turns by chance, so that not all of them ask for the same.
void balancer::remove_abandoned() {
    if (!this->knows_all_agents() || this->cleaner.is_busy()) {
        return;
    }
    const auto gone = this->members.abandoned_agents(this->shell.now());
    if (gone.empty() ||
        this->shell.random() % (this->balancers.size() + 1) != 0) {
        return;
    }
    const auto& entries = this->agents.state().entries();
    const auto entry = entries.find(platform::agent_key(gone.front()));
    if (entry != entries.end()) {
        this->cleaner.remove(gone.front(), entry->second.modified);
    }
}

void balancer::note_presence() {
    const support::instant now = this->shell.now();
    for (const steering::member* each : this->members.all()) {
        const bool present = this->members.is_present(now, *each);
        bool& before = this->presence[each->report.agent];
        if (before == present) {
            continue;
        }
        before = present;
        const absl::string_view event = present ? "agent_found" : "agent_lost";
        logging::line line(event);
        line.add("agent", each->report.agent)
            .add("of", each->report.service)
            .add("data_centre", each->report.data_centre)
            .add("condition", peer::to_string(each->report.condition))
            .add("silent_ms", (now - each->last_answer).ms)
            .add("listed", each->is_listed);
        this->shell.log(logging::level::info, event, line);
    }
}

bool balancer::is_ready() const {
    const bool knows_agents =
        this->any_answer || this->shell.now() - this->started > longest_start;
    const bool reaches =
        !this->shell.enabled.has(mechanism::readiness_by_reach) ||
        steering::reaches_every_service(this->shell.now(), this->members,
                                        this->view.rules());
    return !this->stopping && this->view.rules().has_configuration() &&
           knows_agents && reaches;
}

void balancer::add_metrics() {
    add_common_metrics(this->page, this->shell, this->view);
    this->page.add_gauge(
        {"guavastair_agents_known", "Agents known.", {}},
        [this] { return static_cast<double>(this->members.size()); });
    this->page.add_gauge(
        {"guavastair_agents_present", "Agents that answer.", {}}, [this] {
            const support::instant now = this->shell.now();
            const auto all = this->members.all();
            return static_cast<double>(
                std::count_if(all.begin(), all.end(), [&](const auto* each) {
                    return this->members.is_present(now, *each);
                }));
        });
    this->page.add_gauge({"guavastair_flow_locations",
                          "Flows whose agent this balancer remembers.",
                          {}},
                         [this] {
                             return static_cast<double>(
                                 this->dispatcher.location_count());
                         });
    this->page.add_counter({"guavastair_messages_malformed_total",
                            "Messages of peers that could not be read.",
                            {}},
                           [this] { return this->link.malformed(); });
}

http::response balancer::answer(const http::request& ask) {
    if (ask.target == metrics_path) {
        return metrics_answer(this->page);
    }
    const auto call = platform::read_control_call(ask);
    if (!call.ok()) {
        return platform::failure_response(call.status());
    }
    if (std::holds_alternative<platform::readiness_call>(*call)) {
        return platform::readiness_response(this->is_ready());
    }
    return platform::failure_response(support::make_error(
        support::error_kind::refused_no_server, "no server runs here"));
}

void balancer::stop() {
    if (this->stopping) {
        this->shell.loop.stop();
        return;
    }
    this->stopping = true;
    logging::line line("stopping");
    line.add("within_ms", turn_away_time.ms);
    this->shell.log(logging::level::info, "stopping", line);
    this->shell.loop.call_after(turn_away_time,
                                [this] { this->shell.loop.stop(); });
}

absl::Status balancer::run() {
    this->add_metrics();
    this->started = this->shell.now();
    this->awake_since = this->started;
    absl::Status opened = [this]() -> absl::Status {
        absl::Status status =
            this->shell.handle_signals([this] { this->stop(); });
        if (status.ok()) {
            status = this->link.open(
                [this](support::endpoint from, const peer::message& body) {
                    this->on_message(from, body);
                });
        }
        if (status.ok()) {
            status = this->open_packets();
        }
        if (status.ok()) {
            status = this->control.listen(this->shell.settings.readiness);
        }
        return status;
    }();
    if (!opened.ok()) {
        return opened;
    }
    absl::Status following = this->view.start();
    if (!following.ok()) {
        return following;
    }
    this->agents.start();
    this->shell.watch_for_gaps([this](support::duration) {
        this->awake_since = this->shell.now();
        this->members.on_resumed(this->awake_since);
        this->view.on_resumed();
    });
    this->shell.loop.call_every(ping_tick, [this] { this->ping_members(); });
    this->shell.loop.call_every(slow_tick, [this] {
        const support::instant now = this->shell.now();
        this->members.tick(now);
        this->tick_searches();
        this->remove_abandoned();
        std::erase_if(this->balancers, [now](const auto& entry) {
            return now - entry.second > balancer_lifetime;
        });
        std::erase_if(this->presence, [this](const auto& entry) {
            return this->members.find(entry.first) == nullptr;
        });
        std::erase_if(this->given_up, [this](support::endpoint agent) {
            return this->members.find(agent) == nullptr;
        });
    });
    logging::line line("started");
    line.add("role", "balancer")
        .add("data_centre", this->shell.settings.data_centre)
        .add("without", this->shell.enabled.disabled_names());
    this->shell.log(logging::level::info, "started", line);
    this->shell.loop.run();
    line = logging::line("stopped");
    this->shell.log(logging::level::info, "stopped", line);
    return absl::OkStatus();
}

absl::Status run_balancer(const run_options& options) {
    auto settings = platform::load_settings(platform::process_role::balancer);
    if (!settings.ok()) {
        return settings.status();
    }
    balancer instance(*std::move(settings), options);
    return instance.run();
}

} // namespace guavastair::relay
