#include "agent.hpp"
#include "operator_documents.hpp"

namespace guavastair::relay {

namespace {

constexpr support::duration probe_timeout = support::milliseconds(400);

/// Time after its start during which an agent retries to read its server's
/// flows from the store.
constexpr support::duration restore_time_limit = support::seconds(5);
/// Time from a failed attempt to the next one.
constexpr support::duration restore_retry_interval = support::milliseconds(200);

/// Minimum age of a flow that is persisted in the store.
constexpr support::duration min_persisted_flow_age =
    support::milliseconds(1000);

} // namespace

/// Logs a change of the server's condition. If the server is gone, and still is
/// after server_exit_grace, resets its flows.
void agent::on_condition_update(absl::string_view cause) {
    const peer::server_condition condition = this->monitor.condition();
    if (condition == this->last_condition) {
        return;
    }
    logging::line line("server_condition");
    line.add("before", peer::to_string(this->last_condition))
        .add("after", peer::to_string(condition))
        .add("cause", cause);
    const auto& last_report = this->monitor.last_report();
    if (last_report.has_value()) {
        line.add("server", last_report->id)
            .add("born", last_report->start_time_ms)
            .add("sequence", last_report->sequence)
            .add("warm_up_left_ms", last_report->warm_up_left.ms);
    }
    this->context.log(logging::level::info, "server_condition", line);
    const bool is_gone = condition == peer::server_condition::gone;
    this->last_condition = condition;
    if (is_gone) {
        this->context.loop.call_after(server_exit_grace, [this] {
            if (this->monitor.condition() == peer::server_condition::gone) {
                this->reset_all_flows();
            }
        });
    }
}

void agent::reset_flows(const std::vector<peer::listed_flow>& flows,
                        absl::string_view cause) {
    if (flows.empty()) {
        return;
    }
    logging::line line("flows_lost");
    line.add("count", flows.size()).add("cause", cause);
    this->context.log(logging::level::warn, "flows_lost", line);
    for (const peer::listed_flow& each : flows) {
        this->send_reset(each.key, each.acknowledged);
    }
}

void agent::reset_all_flows() {
    this->reset_flows(this->flow_table.on_server_lost(this->context.now()),
                      "server_lost");
}

void agent::log_restore_failure(const absl::Status& error) {
    logging::line line("recall_failed");
    line.add("error", support::to_string(support::kind_of(error)))
        .add("why", error.message());
    this->context.log(logging::level::warn, "recall_failed", line);
}

/// Reads from the store the flows that the server held before this process
/// started. Retries a failed read until restore_time_limit.
void agent::restore_flows() {
    const std::string key = platform::flows_key(this->context.settings.peers);
    this->ledger_reader.list(
        key, "", [this, key](const absl::StatusOr<registry::page>& response) {
            if (!response.ok()) {
                this->log_restore_failure(response.status());
                if (this->context.now() - this->started_at <
                    restore_time_limit) {
                    this->context.loop.call_after(
                        restore_retry_interval,
                        [this] { this->restore_flows(); });
                }
                return;
            }
            for (const registry::entry& each : response->entries) {
                if (each.key != key) {
                    continue;
                }
                auto list = peer::decode_flow_list(each.value);
                if (!list.ok()) {
                    this->log_restore_failure(list.status());
                    continue;
                }
                logging::line line("flows_recalled");
                line.add("count", list->flows.size())
                    .add("server", list->server_id)
                    .add("born", list->server_born)
                    .add("revision", each.modified.value);
                this->context.log(logging::level::info, "flows_recalled", line);
                this->ledger.on_stored_list(this->context.now(),
                                            *std::move(list));
                for (const auto& [balancer, contact] : this->balancers) {
                    this->advertise_flows(balancer);
                }
            }
        });
}

void agent::persist_flows() {
    const support::instant now = this->context.now();
    if (!this->context.enabled.has(ablation::mechanism::flow_ledger) ||
        !this->ledger.is_due(now)) {
        return;
    }
    const auto list = this->ledger.next_write(
        now, this->flow_table.open_flows(now, min_persisted_flow_age),
        this->monitor.last_report());
    if (list.has_value()) {
        this->ledger_writer.set_wanted(peer::encode_flow_list(*list));
    }
}

http::response agent::on_call(const platform::status_call& call) {
    if (call.service != this->context.settings.service ||
        call.server != this->context.settings.server) {
        logging::line line("report_refused");
        line.add("server", call.report.id)
            .add("of", call.service)
            .add("at", call.server)
            .add("why", "service or server address is not this agent's");
        this->context.log(logging::level::warn, "report_refused", line);
        return platform::failure_response(
            support::make_error(support::error_kind::revision_conflict,
                                "the report is of another server"));
    }
    const support::instant now = this->context.now();
    const auto previous_report = this->monitor.last_report();
    const ownership::report_effect effect =
        this->monitor.on_report(now, call.report);
    this->reset_flows(this->ledger.on_report(now, call.report),
                      "server_restarted");
    if (effect == ownership::report_effect::restarted) {
        logging::line line("server_restarted");
        line.add("server", call.report.id)
            .add("born", call.report.start_time_ms)
            .add("before", previous_report->id)
            .add("born_before", previous_report->start_time_ms);
        this->context.log(logging::level::warn, "server_restarted", line);
        this->reset_all_flows();
        this->flow_table.mark_all_flows_known();
        this->request_work.discard_samples();
    }
    this->on_condition_update("report");
    this->publish();
    return platform::success_response();
}

http::response agent::on_call(const platform::deregister_call& call) {
    if (this->monitor.on_deregistered(call.id)) {
        this->on_condition_update("left");
    }
    return platform::success_response();
}

http::response agent::on_call(const platform::readiness_call& /*call*/) {
    return platform::readiness_response(!this->is_stopping);
}

http::response agent::handle_request(const http::request& request) {
    if (request.target == metrics_path) {
        return metrics_response(this->page);
    }
    const auto call = platform::read_control_call(request);
    if (!call.ok()) {
        logging::line line("call_refused");
        line.add("target", request.target).add("why", call.status().message());
        this->context.log(logging::level::warn, "call_refused", line);
        return platform::failure_response(call.status());
    }
    return std::visit([this](const auto& each) { return this->on_call(each); },
                      *call);
}

void agent::start_probe() {
    if (this->probe.busy() || !this->monitor.start_probe(this->context.now())) {
        return;
    }
    this->probe.start(
        this->context.settings.server, probe_timeout,
        [this](http::connect_probe::answer result) { this->on_probe(result); });
}

void agent::on_probe(http::connect_probe::answer result) {
    const support::instant now = this->context.now();
    const bool is_before_first_report =
        !this->monitor.last_report().has_value();
    switch (result) {
    case http::connect_probe::answer::accepted:
        this->monitor.on_probe_accepted(now);
        break;
    case http::connect_probe::answer::refused:
        this->monitor.on_probe_refused(now);
        if (is_before_first_report) {
            // The server has not started yet, so it holds no flows.
            this->flow_table.mark_all_flows_known();
            this->reset_flows(this->ledger.on_server_down(now),
                              "server_not_up");
        }
        break;
    case http::connect_probe::answer::silent:
        this->monitor.on_probe_timeout(now);
        break;
    }
    this->on_condition_update("probe");
}

} // namespace guavastair::relay
