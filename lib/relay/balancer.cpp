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

constexpr support::duration ping_tick_interval = support::milliseconds(50);
constexpr support::duration maintenance_interval = support::seconds(1);

/// How long a stopping balancer continues to serve after it reports that it is
/// not ready. The routers check readiness twice a second and stop sending
/// packets after two failed checks.
constexpr support::duration shutdown_drain_time = support::milliseconds(1800);

/// Time after which a balancer reports that it is ready even if no agent has
/// answered.
constexpr support::duration max_startup_wait = support::seconds(2);

/// Time after a start or a pause of the process during which a balancer
/// declares no agent lost.
constexpr support::duration settling_time = support::milliseconds(1500);

/// How long the list of agents counts as complete without a confirmation by the
/// store: the longest watch plus the client's timeout for it.
constexpr support::duration agent_list_lifetime = support::seconds(9);

/// Time after which a balancer that no agent mentions is removed.
constexpr support::duration balancer_lifetime = support::seconds(5);

/// Maximum duration of one watch for operators' changes. A store that discards
/// its history may not deliver a change until the watch ends. The first process
/// that sees the change notifies the others.
constexpr support::duration view_watch_time = support::seconds(3);

registry::follower_settings agent_follower_settings() {
    registry::follower_settings result;
    result.prefix = platform::agent_prefix();
    return result;
}

/// Values that set no limit in practice.
constexpr double unbounded = 1e9;
constexpr support::duration never = support::seconds(1'000'000);

steering::member_settings member_settings(const process_context& context) {
    steering::member_settings result;
    result.own_data_centre = context.settings.data_centre;
    if (!context.enabled.has(mechanism::shared_pings)) {
        result.remote_pings_per_second = unbounded;
    }
    if (!context.enabled.has(mechanism::silent_agent_resets)) {
        result.lost_after = never;
        result.restart_timeout = never;
    }
    return result;
}

steering::dispatcher_settings
dispatcher_settings(const process_context& context) {
    steering::dispatcher_settings result;
    if (context.enabled.has(mechanism::local_first)) {
        result.opening.own_data_centre = context.settings.data_centre;
    }
    if (!context.enabled.has(mechanism::two_choices)) {
        result.opening.agents_compared = 1;
    }
    if (!context.enabled.has(mechanism::search_budget)) {
        result.search_messages_per_second = unbounded;
        result.search_message_burst = unbounded;
    }
    if (!context.enabled.has(mechanism::early_packets)) {
        result.max_early_packets = 0;
    }
    result.location_lifetime = context.settings.longest_flow;
    return result;
}

} // namespace

balancer::balancer(platform::settings initial_settings,
                   const run_options& options)
    : context(std::move(initial_settings), options), link(context),
      view_sync(context, view_watch_time, [] {}),
      agent_entries(context, agent_follower_settings(),
                    [this] { this->on_agents_listed(); }),
      cleaner(context), members(member_settings(context)),
      dispatcher(dispatcher_settings(context), members,
                 view_sync.active_routing()),
      control(context.loop,
              [this](const http::request& request) {
                  return this->handle_request(request);
              }),
      packet_channel(context), run_id(context.random()) {}

/// Whether the list of agents is known to be complete. An agent accepts no flow
/// before the store lists it. If the store rejects its entry, the agent accepts
/// flows several seconds after its start.
bool balancer::is_agent_list_complete() const {
    const support::instant confirmed_at = this->agent_entries.last_success();
    return confirmed_at >= this->running_since &&
           this->context.now() - confirmed_at <= agent_list_lifetime;
}

/// Returns the report that an agent has stored in `entry`. Empty if the entry
/// is malformed or belongs to another key.
static std::optional<peer::agent_report>
parse_agent_entry(const registry::entry& entry) {
    alignas(8) std::array<std::byte, peer::max_message_size> aligned;
    const std::size_t size = entry.value.size();
    if (size > aligned.size()) {
        return std::nullopt;
    }
    std::memcpy(aligned.data(), entry.value.data(), size);
    const auto body = peer::decode(std::span(aligned).first(size));
    const auto* pong = body.ok() ? std::get_if<peer::pong>(&*body) : nullptr;
    const bool matches_key =
        pong != nullptr && platform::agent_key(pong->report.agent) == entry.key;
    return matches_key ? std::optional(pong->report) : std::nullopt;
}

