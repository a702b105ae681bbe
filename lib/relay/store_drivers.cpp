#include "store_drivers.hpp"

#include <algorithm>

namespace guavastair::relay {

/// Least time between two looks at a registrar that has nothing to do.
static constexpr support::duration shortest_wait = support::milliseconds(10);

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
    this->client.watch(chosen.prefix, watch.after, chosen.watch_time,
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

void registrar_driver::go_on() {
    this->owner.loop.cancel(this->timer);
    const auto call = this->registrar.next_call(this->owner.now());
    if (call.has_value()) {
        this->make_call(*call);
        return;
    }
    const support::duration wait =
        std::max(this->registrar.wake_at() - this->owner.now(), shortest_wait);
    this->timer = this->owner.loop.call_after(wait, [this] { this->go_on(); });
}

void registrar_driver::make_call(const registry::registrar_call& call) {
    using registry::registrar;
    const auto finish = [this](void (registrar::*done)(support::instant)) {
        return [this, done](const absl::Status& status) {
            this->ended(status, done);
        };
    };
    if (std::holds_alternative<registry::grant_call>(call)) {
        const support::duration ttl =
            std::max(this->registrar.settings().lease_ttl,
                     this->owner.settings.shortest_lease);
        this->client.grant_lease(
            ttl, [this](const absl::StatusOr<registry::lease_id>& got) {
                if (got.ok()) {
                    this->registrar.on_granted(this->owner.now(), *got);
                    this->go_on();
                } else {
                    this->ended(got.status(), nullptr);
                }
            });
    } else if (const auto* renew = std::get_if<registry::renew_call>(&call)) {
        this->client.renew_lease(renew->lease, finish(&registrar::on_renewed));
    } else if (const auto* put = std::get_if<registry::put_call>(&call)) {
        this->client.put(this->registrar.settings().key, put->value, put->lease,
                         finish(&registrar::on_put));
    } else {
        this->client.end_lease(std::get<registry::end_call>(call).lease,
                               finish(&registrar::on_lease_ended));
    }
}

void registrar_driver::ended(
    const absl::Status& status,
    void (registry::registrar::*done)(support::instant)) {
    const support::instant now = this->owner.now();
    const bool lapsed = !status.ok() && support::kind_of(status) ==
                                            support::error_kind::not_found;
    if (lapsed) {
        this->registrar.on_lease_ended(now);
    } else if (status.ok()) {
        (this->registrar.*done)(now);
    } else {
        this->registrar.on_failure(now);
    }
    log_store(this->owner, "registration", this->was_failing,
              lapsed ? absl::OkStatus() : status);
    this->go_on();
}

} // namespace guavastair::relay
