#include "children.hpp"
#include "decision_log.hpp"

#include <guavastair/agent.hpp>
#include <guavastair/logging.hpp>
#include <guavastair/net.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

namespace guavastair::node {

namespace {

/// Interval at which counters are copied to the metrics and the status page.
constexpr support::duration counters_period = support::milliseconds(500);

using document_ptr = std::shared_ptr<const config::service_document>;

document_ptr find_document(const control::snapshot& latest,
                           const support::service_name& service) {
    for (const document_ptr& each : latest.services) {
        if (each->name == service) {
            return each;
        }
    }
    return nullptr;
}

/// Returns the setting, or the service document's value if the setting is 0.
std::uint32_t override_or_default(std::uint32_t setting,
                                  std::uint32_t document_value) {
    return setting == 0 ? document_value : setting;
}

agent::agent_options make_options(const process& host_process,
                                  const config::agent_section& section,
                                  const config::service_document& document) {
    agent::agent_options options;
    options.id = host_process.self().id;
    options.listen = host_process.settings().listen.data;
    options.service = document.name;
    options.service_address = document.address;
    options.flow_protocol = document.protocol == config::service_protocol::http
                                ? agent::protocol::http
                                : agent::protocol::tcp;
    options.server = section.server;
    options.return_path = section.return_path;
    options.max_connections =
        override_or_default(section.max_connections, document.max_connections);
    options.requests.service = document.name;
    options.requests.request_timeout = document.request_timeout;
    options.admission.limiter.slots =
        static_cast<int>(override_or_default(section.slots, document.slots));
    options.admission.operations.key_lifetime = document.idempotency_window;
    options.admission.seed = host_process.self().id.value;
    return options;
}

/// Runs the data path of one backend server. Opens it when the service document
/// is available, applies changes of the document's limits, and drains while the
/// data centre is withdrawn.
class agent_child final : public supervisor::child {
public:
    agent_child(process& host, config::agent_section agent_section_settings,
                agent_metrics& metrics_page)
        : host_process(host), section(std::move(agent_section_settings)),
          exported_counters(metrics_page), log(this->section.service),
          loop(this->host_process.clock()) {}

    absl::Status run(std::stop_token stop) override {
        this->host_process.set_snapshot_listener(
            [this](const process::snapshot_ptr& latest) {
                this->loop.post(
                    [this, latest] { this->apply_snapshot(*latest); });
            });
        this->loop.call_every(counters_period,
                              [this] { this->publish_counters(); });
        const std::stop_callback on_stop(stop, [this] {
            this->loop.post([this] { this->drain_and_stop(); });
        });
        this->loop.run();
        this->host_process.set_snapshot_listener({});
        this->publish_counters();
        return this->failure;
    }

private:
    void apply_snapshot(const control::snapshot& latest) {
        const document_ptr document =
            find_document(latest, this->section.service);
        if (document == nullptr) {
            this->handle_missing_document(latest);
            return;
        }
        if (this->data_path_agent == nullptr && !this->open(*document)) {
            return;
        }
        if (this->must_reopen(*document)) {
            this->fail(support::make_error(
                support::error_kind::internal,
                absl::StrCat("the address or protocol of service ",
                             document->name.value, " has changed")));
            return;
        }
        this->applied_document = document;
        this->data_path_agent->set_max_connections(override_or_default(
            this->section.max_connections, document->max_connections));
        this->host_process.announce_weight(
            override_or_default(this->section.slots, document->slots));
        this->data_path_agent->set_view(this->builder.update(latest));
        this->host_process.announce_applied(latest.complete_up_to);
        this->update_drain_state(latest);
    }

    /// Stops accepting new flows if the service document was deleted.
    void handle_missing_document(const control::snapshot& latest) {
        if (this->data_path_agent != nullptr) {
            this->data_path_agent->set_draining(true);
        }
        this->host_process.announce_applied(latest.complete_up_to);
    }

    bool must_reopen(const config::service_document& document) const {
        return this->applied_document != nullptr &&
               (this->applied_document->address != document.address ||
                this->applied_document->protocol != document.protocol);
    }

    bool open(const config::service_document& document) {
        auto new_agent = agent::agent::open(
            this->loop,
            make_options(this->host_process, this->section, document),
            this->log);
        if (!new_agent.ok()) {
            this->fail(new_agent.status());
            return false;
        }
        this->data_path_agent = *std::move(new_agent);
        return true;
    }

    void update_drain_state(const control::snapshot& latest) {
        const bool withdrawn =
            std::binary_search(latest.withdrawn.begin(), latest.withdrawn.end(),
                               this->host_process.settings().data_centre);
        const bool drains = withdrawn || this->is_stopping;
        const auto state = drains ? membership::member_state::draining
                                  : membership::member_state::ready;
        if (this->announced_state == state) {
            return;
        }
        this->announced_state = state;
        this->data_path_agent->set_draining(drains);
        this->host_process.announce(state);
        logging::line entry("agent_state");
        entry.add("service", this->section.service)
            .add("state", membership::to_string(state))
            .add("reason", withdrawn           ? "data_centre_withdrawn"
                           : this->is_stopping ? "planned_stop"
                                               : "serving");
        logging::write(logging::channel::decision, logging::level::info, entry);
    }

    /// Performs a planned stop: accepts no new flows, then stops the loop when
    /// no flows are left or the drain limit is reached.
    void drain_and_stop() {
        this->is_stopping = true;
        if (this->data_path_agent == nullptr) {
            this->loop.stop();
            return;
        }
        this->announced_state = membership::member_state::draining;
        this->host_process.announce(membership::member_state::draining);
        this->data_path_agent->stop(this->applied_document->drain_limit,
                                    [this] { this->loop.stop(); });
    }

    void fail(absl::Status error) {
        this->failure = std::move(error);
        this->loop.stop();
    }

    void publish_counters() {
        if (this->data_path_agent == nullptr) {
            return;
        }
        const agent::agent_counters counters =
            this->data_path_agent->counters();
        const std::size_t flows = this->data_path_agent->active_flows();
        this->exported_counters.set(
            counters, this->data_path_agent->admission().status(), flows);
        this->host_process.set_data_path({flows, counters.resets});
    }

    process& host_process;
    const config::agent_section section;
    agent_metrics& exported_counters;
    agent_log log;
    net::event_loop loop;
    view_builder builder;
    document_ptr applied_document;
    std::unique_ptr<agent::agent> data_path_agent;
    std::optional<membership::member_state> announced_state;
    bool is_stopping = false;
    absl::Status failure;
};

} // namespace

std::unique_ptr<supervisor::child>
make_agent_child(process& host_process, const config::agent_section& section,
                 agent_metrics& metrics_page) {
    return std::make_unique<agent_child>(host_process, section, metrics_page);
}

} // namespace guavastair::node
