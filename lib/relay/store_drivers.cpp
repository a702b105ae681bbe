#include "operator_documents.hpp"
#include "store_drivers.hpp"

#include <algorithm>
#include <cassert>

namespace guavastair::relay {

static platform::store_client_settings
client_settings(const process_context& context) {
    platform::store_client_settings result;
    result.store = context.settings.store;
    return result;
}

/// Logs when the store becomes unavailable and when it becomes available again.
/// `was_failing` holds the state that was logged last.
static void log_store_state_change(process_context& context,
                                   absl::string_view purpose, bool& was_failing,
                                   const absl::Status& status) {
    const bool is_failing = !status.ok();
    if (is_failing == was_failing) {
        return;
    }
    was_failing = is_failing;
    const absl::string_view event =
        is_failing ? "store_lost" : "store_regained";
    logging::line line(event);
    line.add("use", purpose).add("store", context.settings.store);
    if (is_failing) {
        line.add("error", support::to_string(support::kind_of(status)))
            .add("why", status.message());
    }
    context.log(is_failing ? logging::level::warn : logging::level::info, event,
                line);
}

follower_driver::follower_driver(process_context& shared_context,
                                 registry::follower_settings initial_settings,
                                 std::function<void()> update_callback)
    : context(shared_context), on_update(std::move(update_callback)),
      follower(std::move(initial_settings), shared_context.random()),
      client(shared_context.loop, client_settings(shared_context),
             shared_context.store_calls) {}

void follower_driver::start() {
    this->advance();
}

const registry::follower& follower_driver::state() const {
    return this->follower;
}

support::instant follower_driver::last_success() const {
    return this->confirmed_at;
}

void follower_driver::advance() {
    this->context.loop.cancel(this->timer);
    const auto call = this->follower.next_call(this->context.now());
    if (call.has_value()) {
        this->make_call(*call);
        return;
    }
    const support::duration wait =
        std::max(this->follower.wake_at() - this->context.now(),
                 support::milliseconds(1));
    this->timer =
        this->context.loop.call_after(wait, [this] { this->advance(); });
}

void follower_driver::make_call(const registry::follower_call& call) {
    const registry::follower_settings& settings = this->follower.settings();
    if (const auto* list = std::get_if<registry::list_call>(&call)) {
        this->client.list(
            settings.prefix, list->after_key,
            [this](const absl::StatusOr<registry::page>& response) {
                if (response.ok()) {
                    this->on_call_succeeded(this->follower.on_page(*response));
                } else {
                    this->on_call_failed(response.status());
                }
            });
        return;
    }
    const auto& watch = std::get<registry::watch_call>(call);
    this->client.watch(
        settings.prefix, watch.after, watch.wait,
        [this](const absl::StatusOr<registry::changes>& response) {
            if (response.ok()) {
                this->log_lost_history(*response);
                this->on_call_succeeded(
                    this->follower.on_changes(this->context.now(), *response));
            } else {
                this->on_call_failed(response.status());
            }
        });
}

void follower_driver::log_lost_history(const registry::changes& result) {
    if (!result.history_lost) {
        return;
    }
    logging::line line("history_lost");
    line.add("use", this->follower.settings().prefix)
        .add("as_of", this->follower.as_of().value);
    this->context.log(logging::level::warn, "history_lost", line);
}

void follower_driver::on_call_succeeded(bool is_complete) {
    log_store_state_change(this->context, this->follower.settings().prefix,
                           this->was_failing, absl::OkStatus());
    if (is_complete) {
        this->confirmed_at = this->context.now();
        this->on_update();
    }
    this->advance();
}

void follower_driver::on_call_failed(const absl::Status& error) {
    log_store_state_change(this->context, this->follower.settings().prefix,
                           this->was_failing, error);
    this->follower.on_failure(this->context.now());
    this->advance();
}

registrar_driver::registrar_driver(
    process_context& shared_context,
    registry::registrar_settings initial_settings)
    : context(shared_context),
      registrar(std::move(initial_settings), shared_context.random()),
      client(shared_context.loop, client_settings(shared_context),
             shared_context.store_calls) {}

void registrar_driver::set_wanted(std::optional<std::string> value) {
    this->registrar.set_wanted(std::move(value));
    this->advance();
}

bool registrar_driver::is_settled() const {
    return this->registrar.is_settled();
}

void registrar_driver::on_missing() {
    this->registrar.on_missing();
    this->advance();
}

void registrar_driver::advance() {
    this->context.loop.cancel(this->timer);
    const support::instant now = this->context.now();
    const auto call = this->registrar.next_call(now);
    if (call.has_value()) {
        this->make_call(*call);
        return;
    }
    if (this->registrar.wake_at() > now) {
        this->timer = this->context.loop.call_after(
            this->registrar.wake_at() - now, [this] { this->advance(); });
    }
}

void registrar_driver::make_call(const registry::registrar_call& call) {
    const auto finish = [this](const absl::Status& status) {
        this->on_call_finished(status);
    };
    const std::string& key = this->registrar.settings().key;
    if (const auto* put = std::get_if<registry::put_call>(&call)) {
        this->client.put(key, put->value, finish);
    } else {
        this->client.remove(key, finish);
    }
}

void registrar_driver::on_call_finished(const absl::Status& status) {
    log_store_state_change(this->context, "registration", this->was_failing,
                           status);
    if (status.ok()) {
        this->registrar.on_done();
    } else {
        this->registrar.on_failure(this->context.now());
    }
    this->advance();
}

entry_cleaner::entry_cleaner(process_context& shared_context)
    : context(shared_context),
      client(shared_context.loop, client_settings(shared_context),
             shared_context.store_calls) {}

void entry_cleaner::remove(support::endpoint agent,
                           support::revision modified) {
    assert(!this->is_removing && "remove() called during another removal");
    this->is_removing = true;
    logging::line line("entry_abandoned");
    line.add("agent", agent).add("modified", modified.value);
    this->context.log(logging::level::warn, "entry_abandoned", line);
    this->client.remove_unchanged(
        platform::agent_key(agent), modified,
        [this, agent](const absl::Status& status) {
            if (!status.ok()) {
                this->on_call_finished(agent, status);
                return;
            }
            this->client.remove(platform::flows_key(agent),
                                [this, agent](const absl::Status& removed) {
                                    this->on_call_finished(agent, removed);
                                });
        });
}

void entry_cleaner::on_call_finished(support::endpoint agent,
                                     const absl::Status& status) {
    this->is_removing = false;
    if (status.ok()) {
        return;
    }
    logging::line line("removal_failed");
    line.add("agent", agent).add("why", status.message());
    this->context.log(logging::level::warn, "removal_failed", line);
}

bool entry_cleaner::is_busy() const {
    return this->is_removing;
}

} // namespace guavastair::relay
