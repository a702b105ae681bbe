#include "control_plane_impl.hpp"
#include "socket_address.hpp"

#include <absl/strings/str_cat.h>
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <chrono>
#include <random>
#include <utility>

namespace guavastair::control {

namespace {

/// Number of ticks for which a stopping process keeps running, so that its
/// departure reaches other members.
constexpr int leave_announcement_ticks = 6;
/// Delay between the start of the process and its first store duty, so that it
/// discovers the other members first.
constexpr support::duration initial_duty_delay = support::milliseconds(1500);
/// A snapshot copies all records. The minimum interval between snapshots
/// therefore grows by 1 ms for this many members.
constexpr std::int64_t members_per_ms = 100;
/// Maximum number of bind attempts when the system chooses the port.
constexpr int max_binds = 16;

std::uint64_t random_id() {
    std::random_device device;
    constexpr unsigned half = 32;
    const std::uint64_t high = device();
    return ((high << half) | device()) | 1U;
}

std::chrono::milliseconds since_epoch() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

control_plane::impl::impl(options settings, const support::clock& time)
    : settings(std::move(settings)), time(time),
      published(std::make_shared<snapshot>()) {
    membership::node_record& self = this->settings.self;
    if (self.id.value == 0) {
        self.id = {random_id()};
    }
    const std::chrono::milliseconds start = since_epoch();
    self.incarnation = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::seconds>(start).count());
    this->identity = {self.id, static_cast<std::uint64_t>(start.count())};
}

/// Binds UDP to `control`, and TCP to the same address and the port that UDP
/// was given.
absl::Status control_plane::impl::bind(support::endpoint control) {
    this->socket = Poco::Net::DatagramSocket();
    try {
        this->socket.bind(to_poco(control), false);
        control.port = this->socket.address().port();
    } catch (const Poco::Exception& error) {
        return support::make_error(support::error_kind::address_in_use,
                                   absl::StrCat("cannot bind UDP ",
                                                support::to_string(control),
                                                ": ", error.displayText()));
    }
    this->server = std::make_unique<peer_server>(
        this->settings.key, this->identity, this->local_documents,
        [this](support::member_id id) { return this->address_of(id); });
    absl::Status listening = this->server->start(control);
    if (listening.ok()) {
        this->settings.self.control = control;
    }
    return listening;
}

/// Binds the control address. If the system chooses the UDP port, the same TCP
/// port may be in use, so further ports are tried.
absl::Status control_plane::impl::bind_any() {
    const support::endpoint wanted = this->settings.self.control;
    absl::Status bound = this->bind(wanted);
    for (int i = 1; !bound.ok() && wanted.port == 0 && i < max_binds; ++i) {
        bound = this->bind(wanted);
    }
    return bound;
}

absl::Status control_plane::impl::start() {
    absl::Status bound = this->bind_any();
    if (!bound.ok()) {
        return bound;
    }
    const membership::node_record& self = this->settings.self;
    const wire::shared_key& key = this->settings.key;
    this->seal = std::make_unique<wire::sealer>(key, this->identity);
    this->open = std::make_unique<wire::opener>(key, self.control);
    {
        const std::lock_guard lock(this->mutex);
        this->members = std::make_unique<membership::group>(
            this->settings.group, self, random_id(), this->time.now());
    }
    this->pull =
        std::make_unique<puller>(key, this->identity, self.control,
                                 [this](const config::change_set& changes) {
                                     this->deliver_from_peer(changes);
                                 });
    this->started = this->time.now();
    this->publish();
    this->start_store_worker();
    this->thread = std::thread([this] { this->run(); });
    return absl::OkStatus();
}

void control_plane::impl::start_store_worker() {
    if (this->settings.store == nullptr) {
        return;
    }
    const membership::node_record& self = this->settings.self;
    store_worker_callbacks callbacks;
    callbacks.deliver = [this](const config::change_set& changes) {
        this->deliver(changes);
    };
    callbacks.add_seeds =
        [this](const std::vector<support::endpoint>& addresses) {
            const std::lock_guard lock(this->mutex);
            this->members->add_seeds(addresses);
        };
    callbacks.complete_up_to = [this] {
        return this->local_documents.complete_up_to();
    };
    this->worker = std::make_unique<store_worker>(
        *this->settings.store, this->time,
        store_worker_options{self.data_centre, self.control,
                             this->settings.watcher,
                             this->settings.beacon_lease},
        std::move(callbacks));
}

void control_plane::impl::stop() {
    if (!this->thread.joinable()) {
        return;
    }
    this->set_state(membership::member_state::left);
    this->stopping = true;
    this->thread.join();
    this->pull->stop();
    if (this->worker != nullptr) {
        this->worker->stop();
    }
    this->server->stop();
    this->socket.close();
}

void control_plane::impl::run() {
    int ticks_left = leave_announcement_ticks;
    while (ticks_left > 0) {
        const support::duration tick = this->settings.tick;
        constexpr Poco::Timespan::TimeDiff us_per_ms = 1000;
        const support::instant next = this->time.now() + tick;
        while (this->time.now() < next) {
            const support::duration left = next - this->time.now();
            const Poco::Timespan wait(left.ms * us_per_ms);
            if (this->socket.poll(wait, Poco::Net::Socket::SELECT_READ)) {
                this->receive_datagrams();
            }
        }
        {
            const std::lock_guard lock(this->mutex);
            this->execute(this->members->tick(this->time.now()));
        }
        this->report_actions();
        this->publish_if_due();
        if (this->stopping) {
            --ticks_left;
        }
    }
}

void control_plane::impl::report_actions() {
    std::vector<membership::action> actions;
    {
        const std::lock_guard lock(this->mutex);
        actions = std::exchange(this->unreported_actions, {});
    }
    if (!this->action_callback) {
        return;
    }
    for (const membership::action& item : actions) {
        this->action_callback(item);
    }
}

bool control_plane::impl::deliver(const config::change_set& changes) {
    if (this->local_documents.apply(changes) != config::apply_result::applied) {
        return false;
    }
    const std::lock_guard lock(this->mutex);
    this->members->set_revision(this->local_documents.complete_up_to(),
                                this->applied);
    this->is_dirty = true;
    return true;
}

void control_plane::impl::deliver_from_peer(const config::change_set& changes) {
    if (this->deliver(changes) && this->worker != nullptr) {
        this->worker->advance_to(changes.to);
    }
}

void control_plane::impl::publish_if_due() {
    bool is_due = false;
    {
        const std::lock_guard lock(this->mutex);
        const support::instant now = this->time.now();
        is_due = (this->is_dirty || this->members->is_isolated() !=
                                        this->was_published_isolated) &&
                 now >= this->next_publish;
    }
    this->update_store_duties();
    if (!is_due) {
        return;
    }
    this->publish();
    if (this->change_callback) {
        this->change_callback(this->current());
    }
}

void control_plane::impl::publish() {
    auto next = std::make_shared<snapshot>();
    {
        const std::lock_guard lock(this->mutex);
        this->is_dirty = false;
        next->self = this->members->self();
        next->members = this->members->members();
        next->is_isolated = this->members->is_isolated();
        this->was_published_isolated = next->is_isolated;
        const auto size = static_cast<std::int64_t>(next->members.size());
        this->next_publish =
            this->time.now() + support::milliseconds(size / members_per_ms);
    }
    this->local_documents.with(
        [&next](const config::document_set& current_documents) {
            next->services = current_documents.services();
            next->withdrawn = current_documents.withdrawn_data_centres();
            next->complete_up_to = current_documents.complete_up_to();
        });
    const std::lock_guard lock(this->published_mutex);
    this->published = std::move(next);
}

void control_plane::impl::update_store_duties() {
    const auto view = this->current();
    if (this->worker == nullptr || this->stopping) {
        return;
    }
    const bool is_alone = view->members.empty();
    const support::duration age = this->time.now() - this->started;
    duties wanted;
    if (age >= initial_duty_delay) {
        wanted = choose_duties(view->self, view->members,
                               {this->settings.watchers_per_data_centre,
                                this->settings.beacons_per_data_centre});
    }
    this->worker->update(wanted, is_alone);
}

std::shared_ptr<const snapshot> control_plane::impl::current() const {
    const std::lock_guard lock(this->published_mutex);
    return this->published;
}

std::optional<support::endpoint>
control_plane::impl::address_of(support::member_id id) const {
    const std::lock_guard lock(this->mutex);
    if (this->members == nullptr) {
        return std::nullopt;
    }
    const auto view = this->members->find(id);
    if (!view.has_value()) {
        return std::nullopt;
    }
    return view->record.control;
}

void control_plane::impl::set_state(membership::member_state state) {
    const std::lock_guard lock(this->mutex);
    this->settings.self.state = state;
    if (this->members != nullptr) {
        this->execute(this->members->set_state(this->time.now(), state));
        this->is_dirty = true;
    }
}

void control_plane::impl::set_weight(std::uint32_t weight) {
    const std::lock_guard lock(this->mutex);
    this->settings.self.weight = weight;
    if (this->members != nullptr) {
        this->execute(this->members->set_weight(this->time.now(), weight));
        this->is_dirty = true;
    }
}

void control_plane::impl::set_applied(support::revision revision) {
    const std::lock_guard lock(this->mutex);
    this->applied = revision;
    if (this->members != nullptr) {
        this->members->set_revision(this->local_documents.complete_up_to(),
                                    revision);
    }
}

counters control_plane::impl::count() const {
    counters result;
    peer_server_counters served;
    // These two take their own locks. They must not be called with `mutex`
    // held, because the peer server calls address_of(), which takes it.
    if (this->server != nullptr && this->pull != nullptr) {
        served = this->server->count();
        const puller_counters pulled = this->pull->count();
        result.pulls_sent = pulled.received;
        result.failed_pulls = pulled.failed;
        result.pulls_answered = served.answered;
    }
    const std::lock_guard lock(this->mutex);
    result.sent = this->counts.sent;
    result.received = this->counts.received;
    result.failed_sends = this->counts.failed_sends;
    if (this->members == nullptr) {
        return result;
    }
    const wire::rejection_counters refused = this->open->rejections();
    result.malformed =
        this->counts.malformed + refused.malformed + served.malformed;
    result.forged = refused.forged + served.forged;
    result.replayed = refused.replayed + served.replayed;
    result.group = this->members->count();
    return result;
}

} // namespace guavastair::control
