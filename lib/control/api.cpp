#include "control_plane_impl.hpp"

#include <utility>

namespace guavastair::control {

control_plane::control_plane(options settings, const support::clock& time)
    : pimpl(std::make_unique<impl>(std::move(settings), time)) {}

control_plane::~control_plane() {
    this->stop();
}

void control_plane::on_change(change_callback callback) {
    this->pimpl->change_callback = std::move(callback);
}

void control_plane::on_action(action_callback callback) {
    this->pimpl->action_callback = std::move(callback);
}

absl::Status control_plane::start() {
    return this->pimpl->start();
}

void control_plane::stop() {
    this->pimpl->stop();
}

void control_plane::set_state(membership::member_state state) {
    this->pimpl->set_state(state);
}

void control_plane::set_weight(std::uint32_t weight) {
    this->pimpl->set_weight(weight);
}

void control_plane::set_applied(support::revision applied) {
    this->pimpl->set_applied(applied);
}

void control_plane::deliver(const config::change_set& changes) {
    this->pimpl->deliver(changes);
}

std::shared_ptr<const snapshot> control_plane::current() const {
    return this->pimpl->current();
}

counters control_plane::count() const {
    return this->pimpl->count();
}

std::optional<support::duration>
control_plane::time_since_store_answer() const {
    if (this->pimpl->worker == nullptr) {
        return std::nullopt;
    }
    return this->pimpl->worker->time_since_store_answer();
}

} // namespace guavastair::control
