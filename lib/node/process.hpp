/// State that the children of one process share: the newest snapshot of the
/// control plane, the state to announce to other processes, and metrics.

#ifndef GUAVASTAIR_LIB_NODE_PROCESS_HPP
#define GUAVASTAIR_LIB_NODE_PROCESS_HPP

#include "status.hpp"

#include <guavastair/config.hpp>
#include <guavastair/control.hpp>
#include <guavastair/metrics.hpp>
#include <guavastair/node.hpp>
#include <guavastair/store.hpp>

#include <functional>
#include <memory>
#include <mutex>

namespace guavastair::node {

/// Shared state of one process. Thread-safe. Must outlive all children.
class process {
public:
    using snapshot_ptr = std::shared_ptr<const control::snapshot>;
    /// Called on the control plane's thread, and by set_snapshot_listener().
    /// An internal mutex is held during the call, so the listener must not call
    /// methods of the process.
    using listener = std::function<void(const snapshot_ptr&)>;

    process(config::common_settings common_options,
            membership::node_record self);

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    const config::common_settings& settings() const;
    const support::clock& clock() const;
    metrics::registry& metrics();
    /// The record of this run. Its id differs after a restart of the process.
    const membership::node_record& self() const;

    /// Returns the newest snapshot; null before the first one.
    snapshot_ptr latest_snapshot() const;
    /// Stores a new snapshot and passes it to the listener.
    void publish(const snapshot_ptr& snapshot);

    /// Replaces the listener, and calls it immediately if there is a snapshot.
    /// An empty listener stops the calls. After the return, the previous
    /// listener is not running and is not called again.
    void set_snapshot_listener(listener call);

    /// Sets the running control plane, or null to detach it. Called by the
    /// control plane's child. A new control plane receives the announced
    /// values.
    void attach_control_plane(control::control_plane* plane);

    /// Announces a value through the current control plane and through every
    /// control plane that is attached later.
    void announce(membership::member_state state);
    void announce_weight(std::uint32_t weight);
    void announce_applied(support::revision applied);

    /// The data path's latest report for the status page.
    data_path_status data_path() const;
    void set_data_path(data_path_status status);

    /// Whether the announced state is ready, which excludes draining.
    bool ready() const;

    /// Counters of the control plane; all zero while none is attached.
    control::counters control_counters() const;

    store::client& store();

private:
    const config::common_settings common_options;
    const membership::node_record record;
    const support::steady_clock time;
    metrics::registry registry;
    const std::unique_ptr<store::client> store_client;

    /// Guards the newest snapshot and the newest data path status.
    mutable std::mutex snapshot_mutex;
    snapshot_ptr newest_snapshot;
    data_path_status newest_data_path_status;

    /// Guards the attached control plane and the values to announce. publish()
    /// must not lock it, because the control plane calls publish().
    mutable std::mutex plane_mutex;
    control::control_plane* plane = nullptr;
    membership::member_state state = membership::member_state::joining;
    std::uint32_t weight;
    support::revision applied;

    /// Locked while the listener runs.
    std::mutex listener_mutex;
    listener on_snapshot;
};

} // namespace guavastair::node

#endif