void balancer::on_agents_listed() {
    std::vector<peer::agent_report> listed;
    for (const auto& [key, each] : this->agent_entries.state().entries()) {
        if (auto report = parse_agent_entry(each)) {
            listed.push_back(*std::move(report));
            continue;
        }
        logging::line line("entry_refused");
        line.add("key", key).add("revision", each.modified.value);
        this->context.log(logging::level::warn, "entry_refused", line);
    }
    this->members.set_listed(this->context.now(), listed);
    this->ping_members();
}

peer::listing balancer::listing_of(support::endpoint agent) const {
    const steering::member* each = this->members.find(agent);
    if (each == nullptr || !this->is_agent_list_complete()) {
        return peer::listing::unknown;
    }
    return each->is_listed ? peer::listing::present : peer::listing::absent;
}

void balancer::ping_members() {
    const support::instant now = this->context.now();
    const auto due = this->members.due_for_ping(now);
    if (due.empty()) {
        return;
    }
    peer::ping body;
    body.sequence = ++this->ping_sequence;
    body.run = this->run_id;
    body.view = this->view_sync.summary();
    body.agents = static_cast<std::uint32_t>(this->members.size());
    const std::vector<support::endpoint> no_balancers;
    std::vector<support::endpoint> known_balancers;
    for (const auto& [other, last_mentioned] : this->balancers) {
        known_balancers.push_back(other);
    }
    const auto others =
        peer::rotating_subset(known_balancers, this->introduction_count);
    const bool any_introduces =
        std::any_of(due.begin(), due.end(),
                    [](const auto& each) { return each.lists_balancers; });
    this->introduction_count += any_introduces ? 1 : 0;
    for (const steering::due_ping& each : due) {
        body.listed = this->listing_of(each.agent);
        body.introduces = each.lists_balancers;
        body.balancers = each.lists_balancers ? others : no_balancers;
        this->link.send(each.agent, body);
    }
    this->log_presence_changes();
    this->reset_flows_of_lost_agents();
}

/// Resets the flows of lost agents, because their callers would otherwise wait
/// until they time out.
void balancer::reset_flows_of_lost_agents() {
    const support::instant now = this->context.now();
    if (now - this->running_since < settling_time) {
        return;
    }
    for (const steering::member* each : this->members.all()) {
        const support::endpoint agent = each->report.agent;
        if (!this->members.is_lost(now, *each)) {
            this->lost_agents.erase(agent);
            continue;
        }
        if (!this->lost_agents.insert(agent).second) {
            continue;
        }
        const auto lost_flows = this->dispatcher.extract_lost_flows(agent);
        logging::line line("agent_given_up");
        line.add("agent", agent)
            .add("silent_ms", (now - each->last_answer).ms)
            .add("flows", lost_flows.size());
        this->context.log(logging::level::warn, "agent_given_up", line);
        for (const steering::lost_flow& flow : lost_flows) {
            this->send_reset(flow.key, flow.acknowledgement);
        }
    }
}

/// Removes the store entry of one agent whose VM is permanently gone. Each
/// balancer decides at random whether to act, so that not all of them send the
/// same removal.
void balancer::remove_abandoned_entry() {
    if (!this->is_agent_list_complete() || this->cleaner.is_busy()) {
        return;
    }
    const auto abandoned = this->members.abandoned_agents(this->context.now());
    if (abandoned.empty() ||
        this->context.random() % (this->balancers.size() + 1) != 0) {
        return;
    }
    const auto& entries = this->agent_entries.state().entries();
    const auto entry = entries.find(platform::agent_key(abandoned.front()));
    if (entry != entries.end()) {
        this->cleaner.remove(abandoned.front(), entry->second.modified);
    }
}

