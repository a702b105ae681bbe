#include "agent.hpp"
#include "operator_documents.hpp"

#include <guavastair/relay.hpp>

namespace guavastair::relay {

using ablation::mechanism;

namespace {

constexpr support::duration tick_interval = support::milliseconds(100);

/// Without a ping for so long an agent makes itself known to balancers.
constexpr support::duration lonely_after = support::milliseconds(700);

/// A balancer that has not pinged for so long is no longer listed to others.
constexpr support::duration balancer_lifetime = support::seconds(3);

/// Longest watch for the operators' changes: balancers watch more closely and
/// tell.
constexpr support::duration view_watch_time = support::seconds(8);

ownership::owner_settings owner_settings(const process& shell) {
    const platform::settings& settings = shell.settings;
    ownership::owner_settings result;
    result.self = settings.peers;
    result.accepts_second_offers = shell.enabled.has(mechanism::second_offer);
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

agent::agent(platform::settings chosen, const run_options& options)
    : shell(std::move(chosen), options), link(shell),
      view(shell, view_watch_time, [this] { this->on_view_changed(); }),
      registrar(shell, registrar_settings(shell.settings)),
      monitor(monitor_settings(shell.settings), shell.now()),
      owner(owner_settings(shell), shell.now()), ledger({}, shell.now()),
      ledger_writer(shell, ledger_settings(shell.settings)),
      ledger_reader(shell.loop, {.store = shell.settings.store},
                    shell.store_calls),
      answer_times(page.add_histogram(
          {"guavastair_answer_seconds",
           "Time from a request, or its flow's opening, to the first "
           "packet of the answer.",
           {}},
          {})),
      readiness(shell.loop,
                [this](const http::request& ask) { return this->answer(ask); }),
      control(shell.loop,
              [this](const http::request& ask) { return this->answer(ask); }),
      probe(shell.loop), outbound(shell), run_id(shell.random()),
      started(shell.now()) {}

void agent::add_metrics() {
    add_common_metrics(this->page, this->shell, this->view);
    this->page.add_gauge(
        {"guavastair_requests_in_progress",
         "Requests of callers without an answer yet.",
         {}},
        [this] { return static_cast<double>(this->owner.load().in_progress); });
    this->page.add_gauge(
        {"guavastair_flows", "Flows of the server.", {}},
        [this] { return static_cast<double>(this->owner.load().flows); });
    this->page.add_gauge(
        {"guavastair_openings_left",
         "Openings that the server, while cold, bears in this second; -1 if "
         "there is no limit.",
         {}},
        [this] {
            const std::uint32_t left = this->gate_inputs().openings_left;
            return left == UINT32_MAX ? -1.0 : static_cast<double>(left);
        });
    this->page.add_gauge(
        {"guavastair_request_work_seconds",
         "Observed time that a request takes without waiting; 0 before the "
         "first answer.",
         {}},
        [this] {
            return this->work.mean().value_or(ownership::work_time{}).ms /
                   ms_per_second;
        });
    this->page.add_gauge(
        {"guavastair_predicted_wait_seconds",
         "What an opening that comes now would wait for a slot.",
         {}},
        [this] {
            const auto work =
                this->work.mean().value_or(ownership::work_time{});
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
                           [this] { return this->link.malformed(); });
}

void agent::on_view_changed() {
    const bool withdrawn =
        this->view.rules().is_withdrawn(this->shell.settings.data_centre);
    if (this->was_withdrawn && !withdrawn) {
        this->monitor.assume_cold(this->shell.now());
    }
    this->was_withdrawn = withdrawn;
    logging::line line("cold_limit");
    line.add("of", this->shell.settings.service)
        .add("openings_per_second", this->cold_limit());
    this->shell.log(logging::level::info, "cold_limit", line);
}

void agent::tick() {
    const support::instant now = this->shell.now();
    this->owner.tick(now);
    this->start_probe();
    this->remember_flows();
    std::erase_if(this->balancers, [now](const auto& entry) {
        return now - entry.second.heard > balancer_lifetime;
    });
    if (now - this->last_ping > lonely_after) {
        this->last_ping = now;
        this->introduce();
    }
}

/// Ends once the entry is gone from the store, or the time to stop is over.
void agent::leave() {
    const support::duration limit =
        this->shell.settings.stop_grace - leave_time * 2;
    const bool late = this->shell.now() - this->stopping_since > limit;
    if (this->registrar.is_settled() || late) {
        this->shell.loop.stop();
        return;
    }
    this->shell.loop.call_after(tick_interval, [this] { this->leave(); });
}

void agent::stop() {
    if (this->stopping) {
        this->shell.loop.stop();
        return;
    }
    this->stopping = true;
    this->stopping_since = this->shell.now();
    const bool server_left = this->monitor.has_left();
    logging::line line("stopping");
    line.add("server_left", server_left);
    this->shell.log(logging::level::info, "stopping", line);
    if (server_left) {
        if (this->monitor.condition() == peer::server_condition::gone) {
            this->drop_flows();
        }
        this->publish();
        this->ledger_writer.set_wanted(std::nullopt);
        this->shell.loop.call_after(leave_time, [this] { this->leave(); });
        return;
    }
    this->restarting = true;
    for (const auto& [balancer, heard] : this->balancers) {
        this->link.send(
            balancer, peer::pong{0, this->view.summary(), this->report(), {}});
    }
    this->shell.loop.call_after(support::milliseconds(1),
                                [this] { this->shell.loop.stop(); });
}

absl::Status agent::open() {
    absl::Status status = this->shell.handle_signals([this] { this->stop(); });
    if (status.ok()) {
        status = this->link.open(
            [this](support::endpoint from, const peer::message& body) {
                this->on_message(from, body);
            });
    }
    if (status.ok()) {
        status =
            this->outbound.open(packet_options(this->shell.settings.outbound),
                                [this](const net::datagram& received) {
                                    this->on_server_datagram(received.payload);
                                });
    }
    if (status.ok()) {
        status = this->control.listen(this->shell.settings.control);
    }
    if (status.ok()) {
        status = this->readiness.listen(this->shell.settings.readiness);
    }
    if (status.ok()) {
        status = this->view.start();
    }
    return status;
}

absl::Status agent::run() {
    absl::Status opened = this->open();
    if (!opened.ok()) {
        return opened;
    }
    this->add_metrics();
    this->publish();
    this->recall_flows();
    this->start_probe();
    this->introduce();
    this->shell.watch_for_gaps([this](support::duration) {
        this->monitor.on_resumed(this->shell.now());
        this->work.discard_samples();
        this->view.on_resumed();
    });
    this->shell.loop.call_every(tick_interval, [this] { this->tick(); });
    logging::line line("started");
    line.add("role", "agent")
        .add("of", this->shell.settings.service)
        .add("data_centre", this->shell.settings.data_centre)
        .add("run", support::to_string(support::member_id{this->run_id}))
        .add("without", this->shell.enabled.disabled_names());
    this->shell.log(logging::level::info, "started", line);
    this->shell.loop.run();
    line = logging::line("stopped");
    this->shell.log(logging::level::info, "stopped", line);
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
