#include "agent.hpp"
#include "operator_documents.hpp"

#include <guavastair/relay.hpp>

namespace guavastair::relay {

using ablation::mechanism;

namespace {

constexpr support::duration tick_interval = support::milliseconds(100);

/// Time without a ping after which an agent announces itself to its seeds.
constexpr support::duration announce_after_silence = support::milliseconds(700);

/// Time without a ping after which a balancer is no longer advertised to
/// others.
constexpr support::duration balancer_lifetime = support::seconds(3);

/// Maximum duration of one watch for operators' changes. Balancers use shorter
/// watches and notify agents of changes.
constexpr support::duration view_watch_time = support::seconds(8);

ownership::owner_settings owner_settings(const process_context& context) {
    const platform::settings& settings = context.settings;
    ownership::owner_settings result;
    result.self = settings.peers;
    result.accepts_second_offers = context.enabled.has(mechanism::second_offer);
    result.longest_flow = settings.longest_flow;
    result.idle_timeout = settings.longest_flow;
    return result;
}

ownership::monitor_settings
monitor_settings(const platform::settings& settings) {
    ownership::monitor_settings result;
    result.report_interval = settings.report_interval;
    return result;
}

registry::registrar_settings
registrar_settings(const platform::settings& settings) {
    registry::registrar_settings result;
    result.key = platform::agent_key(settings.peers);
    return result;
}

registry::registrar_settings
ledger_settings(const platform::settings& settings) {
    registry::registrar_settings result;
    result.key = platform::flows_key(settings.peers);
    return result;
}

} // namespace

agent::agent(platform::settings initial_settings, const run_options& options)
    : context(std::move(initial_settings), options), link(context),
      view_sync(context, view_watch_time, [this] { this->on_view_changed(); }),
      registrar(context, registrar_settings(context.settings)),
      monitor(monitor_settings(context.settings), context.now()),
      flow_table(owner_settings(context), context.now()),
      ledger({}, context.now()),
      ledger_writer(context, ledger_settings(context.settings)),
      ledger_reader(context.loop, {.store = context.settings.store},
                    context.store_calls),
      answer_times(page.add_histogram(
          {"guavastair_answer_seconds",
           "Time from a request, or its flow's opening, to the first "
           "packet of the answer.",
           {}},
          {})),
      readiness(context.loop,
                [this](const http::request& request) {
                    return this->handle_request(request);
                }),
      control(context.loop,
              [this](const http::request& request) {
                  return this->handle_request(request);
              }),
      probe(context.loop), outbound(context), run_id(context.random()),
      started_at(context.now()) {}

void agent::add_metrics() {
    add_common_metrics(this->page, this->context, this->view_sync);
    this->page.add_gauge({"guavastair_requests_in_progress",
                          "Requests of callers without an answer yet.",
                          {}},
                         [this] {
                             return static_cast<double>(
                                 this->flow_table.load().in_progress);
                         });
    this->page.add_gauge(
        {"guavastair_flows", "Flows of the server.", {}},
        [this] { return static_cast<double>(this->flow_table.load().flows); });
    this->page.add_gauge(
        {"guavastair_openings_left",
         "Openings that the server, while cold, bears in this second; -1 if "
         "there is no limit.",
         {}},
        [this] {
            const std::uint32_t openings_left =
                this->gate_inputs().openings_left;
            return openings_left == UINT32_MAX
                       ? -1.0
                       : static_cast<double>(openings_left);
        });
    this->page.add_gauge(
        {"guavastair_request_work_seconds",
         "Observed time that a request takes without waiting; 0 before the "
         "first answer.",
         {}},
        [this] {
            return this->request_work.mean()
                       .value_or(ownership::work_time{})
                       .ms /
                   ms_per_second;
        });
    this->page.add_gauge(
        {"guavastair_predicted_wait_seconds",
         "What an opening that comes now would wait for a slot.",
         {}},
        [this] {
            const auto work =
                this->request_work.mean().value_or(ownership::work_time{});
            return ownership::predicted_wait(this->load(), work).ms /
                   ms_per_second;
        });
    this->page.add_gauge(
        {"guavastair_balancers_heard",
         "Balancers that have pinged lately.",
         {}},
        [this] { return static_cast<double>(this->balancers.size()); });
    this->page.add_counter({"guavastair_messages_malformed_total",
                            "Messages of peers that could not be read.",
                            {}},
                           [this] { return this->link.malformed_messages(); });
}

void agent::on_view_changed() {
    const bool is_withdrawn = this->view_sync.active_routing().is_withdrawn(
        this->context.settings.data_centre);
    if (this->was_withdrawn && !is_withdrawn) {
        this->monitor.assume_cold(this->context.now());
    }
    this->was_withdrawn = is_withdrawn;
    logging::line line("cold_limit");
    line.add("of", this->context.settings.service)
        .add("openings_per_second", this->cold_opening_limit());
    this->context.log(logging::level::info, "cold_limit", line);
}

void agent::tick() {
    const support::instant now = this->context.now();
    this->flow_table.tick(now);
    this->start_probe();
    this->persist_flows();
    std::erase_if(this->balancers, [now](const auto& entry) {
        return now - entry.second.last_ping_at > balancer_lifetime;
    });
    if (now - this->last_ping > announce_after_silence) {
        this->last_ping = now;
        this->announce_to_seeds();
    }
}

/// Stops the event loop once the store no longer holds this agent's entry, or
/// shortly before the stop grace period ends.
void agent::await_deregistration() {
    const support::duration limit =
        this->context.settings.stop_grace - server_exit_grace * 2;
    const bool is_late = this->context.now() - this->stopping_since > limit;
    if (this->registrar.is_settled() || is_late) {
        this->context.loop.stop();
        return;
    }
    this->context.loop.call_after(tick_interval,
                                  [this] { this->await_deregistration(); });
}

void agent::stop() {
    if (this->is_stopping) {
        this->context.loop.stop();
        return;
    }
    this->is_stopping = true;
    this->stopping_since = this->context.now();
    const bool has_server_left = this->monitor.has_left();
    logging::line line("stopping");
    line.add("server_left", has_server_left);
    this->context.log(logging::level::info, "stopping", line);
    if (has_server_left) {
        if (this->monitor.condition() == peer::server_condition::gone) {
            this->reset_all_flows();
        }
        this->publish();
        this->ledger_writer.set_wanted(std::nullopt);
        this->context.loop.call_after(server_exit_grace,
                                      [this] { this->await_deregistration(); });
        return;
    }
    // The server keeps running without this agent. Balancers wait longer for
    // an agent that has announced its restart before they reset its flows.
    this->is_restarting = true;
    for (const auto& [balancer, contact] : this->balancers) {
        this->link.send(
            balancer,
            peer::pong{0, this->view_sync.summary(), this->report(), {}});
    }
    // Queued messages are sent at the end of this round of the loop.
    this->context.loop.call_after(support::milliseconds(1),
                                  [this] { this->context.loop.stop(); });
}

absl::Status agent::open() {
    absl::Status status =
        this->context.handle_signals([this] { this->stop(); });
    if (status.ok()) {
        status = this->link.open(
            [this](support::endpoint from, const peer::message& body) {
                this->on_message(from, body);
            });
    }
    if (status.ok()) {
        status = this->outbound.open(
            packet_socket_options(this->context.settings.outbound),
            [this](const net::datagram& received) {
                this->on_server_datagram(received.payload);
            });
    }
    if (status.ok()) {
        status = this->control.listen(this->context.settings.control);
    }
    if (status.ok()) {
        status = this->readiness.listen(this->context.settings.readiness);
    }
    if (status.ok()) {
        status = this->view_sync.start();
    }
    return status;
}

absl::Status agent::run() {
    absl::Status open_status = this->open();
    if (!open_status.ok()) {
        return open_status;
    }
    this->add_metrics();
    this->publish();
    this->restore_flows();
    this->start_probe();
    this->announce_to_seeds();
    this->context.watch_for_pauses([this](support::duration) {
        this->monitor.on_resumed(this->context.now());
        this->request_work.discard_samples();
        this->view_sync.on_resumed();
    });
    this->context.loop.call_every(tick_interval, [this] { this->tick(); });
    logging::line line("started");
    line.add("role", "agent")
        .add("of", this->context.settings.service)
        .add("data_centre", this->context.settings.data_centre)
        .add("run", support::to_string(support::member_id{this->run_id}))
        .add("without", this->context.enabled.disabled_names());
    this->context.log(logging::level::info, "started", line);
    this->context.loop.run();
    line = logging::line("stopped");
    this->context.log(logging::level::info, "stopped", line);
    return absl::OkStatus();
}

absl::Status run_agent(const run_options& options) {
    auto settings = platform::load_settings(platform::process_role::agent);
    if (!settings.ok()) {
        return settings.status();
    }
    agent instance(*std::move(settings), options);
    return instance.run();
}

} // namespace guavastair::relay
