#include <guavastair/store.hpp>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace guavastair::store {

using support::duration;
using support::instant;
using support::revision;

/// Three threads share one core. The delivery thread calls the core when it is
/// due and delivers changes, the read thread reads the store, and the watch
/// thread reads the watch.
struct watcher::state {
    client& store;
    const support::clock& time;
    callback deliver;

    std::mutex mutex;
    std::condition_variable state_changed;
    watcher_core core;
    bool stopping = false;
    std::optional<revision> requested_read;
    std::optional<revision> requested_watch;
    std::shared_ptr<watch_stream> stream;
    std::deque<config::change_set> pending;
    instant last_answer_at;

    std::thread delivery_thread;
    std::thread read_thread;
    std::thread watch_thread;

    state(client& store, const support::clock& time, watcher_options options,
          revision initial_revision, callback deliver)
        : store(store), time(time), deliver(std::move(deliver)),
          core(options, initial_revision, make_random()),
          last_answer_at(time.now()) {}

    void run_delivery_thread();
    void run_read_thread();
    void run_watch_thread();
    void read(revision from, std::unique_lock<std::mutex>& lock);
    void watch(revision from, std::unique_lock<std::mutex>& lock);
    void read_stream(const std::shared_ptr<watch_stream>& active_stream,
                     std::unique_lock<std::mutex>& lock);
    void apply_actions(watcher_actions actions);
    void close_stream();
};

/// Records the actions that the core requests and wakes the threads. Requires
/// `mutex`.
void watcher::state::apply_actions(watcher_actions actions) {
    if (actions.close_watch) {
        this->close_stream();
    }
    if (actions.read_from.has_value()) {
        this->requested_read = actions.read_from;
    }
    if (actions.open_watch.has_value()) {
        this->requested_watch = actions.open_watch;
    }
    for (config::change_set& item : actions.deliver) {
        this->pending.push_back(std::move(item));
    }
    this->state_changed.notify_all();
}

void watcher::state::close_stream() {
    if (this->stream != nullptr) {
        this->stream->cancel();
        this->stream = nullptr;
    }
}

void watcher::state::run_delivery_thread() {
    /// Longest sleep, so that a wrong wake_at() cannot stall the watcher.
    constexpr duration max_sleep = support::seconds(1);
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (!this->pending.empty()) {
            const config::change_set next = std::move(this->pending.front());
            this->pending.pop_front();
            lock.unlock();
            this->deliver(next);
            lock.lock();
            continue;
        }
        const instant now = this->time.now();
        if (now >= this->core.wake_at()) {
            this->apply_actions(this->core.tick(now));
            continue;
        }
        const duration sleep = std::min(max_sleep, this->core.wake_at() - now);
        this->state_changed.wait_for(lock, std::chrono::milliseconds(sleep.ms));
    }
}

void watcher::state::run_read_thread() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (!this->requested_read.has_value()) {
            this->state_changed.wait(lock);
            continue;
        }
        const revision from =
            *std::exchange(this->requested_read, std::nullopt);
        this->read(from, lock);
    }
}

void watcher::state::read(revision from, std::unique_lock<std::mutex>& lock) {
    lock.unlock();
    const auto result =
        this->store.range({std::string(config::store_prefix), true, from});
    lock.lock();
    const instant now = this->time.now();
    if (!result.ok()) {
        this->apply_actions(this->core.read_failed(now));
        return;
    }
    this->last_answer_at = now;
    this->apply_actions(this->core.read_done(now, *result));
}

void watcher::state::run_watch_thread() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (!this->requested_watch.has_value()) {
            this->state_changed.wait(lock);
            continue;
        }
        const revision from =
            *std::exchange(this->requested_watch, std::nullopt);
        this->watch(from, lock);
    }
}

void watcher::state::watch(revision from, std::unique_lock<std::mutex>& lock) {
    lock.unlock();
    auto opened = this->store.watch({std::string(config::store_prefix), from});
    lock.lock();
    if (this->stopping) {
        return;
    }
    if (!opened.ok()) {
        this->apply_actions(this->core.watch_ended(this->time.now()));
        return;
    }
    const std::shared_ptr<watch_stream> active_stream = *std::move(opened);
    this->stream = active_stream;
    this->read_stream(active_stream, lock);
}

/// Passes messages to the core until the stream ends or the core closes it.
void watcher::state::read_stream(
    const std::shared_ptr<watch_stream>& active_stream,
    std::unique_lock<std::mutex>& lock) {
    while (this->stream == active_stream) {
        lock.unlock();
        const auto message = active_stream->next();
        lock.lock();
        if (this->stream != active_stream) {
            return;
        }
        const instant now = this->time.now();
        if (!message.ok() || message->compacted) {
            this->stream = nullptr;
        }
        if (!message.ok()) {
            this->apply_actions(this->core.watch_ended(now));
            return;
        }
        this->last_answer_at = now;
        this->apply_actions(this->core.watch_reported(now, *message));
    }
}

watcher::watcher(client& store, const support::clock& time,
                 watcher_options options, revision initial_revision,
                 callback deliver)
    : self(std::make_unique<state>(store, time, options, initial_revision,
                                   std::move(deliver))) {
    state* shared = this->self.get();
    shared->delivery_thread =
        std::thread([shared] { shared->run_delivery_thread(); });
    shared->read_thread = std::thread([shared] { shared->run_read_thread(); });
    shared->watch_thread =
        std::thread([shared] { shared->run_watch_thread(); });
}

watcher::~watcher() {
    {
        const std::lock_guard lock(this->self->mutex);
        this->self->stopping = true;
        this->self->close_stream();
        this->self->state_changed.notify_all();
    }
    this->self->delivery_thread.join();
    this->self->read_thread.join();
    this->self->watch_thread.join();
}

void watcher::advance_to(revision revision) {
    const std::lock_guard lock(this->self->mutex);
    this->self->core.advance_to(revision);
}

duration watcher::time_since_answer() const {
    const std::lock_guard lock(this->self->mutex);
    return this->self->time.now() - this->self->last_answer_at;
}

} // namespace guavastair::store