void balancer::log_presence_changes() {
    const support::instant now = this->context.now();
    for (const steering::member* each : this->members.all()) {
        const bool is_present = this->members.is_present(now, *each);
        bool& was_present = this->logged_presence[each->report.agent];
        if (was_present == is_present) {
            continue;
        }
        was_present = is_present;
        const absl::string_view event =
            is_present ? "agent_found" : "agent_lost";
        logging::line line(event);
        line.add("agent", each->report.agent)
            .add("of", each->report.service)
            .add("data_centre", each->report.data_centre)
            .add("condition", peer::to_string(each->report.condition))
            .add("silent_ms", (now - each->last_answer).ms)
            .add("listed", each->is_listed);
        this->context.log(logging::level::info, event, line);
    }
}

bool balancer::is_ready() const {
    const bool knows_agents =
        this->has_agent_answered ||
        this->context.now() - this->started_at > max_startup_wait;
    const bool reaches_services =
        !this->context.enabled.has(mechanism::readiness_by_reach) ||
        steering::reaches_every_service(this->context.now(), this->members,
                                        this->view_sync.active_routing());
    return !this->is_stopping &&
           this->view_sync.active_routing().has_configuration() &&
           knows_agents && reaches_services;
}

void balancer::add_metrics() {
    add_common_metrics(this->page, this->context, this->view_sync);
    this->page.add_gauge(
        {"guavastair_agents_known", "Agents known.", {}},
        [this] { return static_cast<double>(this->members.size()); });
    this->page.add_gauge(
        {"guavastair_agents_present", "Agents that answer.", {}}, [this] {
            const support::instant now = this->context.now();
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
                           [this] { return this->link.malformed_messages(); });
}

http::response balancer::handle_request(const http::request& request) {
    if (request.target == metrics_path) {
        return metrics_response(this->page);
    }
    const auto call = platform::read_control_call(request);
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
    if (this->is_stopping) {
        this->context.loop.stop();
        return;
    }
    this->is_stopping = true;
    logging::line line("stopping");
    line.add("within_ms", shutdown_drain_time.ms);
    this->context.log(logging::level::info, "stopping", line);
    this->context.loop.call_after(shutdown_drain_time,
                                  [this] { this->context.loop.stop(); });
}

absl::Status balancer::run() {
    this->add_metrics();
    this->started_at = this->context.now();
    this->running_since = this->started_at;
    absl::Status open_status = [this]() -> absl::Status {
        absl::Status status =
            this->context.handle_signals([this] { this->stop(); });
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
            status = this->control.listen(this->context.settings.readiness);
        }
        return status;
    }();
    if (!open_status.ok()) {
        return open_status;
    }
    absl::Status view_status = this->view_sync.start();
    if (!view_status.ok()) {
        return view_status;
    }
    this->agent_entries.start();
    this->context.watch_for_pauses([this](support::duration) {
        this->running_since = this->context.now();
        this->members.on_resumed(this->running_since);
        this->view_sync.on_resumed();
    });
    this->context.loop.call_every(ping_tick_interval,
                                  [this] { this->ping_members(); });
    this->context.loop.call_every(maintenance_interval, [this] {
        const support::instant now = this->context.now();
        this->members.tick(now);
        this->tick_searches();
        this->remove_abandoned_entry();
        std::erase_if(this->balancers, [now](const auto& entry) {
            return now - entry.second > balancer_lifetime;
        });
        std::erase_if(this->logged_presence, [this](const auto& entry) {
            return this->members.find(entry.first) == nullptr;
        });
        std::erase_if(this->lost_agents, [this](support::endpoint agent) {
            return this->members.find(agent) == nullptr;
        });
    });
    logging::line line("started");
    line.add("role", "balancer")
        .add("data_centre", this->context.settings.data_centre)
        .add("without", this->context.enabled.disabled_names());
    this->context.log(logging::level::info, "started", line);
    this->context.loop.run();
    line = logging::line("stopped");
    this->context.log(logging::level::info, "stopped", line);
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
