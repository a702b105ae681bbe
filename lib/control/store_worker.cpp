#include "store_worker.hpp"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace guavastair::control {

namespace {

constexpr auto duty_interval = std::chrono::seconds(1);
/// Leases are renewed this many times within their lifetime.
constexpr std::int64_t renewals_per_lease = 3;
constexpr support::duration lookup_interval = support::seconds(2);

} // namespace

std::string beacon_key(const support::data_centre_name& data_centre,
                       std::size_t slot) {
    return absl::StrCat(beacon_prefix, data_centre.value, "/", slot);
}

class store_worker::impl {
public:
    impl(store::client& store, const support::clock& time,
         store_worker_options settings, store_worker_callbacks callbacks)
        : store(store), time(time), settings(std::move(settings)),
          callbacks(std::move(callbacks)), thread([this] { this->run(); }) {}

    void stop() {
        if (!this->thread.joinable()) {
            return;
        }
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->wake.notify_all();
        this->thread.join();
    }

    void run();
    void perform_duties(const duties& wanted, bool is_alone);
    void look_up_beacons();
    void maintain_beacon(std::optional<std::size_t> slot);
    bool owns_beacon(std::size_t slot);
    bool write_beacon(std::size_t slot, bool has_lease);
    void revoke_beacon();
    void set_watching(bool wanted);

    store::client& store;
    const support::clock& time;
    store_worker_options settings;
    store_worker_callbacks callbacks;

    mutable std::mutex mutex;
    std::condition_variable wake;
    duties wanted;
    bool is_alone = true;
    bool stopping = false;
    std::unique_ptr<store::watcher> watcher;

    /// The members below are used only by the worker's thread.
    std::optional<std::size_t> maintained_slot;
    store::lease_id lease;
    support::instant next_renewal;
    support::instant next_lookup;

    /// Last, so that the thread starts after the other members are
    /// initialised.
    std::thread thread;
};

void store_worker::impl::run() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const duties current_duties = this->wanted;
        const bool alone = this->is_alone;
        lock.unlock();
        this->perform_duties(current_duties, alone);
        lock.lock();
        const auto is_changed = [this, &current_duties] {
            return this->stopping || !(this->wanted == current_duties);
        };
        this->wake.wait_for(lock, duty_interval, is_changed);
    }
    lock.unlock();
    this->set_watching(false);
    this->revoke_beacon();
}

void store_worker::impl::perform_duties(const duties& current_duties,
                                        bool alone) {
    if (alone) {
        this->look_up_beacons();
    }
    this->set_watching(current_duties.watches);
    this->maintain_beacon(current_duties.beacon_slot);
}

void store_worker::impl::look_up_beacons() {
    if (this->time.now() < this->next_lookup) {
        return;
    }
    this->next_lookup = this->time.now() + lookup_interval;
    const auto entries_read =
        this->store.range({std::string(beacon_prefix), true});
    if (!entries_read.ok()) {
        return;
    }
    std::vector<support::endpoint> addresses;
    for (const store::key_value& entry : entries_read->entries) {
        const auto address = support::parse_endpoint(entry.value);
        if (address.ok() && *address != this->settings.control) {
            addresses.push_back(*address);
        }
    }
    if (!addresses.empty()) {
        this->callbacks.add_seeds(addresses);
    }
}

void store_worker::impl::set_watching(bool is_wanted) {
    if (is_wanted == (this->watcher != nullptr)) {
        return;
    }
    std::unique_ptr<store::watcher> next;
    if (is_wanted) {
        next = std::make_unique<store::watcher>(
            this->store, this->time, this->settings.watcher,
            this->callbacks.complete_up_to(), this->callbacks.deliver);
    }
    {
        const std::lock_guard lock(this->mutex);
        std::swap(this->watcher, next);
    }
    // The previous watcher is destroyed here, without the lock, because its
    // destructor waits for its threads.
}

void store_worker::impl::maintain_beacon(std::optional<std::size_t> slot) {
    if (slot != this->maintained_slot) {
        this->revoke_beacon();
    }
    if (!slot.has_value() || this->time.now() < this->next_renewal) {
        return;
    }
    const std::int64_t lifetime = this->settings.beacon_lease.ms;
    this->next_renewal =
        this->time.now() + support::milliseconds(lifetime / renewals_per_lease);
    const bool has_lease =
        this->lease.value != 0 && this->store.keep_alive(this->lease).ok();
    // Another member that claims the same slot may have overwritten or deleted
    // the key.
    if (has_lease && this->owns_beacon(*slot)) {
        return;
    }
    if (this->write_beacon(*slot, has_lease)) {
        this->maintained_slot = slot;
    }
}

bool store_worker::impl::owns_beacon(std::size_t slot) {
    const std::string key = beacon_key(this->settings.data_centre, slot);
    const auto entries_read = this->store.range({key, false});
    return entries_read.ok() && entries_read->entries.size() == 1 &&
           entries_read->entries.front().lease == this->lease;
}

bool store_worker::impl::write_beacon(std::size_t slot, bool has_lease) {
    if (!has_lease) {
        const auto granted =
            this->store.grant_lease(this->settings.beacon_lease);
        this->lease = granted.ok() ? *granted : store::lease_id{};
    }
    if (this->lease.value == 0) {
        return false;
    }
    store::write_request request;
    request.operations.push_back({store::operation_kind::put,
                                  beacon_key(this->settings.data_centre, slot),
                                  support::to_string(this->settings.control),
                                  this->lease});
    return this->store.write(request).ok();
}

void store_worker::impl::revoke_beacon() {
    this->next_renewal = this->time.now();
    this->maintained_slot.reset();
    if (this->lease.value != 0) {
        const absl::Status revoked = this->store.revoke(this->lease);
        // A lease that cannot be revoked expires by itself.
        revoked.IgnoreError();
        this->lease = {};
    }
}

store_worker::store_worker(store::client& store, const support::clock& time,
                           store_worker_options settings,
                           store_worker_callbacks callbacks)
    : pimpl(std::make_unique<impl>(store, time, std::move(settings),
                                   std::move(callbacks))) {}

store_worker::~store_worker() {
    this->stop();
}

void store_worker::stop() {
    this->pimpl->stop();
}

void store_worker::update(const duties& wanted, bool is_alone) {
    {
        const std::lock_guard lock(this->pimpl->mutex);
        this->pimpl->is_alone = is_alone;
        if (this->pimpl->wanted == wanted) {
            return;
        }
        this->pimpl->wanted = wanted;
    }
    this->pimpl->wake.notify_one();
}

void store_worker::advance_to(support::revision revision) {
    const std::lock_guard lock(this->pimpl->mutex);
    if (this->pimpl->watcher != nullptr) {
        this->pimpl->watcher->advance_to(revision);
    }
}

std::optional<support::duration> store_worker::time_since_store_answer() const {
    const std::lock_guard lock(this->pimpl->mutex);
    if (this->pimpl->watcher == nullptr) {
        return std::nullopt;
    }
    return this->pimpl->watcher->time_since_answer();
}

} // namespace guavastair::control
