/// What a process does at the store: watch it, keep a beacon, look up beacons.

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
    support::endpoint control;
    store::watcher_options watcher;
    support::duration beacon_lease;
};

/// What the store worker tells.
struct store_worker_callbacks {
    /// Documents from the store.
    std::function<void(const config::change_set&)> deliver;
    /// Addresses of members, found by their beacons.
    std::function<void(const std::vector<support::endpoint>&)> add_seeds;
    /// The revision up to which every change is held.
    std::function<support::revision()> complete_up_to;
};

/// Carries out the duties on a thread of its own, since calls of the store may
/// block for seconds. Beacons are leased keys that only help new members to
/// find others; nothing depends on who holds one.
class store_worker {
public:
    /// `store` and `time` must outlive the worker.
    store_worker(store::client& store, const support::clock& time,
                 store_worker_options settings,
                 store_worker_callbacks callbacks);
    ~store_worker();

    /// Gives up the beacon and ends the threads.
    void stop();

    /// Tells what to do from now on. `is_alone` asks to look up beacons.
    void update(const duties& wanted, bool is_alone);

    /// Tells that documents up to `revision` came from peers.
    void advance_to(support::revision revision);

    std::optional<support::duration> time_since_store_answer() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

/// The store's key of one beacon.
std::string beacon_key(const support::data_centre_name& data_centre,
                       std::size_t slot);

/// What every beacon's key begins with.
inline constexpr absl::string_view beacon_prefix = "guavastair/beacons/";

} // namespace guavastair::control

#endif
