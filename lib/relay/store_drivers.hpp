/// Perform the store calls that a follower or a registrar requests, and remove
/// entries of agents that are permanently gone.

#ifndef GUAVASTAIR_LIB_RELAY_STORE_DRIVERS_HPP
#define GUAVASTAIR_LIB_RELAY_STORE_DRIVERS_HPP

#include "process_context.hpp"

#include <guavastair/registry.hpp>

#include <functional>

namespace guavastair::relay {

/// Keeps a local copy of the store's entries under one prefix up to date.
class follower_driver {
public:
    /// `update_callback` is called whenever the store has confirmed that the
    /// entries are complete.
    follower_driver(process_context& shared_context,
                    registry::follower_settings initial_settings,
                    std::function<void()> update_callback);

    void start();
    const registry::follower& state() const;

    /// When the store last confirmed that the entries are complete. Far in the
    /// past before the first confirmation.
    support::instant last_success() const;

private:
    void advance();
    void make_call(const registry::follower_call& call);
    void log_lost_history(const registry::changes& result);
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

/// Keeps one entry of this process in the store.
class registrar_driver {
public:
    registrar_driver(process_context& shared_context,
                     registry::registrar_settings initial_settings);

    /// Sets the value that the entry should have. std::nullopt removes it.
    void set_wanted(std::optional<std::string> value);

    /// Whether the store holds the wanted value, as far as is known.
    bool is_settled() const;

    /// Writes the entry again after a peer has reported that it is missing.
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

/// Removes the store entries of agents that are permanently gone.
class entry_cleaner {
public:
    explicit entry_cleaner(process_context& shared_context);

    /// Removes the agent's entry unless it has changed since `modified`. If
    /// that succeeds, also removes the agent's list of flows. Must not be
    /// called while is_busy().
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
