/// Carry out what a follower or a registrar decides.

#ifndef GUAVASTAIR_LIB_RELAY_STORE_DRIVERS_HPP
#define GUAVASTAIR_LIB_RELAY_STORE_DRIVERS_HPP

#include "process_context.hpp"

#include <guavastair/registry.hpp>

#include <functional>

namespace guavastair::relay {

/// Follows one prefix of the store.
class follower_driver {
public:
    /// `on_update` is called whenever the entries are complete up to a newer
    /// revision.
    follower_driver(process_context& shared_context,
                    registry::follower_settings initial_settings,
                    std::function<void()> update_callback);

    void start();
    const registry::follower& state() const;

    /// When the store last confirmed that the entries are complete.
    support::instant last_success() const;

private:
    void advance();
    void make_call(const registry::follower_call& call);
    void on_call_succeeded(bool is_complete);
    void on_call_failed(const absl::Status& error);

    process_context& context;
    std::function<void()> on_update;
    registry::follower follower;
    platform::store_client client;
    net::timer_id timer;
    support::instant confirmed_at{INT64_MIN / 2};
    bool was_failing = false;
};

/// Keeps this process's entry in the store.
class registrar_driver {
public:
    registrar_driver(process_context& shared_context,
                     registry::registrar_settings initial_settings);

    /// The entry is to hold `value`; nothing means that it is to go.
    void set_wanted(std::optional<std::string> value);
    bool is_settled() const;

    /// Somebody has seen that the entry is not in the store.
    void on_missing();

private:
    void advance();
    void make_call(const registry::registrar_call& call);
    void on_call_finished(const absl::Status& status);

    process_context& context;
    registry::registrar registrar;
    platform::store_client client;
    net::timer_id timer;
    bool was_failing = false;
};

/// Takes what agents that are gone for good have left out of the store.
class entry_cleaner {
public:
    explicit entry_cleaner(process_context& shared_context);

    /// Removes the agent's entry, unless it has changed since `modified`, and
    /// then its list of flows. Only while not busy.
    void remove(support::endpoint agent, support::revision modified);
    bool is_busy() const;

private:
    void on_call_finished(support::endpoint agent, const absl::Status& status);

    process_context& context;
    platform::store_client client;
    bool is_removing = false;
};

} // namespace guavastair::relay

#endif
