/// A process's work with the store: watches it, maintains a beacon and looks
/// up beacons.

#ifndef GUAVASTAIR_LIB_CONTROL_STORE_WORKER_HPP
#define GUAVASTAIR_LIB_CONTROL_STORE_WORKER_HPP

#include "duties.hpp"

#include <guavastair/store.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavastair::control {

struct store_worker_options {
    support::data_centre_name data_centre;
    /// This process's control address, the value of its beacon.
    support::endpoint control;
    store::watcher_options watcher;
    support::duration beacon_lease;
};

/// Callbacks of the store worker.
struct store_worker_callbacks {
    /// Called with changes from the store.
    std::function<void(const config::change_set&)> deliver;
    /// Called with the control addresses of members found in beacons.
    std::function<void(const std::vector<support::endpoint>&)> add_seeds;
    /// Returns the revision up to which this process has every change.
    std::function<support::revision()> complete_up_to;
};

/// Performs the store duties on its own thread, because calls to the store may
/// block for seconds. Beacons are leased keys that help new members to discover
/// others. Correctness does not depend on which member maintains a beacon.
class store_worker {
public:
    /// `store` and `time` must outlive the worker.
    store_worker(store::client& store, const support::clock& time,
                 store_worker_options settings,
                 store_worker_callbacks callbacks);
    ~store_worker();

    /// Revokes the beacon and ends the threads.
    void stop();

    /// Sets the duties to perform. `is_alone` means that no other member is
    /// known, so that beacons are looked up.
    void update(const duties& wanted, bool is_alone);

    /// Records that peers have supplied all changes up to `revision`.
    void advance_to(support::revision revision);

    /// Returns the time since the store last responded, or nullopt if the
    /// worker does not watch the store.
    std::optional<support::duration> time_since_store_answer() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

/// Returns the store key of one beacon.
std::string beacon_key(const support::data_centre_name& data_centre,
                       std::size_t slot);

/// Prefix of all beacon keys.
inline constexpr absl::string_view beacon_prefix = "guavastair/beacons/";

} // namespace guavastair::control

#endif
