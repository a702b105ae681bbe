#include "process.hpp"

#include <utility>

namespace guavastair::node {

process::process(config::common_settings common, membership::node_record self)
    : common_options(std::move(common)), record(std::move(self)),
      store_client(store::make_etcd_client(this->common_options.store)),
      weight(this->record.weight) {}

const config::common_settings& process::settings() const {
    return this->common_options;
}

const support::clock& process::clock() const {
    return this->time;
}

metrics::registry& process::metrics() {
    return this->registry;
}

const membership::node_record& process::self() const {
    return this->record;
}

process::snapshot_ptr process::latest_snapshot() const {
    const std::lock_guard lock(this->snapshot_mutex);
    return this->newest_snapshot;
}

void process::publish(const snapshot_ptr& snapshot) {
    {
        const std::lock_guard lock(this->snapshot_mutex);
        this->newest_snapshot = snapshot;
    }
    const std::lock_guard lock(this->listener_mutex);
    if (this->on_snapshot) {
        this->on_snapshot(snapshot);
    }
}

void process::set_snapshot_listener(listener call) {
    const std::lock_guard lock(this->listener_mutex);
    this->on_snapshot = std::move(call);
    const snapshot_ptr now = this->latest_snapshot();
    if (this->on_snapshot && now != nullptr) {
        this->on_snapshot(now);
    }
}

void process::attach_control_plane(control::control_plane* new_plane) {
    const std::lock_guard lock(this->plane_mutex);
    this->plane = new_plane;
    if (new_plane == nullptr) {
        return;
    }
    new_plane->set_weight(this->weight);
    new_plane->set_applied(this->applied);
    new_plane->set_state(this->state);
}

void process::announce(membership::member_state announced) {
    const std::lock_guard lock(this->plane_mutex);
    this->state = announced;
    if (this->plane != nullptr) {
        this->plane->set_state(announced);
    }
}

void process::announce_weight(std::uint32_t announced) {
    const std::lock_guard lock(this->plane_mutex);
    this->weight = announced;
    if (this->plane != nullptr) {
        this->plane->set_weight(announced);
    }
}

void process::announce_applied(support::revision announced) {
    const std::lock_guard lock(this->plane_mutex);
    this->applied = announced;
    if (this->plane != nullptr) {
        this->plane->set_applied(announced);
    }
}

data_path_status process::data_path() const {
    const std::lock_guard lock(this->snapshot_mutex);
    return this->newest_data_path_status;
}

void process::set_data_path(data_path_status status) {
    const std::lock_guard lock(this->snapshot_mutex);
    this->newest_data_path_status = status;
}

bool process::ready() const {
    const std::lock_guard lock(this->plane_mutex);
    return this->state == membership::member_state::ready;
}

control::counters process::control_counters() const {
    const std::lock_guard lock(this->plane_mutex);
    return this->plane == nullptr ? control::counters{} : this->plane->count();
}

store::client& process::store() {
    return *this->store_client;
}

} // namespace guavastair::node
