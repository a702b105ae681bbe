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

/// How often counters are published.
constexpr support::duration report_period = support::milliseconds(500);

using document_ptr = std::shared_ptr<const config::service_document>;

document_ptr find_document(const control::snapshot& known,
                           const support::service_name& service) {
    for (const document_ptr& each : known.services) {
        if (each->name == service) {
            return each;
        }
    }
    return nullptr;
}

/// What the settings override, else what the document says.
std::uint32_t chosen_or(std::uint32_t setting, std::uint32_t documented) {
    return setting == 0 ? documented : setting;
}

agent::agent_options make_options(const process& shared,
                                  const config::agent_section& section,
                                  const config::service_document& document) {
    agent::agent_options options;
    options.id = shared.self().id;
    options.listen = shared.settings().listen.data;
    options.service = document.name;
    options.service_address = document.address;
    options.flow_protocol = document.protocol == config::service_protocol::http
                                ? agent::protocol::http
                                : agent::protocol::tcp;
    options.server = section.server;
    options.return_path = section.return_path;
    options.max_connections =
        chosen_or(section.max_connections, document.max_connections);
    options.requests.service = document.name;
    options.requests.request_timeout = document.request_timeout;
    options.admission.limiter.slots =
        static_cast<int>(chosen_or(section.slots, document.slots));
    options.admission.operations.key_lifetime = document.idempotency_window;
    options.admission.seed = shared.self().id.value;
    return options;
}

/// Serves one backend server. Opens its data path once the service's document
/// is known, follows the document's limits, and drains while its data centre
/// is withdrawn.
class agent_child final : public supervisor::child {
public:
    agent_child(process& used, config::agent_section chosen,
                agent_metrics& page)
        : shared(used), section(std::move(chosen)), counts(page),
          log(this->section.service), loop(this->shared.clock()) {}

    absl::Status run(std::stop_token stop) override {
        this->shared.listen([this](const process::snapshot_ptr& known) {
            this->loop.post([this, known] { this->follow(*known); });
        });
        this->loop.call_every(report_period, [this] { this->report(); });
        const std::stop_callback leave(stop, [this] {
            this->loop.post([this] { this->drain_and_stop(); });
        });
        this->loop.run();
        this->shared.listen({});
        this->report();
        return this->failure;
    }

private:
    void follow(const control::snapshot& known) {
        const document_ptr document =
            find_document(known, this->section.service);
        if (document == nullptr) {
            this->follow_missing_document(known);
            return;
        }
        if (this->serving == nullptr && !this->open(*document)) {
            return;
        }
        if (this->must_reopen(*document)) {
            this->fail(support::make_error(
                support::error_kind::internal,
                absl::StrCat("the address or protocol of service ",
                             document->name.value, " has changed")));
            return;
        }
        this->documented = document;
        this->serving->set_max_connections(chosen_or(
            this->section.max_connections, document->max_connections));
        this->shared.announce_weight(
            chosen_or(this->section.slots, document->slots));
        this->serving->set_view(this->builder.update(known));
        this->shared.announce_applied(known.complete_up_to);
        this->follow_withdrawal(known);
    }

    /// A service that was deleted takes nothing new.
    void follow_missing_document(const control::snapshot& known) {
        if (this->serving != nullptr) {
            this->serving->set_draining(true);
        }
        this->shared.announce_applied(known.complete_up_to);
    }

    bool must_reopen(const config::service_document& document) const {
        return this->documented != nullptr &&
               (this->documented->address != document.address ||
                this->documented->protocol != document.protocol);
    }

    bool open(const config::service_document& document) {
        auto opened = agent::agent::open(
            this->loop, make_options(this->shared, this->section, document),
            this->log);
        if (!opened.ok()) {
            this->fail(opened.status());
            return false;
        }
        this->serving = *std::move(opened);
        return true;
    }

    void follow_withdrawal(const control::snapshot& known) {
        const bool withdrawn =
            std::binary_search(known.withdrawn.begin(), known.withdrawn.end(),
                               this->shared.settings().data_centre);
        const bool drains = withdrawn || this->stopping;
        const auto state = drains ? membership::member_state::draining
                                  : membership::member_state::ready;
        if (this->announced == state) {
            return;
        }
        this->announced = state;
        this->serving->set_draining(drains);
        this->shared.announce(state);
        logging::line entry("agent_state");
        entry.add("service", this->section.service)
            .add("state", membership::to_string(state))
            .add("reason", withdrawn        ? "data_centre_withdrawn"
                           : this->stopping ? "planned_stop"
                                            : "serving");
        logging::write(logging::channel::decision, logging::level::info, entry);
    }

    /// A planned stop: nothing new, then an end once no flow is left.
    void drain_and_stop() {
        this->stopping = true;
        if (this->serving == nullptr) {
            this->loop.stop();
            return;
        }
        this->announced = membership::member_state::draining;
        this->shared.announce(membership::member_state::draining);
        this->serving->stop(this->documented->drain_limit,
                            [this] { this->loop.stop(); });
    }

    void fail(absl::Status why) {
        this->failure = std::move(why);
        this->loop.stop();
    }

    void report() {
        if (this->serving == nullptr) {
            return;
        }
        const agent::agent_counters counters = this->serving->counters();
        const std::size_t flows = this->serving->active_flows();
        this->counts.set(counters, this->serving->admission().status(), flows);
        this->shared.set_data_path({flows, counters.resets});
    }

    process& shared;
    const config::agent_section section;
    agent_metrics& counts;
    agent_log log;
    net::event_loop loop;
    view_builder builder;
    document_ptr documented;
    std::unique_ptr<agent::agent> serving;
    std::optional<membership::member_state> announced;
    bool stopping = false;
    absl::Status failure;
};

} // namespace

std::unique_ptr<supervisor::child>
make_agent_child(process& shared, const config::agent_section& section,
                 agent_metrics& page) {
    return std::make_unique<agent_child>(shared, section, page);
}

} // namespace guavastair::node
