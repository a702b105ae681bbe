#include "agent.hpp"
#include "operator_documents.hpp"

namespace guavastair::relay {

namespace {

constexpr support::duration probe_timeout = support::milliseconds(400);

/// For so long after its start an agent asks the store which flows its server
/// held, and how often.
constexpr support::duration recall_time = support::seconds(5);
constexpr support::duration recall_pause = support::milliseconds(200);

/// Flows that are younger are not remembered in the store.
constexpr support::duration least_remembered_age = support::milliseconds(1000);

} // namespace

void agent::note_condition(absl::string_view cause) {
    const peer::server_condition present = this->monitor.condition();
    if (present == this->noted) {
        return;
    }
    logging::line line("server_condition");
    line.add("before", peer::to_string(this->noted))
        .add("after", peer::to_string(present))
        .add("cause", cause);
    const auto& last = this->monitor.last_report();
    if (last.has_value()) {
        line.add("server", last->id)
            .add("born", last->start_time_ms)
            .add("sequence", last->sequence)
            .add("warm_up_left_ms", last->warm_up_left.ms);
    }
    this->shell.log(logging::level::info, "server_condition", line);
    const bool lost = present == peer::server_condition::gone;
    this->noted = present;
    if (lost) {
        this->shell.loop.call_after(leave_time, [this] {
            if (this->monitor.condition() == peer::server_condition::gone) {
                this->drop_flows();
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
    this->shell.log(logging::level::warn, "flows_lost", line);
    for (const peer::listed_flow& each : flows) {
        this->reset(each.key, each.acknowledged);
    }
}

void agent::drop_flows() {
    this->reset_flows(this->owner.on_server_lost(this->shell.now()),
                      "server_lost");
}

void agent::note_recall_failure(const absl::Status& why) {
    logging::line line("recall_failed");
    line.add("error", support::to_string(support::kind_of(why)))
        .add("why", why.message());
    this->shell.log(logging::level::warn, "recall_failed", line);
}

/// Reads which flows the server held before this process started.
void agent::recall_flows() {
    const std::string key = platform::flows_key(this->shell.settings.peers);
    this->ledger_reader.list(
        key, "", [this, key](const absl::StatusOr<registry::page>& got) {
            if (!got.ok()) {
                this->note_recall_failure(got.status());
                if (this->shell.now() - this->started < recall_time) {
                    this->shell.loop.call_after(
                        recall_pause, [this] { this->recall_flows(); });
                }
                return;
            }
            for (const registry::entry& each : got->entries) {
                if (each.key != key) {
                    continue;
                }
                auto list = peer::decode_flow_list(each.value);
                if (!list.ok()) {
                    this->note_recall_failure(list.status());
                    continue;
                }
                logging::line line("flows_recalled");
                line.add("count", list->flows.size())
                    .add("server", list->server_id)
                    .add("born", list->server_born)
                    .add("revision", each.modified.value);
                this->shell.log(logging::level::info, "flows_recalled", line);
                this->ledger.on_stored_list(this->shell.now(),
                                            *std::move(list));
                for (const auto& [balancer, seen] : this->balancers) {
                    this->tell_flows(balancer);
                }
            }
        });
}

void agent::remember_flows() {
    const support::instant now = this->shell.now();
    if (!this->shell.enabled.has(ablation::mechanism::flow_ledger) ||
        !this->ledger.is_due(now)) {
        return;
    }
    const auto list = this->ledger.next_write(
        now, this->owner.open_flows(now, least_remembered_age),
        this->monitor.last_report());
    if (list.has_value()) {
        this->ledger_writer.set_wanted(peer::encode_flow_list(*list));
    }
}

http::response agent::on_call(const platform::status_call& call) {
    if (call.service != this->shell.settings.service ||
        call.server != this->shell.settings.server) {
        logging::line line("report_refused");
        line.add("server", call.report.id)
            .add("of", call.service)
            .add("at", call.server)
            .add("why", "another server's");
        this->shell.log(logging::level::warn, "report_refused", line);
        return platform::failure_response(
            support::make_error(support::error_kind::revision_conflict,
                                "the report is of another server"));
    }
    const support::instant now = this->shell.now();
    const auto before = this->monitor.last_report();
    const ownership::report_effect effect =
        this->monitor.on_report(now, call.report);
    this->reset_flows(this->ledger.on_report(now, call.report),
                      "server_restarted");
    if (effect == ownership::report_effect::restarted) {
        logging::line line("server_restarted");
        line.add("server", call.report.id)
            .add("born", call.report.start_time_ms)
            .add("before", before->id)
            .add("born_before", before->start_time_ms);
        this->shell.log(logging::level::warn, "server_restarted", line);
        this->drop_flows();
        this->owner.mark_all_flows_known();
        this->work.discard_samples();
    }
    this->note_condition("report");
    this->publish();
    return platform::success_response();
}

http::response agent::on_call(const platform::deregister_call& call) {
    if (this->monitor.on_deregistered(call.id)) {
        this->note_condition("left");
    }
    return platform::success_response();
}

http::response agent::on_call(const platform::readiness_call& /*call*/) {
    return platform::readiness_response(!this->stopping);
}

http::response agent::answer(const http::request& ask) {
    if (ask.target == metrics_path) {
        return metrics_answer(this->page);
    }
    const auto call = platform::read_control_call(ask);
    if (!call.ok()) {
        logging::line line("call_refused");
        line.add("target", ask.target).add("why", call.status().message());
        this->shell.log(logging::level::warn, "call_refused", line);
        return platform::failure_response(call.status());
    }
    return std::visit([this](const auto& each) { return this->on_call(each); },
                      *call);
}

void agent::start_probe() {
    if (this->probe.busy() || !this->monitor.start_probe(this->shell.now())) {
        return;
    }
    this->probe.start(
        this->shell.settings.server, probe_timeout,
        [this](http::connect_probe::answer found) { this->on_probe(found); });
}

void agent::on_probe(http::connect_probe::answer found) {
    const support::instant now = this->shell.now();
    const bool before_first = !this->monitor.last_report().has_value();
    switch (found) {
    case http::connect_probe::answer::accepted:
        this->monitor.on_probe_accepted(now);
        break;
    case http::connect_probe::answer::refused:
        this->monitor.on_probe_refused(now);
        if (before_first) {
            // The server is not up yet: nothing opened there before.
            this->owner.mark_all_flows_known();
            this->reset_flows(this->ledger.on_server_down(now),
                              "server_not_up");
        }
        break;
    case http::connect_probe::answer::silent:
        this->monitor.on_probe_timeout(now);
        break;
    }
    this->note_condition("probe");
}

} // namespace guavastair::relay
