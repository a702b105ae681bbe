#include "operator_documents.hpp"
#include "store_drivers.hpp"

#include <algorithm>
#include <cassert>

namespace guavastair::relay {

static platform::store_client_settings client_settings(const process& owner) {
    platform::store_client_settings result;
    result.store = owner.settings.store;
    return result;
}

/// Logs the loss and the return of the store, once each.
static void log_store(process& owner, absl::string_view use, bool& was_failing,
                      const absl::Status& status) {
    const bool fails = !status.ok();
    if (fails == was_failing) {
        return;
    }
    was_failing = fails;
    const absl::string_view event = fails ? "store_lost" : "store_regained";
    logging::line line(event);
    line.add("use", use).add("store", owner.settings.store);
    if (fails) {
        line.add("error", support::to_string(support::kind_of(status)))
            .add("why", status.message());
    }
    owner.log(fails ? logging::level::warn : logging::level::info, event, line);
}

follower_driver::follower_driver(process& chosen,
                                 registry::follower_settings follows,
                                 std::function<void()> on_update)
    : owner(chosen), updated(std::move(on_update)),
      follower(std::move(follows), chosen.random()),
      client(chosen.loop, client_settings(chosen), chosen.store_calls) {}

void follower_driver::start() {
    this->go_on();
}

const registry::follower& follower_driver::state() const {
    return this->follower;
}

support::instant follower_driver::last_success() const {
    return this->confirmed_at;
}

void follower_driver::go_on() {
    this->owner.loop.cancel(this->timer);
    const auto call = this->follower.next_call(this->owner.now());
    if (call.has_value()) {
        this->make_call(*call);
        return;
    }
    const support::duration wait = std::max(
        this->follower.wake_at() - this->owner.now(), support::milliseconds(1));
    this->timer = this->owner.loop.call_after(wait, [this] { this->go_on(); });
}

void follower_driver::make_call(const registry::follower_call& call) {
    const registry::follower_settings& chosen = this->follower.settings();
    if (const auto* list = std::get_if<registry::list_call>(&call)) {
        this->client.list(chosen.prefix, list->after_key,
                          [this](const absl::StatusOr<registry::page>& got) {
                              if (got.ok()) {
                                  this->succeeded(this->follower.on_page(*got));
                              } else {
                                  this->failed(got.status());
                              }
                          });
        return;
    }
    const auto& watch = std::get<registry::watch_call>(call);
    this->client.watch(chosen.prefix, watch.after, watch.wait,
                       [this](const absl::StatusOr<registry::changes>& got) {
                           if (got.ok()) {
                               this->succeeded(this->follower.on_changes(
                                   this->owner.now(), *got));
                           } else {
                               this->failed(got.status());
                           }
                       });
}

void follower_driver::succeeded(bool is_complete) {
    log_store(this->owner, this->follower.settings().prefix, this->was_failing,
              absl::OkStatus());
    if (is_complete) {
        this->confirmed_at = this->owner.now();
        this->updated();
    }
    this->go_on();
}

void follower_driver::failed(const absl::Status& why) {
    log_store(this->owner, this->follower.settings().prefix, this->was_failing,
              why);
    this->follower.on_failure(this->owner.now());
    this->go_on();
}

registrar_driver::registrar_driver(process& chosen,
                                   registry::registrar_settings registers)
    : owner(chosen), registrar(std::move(registers), chosen.random()),
      client(chosen.loop, client_settings(chosen), chosen.store_calls) {}

void registrar_driver::set_wanted(std::optional<std::string> value) {
    this->registrar.set_wanted(std::move(value));
    this->go_on();
}

bool registrar_driver::is_settled() const {
    return this->registrar.is_settled();
}

void registrar_driver::on_missing() {
    this->registrar.on_missing();
    this->go_on();
}

void registrar_driver::go_on() {
    this->owner.loop.cancel(this->timer);
    const support::instant now = this->owner.now();
    const auto call = this->registrar.next_call(now);
    if (call.has_value()) {
        this->make_call(*call);
        return;
    }
    if (this->registrar.wake_at() > now) {
        this->timer = this->owner.loop.call_after(
            this->registrar.wake_at() - now, [this] { this->go_on(); });
    }
}

void registrar_driver::make_call(const registry::registrar_call& call) {
    const auto finish = [this](const absl::Status& status) {
        this->ended(status);
    };
    const std::string& key = this->registrar.settings().key;
    if (const auto* put = std::get_if<registry::put_call>(&call)) {
        this->client.put(key, put->value, finish);
    } else {
        this->client.remove(key, finish);
    }
}

void registrar_driver::ended(const absl::Status& status) {
    log_store(this->owner, "registration", this->was_failing, status);
    if (status.ok()) {
        this->registrar.on_done();
    } else {
        this->registrar.on_failure(this->owner.now());
    }
    this->go_on();
}

cleaner_driver::cleaner_driver(process& chosen)
    : owner(chosen),
      client(chosen.loop, client_settings(chosen), chosen.store_calls) {}

void cleaner_driver::remove(support::endpoint agent,
                            support::revision modified) {
    assert(!this->busy && "remove() while busy");
    this->busy = true;
    logging::line line("entry_abandoned");
    line.add("agent", agent).add("modified", modified.value);
    this->owner.log(logging::level::warn, "entry_abandoned", line);
    this->client.remove_unchanged(
        platform::agent_key(agent), modified,
        [this, agent](const absl::Status& status) {
            if (!status.ok()) {
                this->ended(agent, status);
                return;
            }
            this->client.remove(platform::flows_key(agent),
                                [this, agent](const absl::Status& last) {
                                    this->ended(agent, last);
                                });
        });
}

void cleaner_driver::ended(support::endpoint agent,
                           const absl::Status& status) {
    this->busy = false;
    if (status.ok()) {
        return;
    }
    logging::line line("removal_failed");
    line.add("agent", agent).add("why", status.message());
    this->owner.log(logging::level::warn, "removal_failed", line);
}

bool cleaner_driver::is_busy() const {
    return this->busy;
}

} // namespace guavastair::relay
