#include <guavastair/supervisor.hpp>

#include <absl/strings/str_cat.h>

#include <array>
#include <cassert>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace guavastair::supervisor {

namespace {

constexpr std::array<absl::string_view, 7> event_names{
    "child_started",  "child_failed",  "child_restarting",    "child_given_up",
    "child_stopping", "child_stopped", "child_stop_timed_out"};

std::chrono::milliseconds to_chrono(support::duration span) {
    return std::chrono::milliseconds(span.ms);
}

} // namespace

absl::string_view to_string(event_kind kind) {
    return event_names[static_cast<std::size_t>(kind)];
}

/// State that the supervisor shares with its children's threads. Each thread
/// has a shared_ptr to it, so that the state stays valid for a thread that does
/// not stop within its bound.
struct shared_state {
    std::mutex mutex;
    std::condition_variable_any changed;
    absl::Status first_failure;
    bool child_given_up = false;
};

/// One child with its thread.
struct running_child {
    child_options options;
    std::stop_source stop;
    std::thread thread;
    bool finished = false;
};

class supervisor::implementation {
public:
    implementation(const support::clock& time, observer notify)
        : clock(time), notify(std::move(notify)) {}

    void add(child_options options) {
        assert(options.make && "a child needs a factory");
        auto new_child = std::make_shared<running_child>();
        new_child->options = std::move(options);
        this->children.push_back(std::move(new_child));
    }

    absl::Status run(const std::stop_token& stop) {
        for (const auto& entry : this->children) {
            this->start(entry);
        }
        this->wait_for_stop_or_failure(stop);
        const bool all_stopped = this->stop_all();
        if (!all_stopped) {
            return support::make_error(
                support::error_kind::deadline_exceeded,
                "at least one child did not stop within its "
                "stop bound");
        }
        const std::lock_guard lock(this->state->mutex);
        return this->state->first_failure;
    }

private:
    void start(const std::shared_ptr<running_child>& entry) {
        entry->thread = std::thread([this, entry, shared = this->state] {
            this->run_with_restarts(*entry);
            const std::lock_guard lock(shared->mutex);
            entry->finished = true;
            shared->changed.notify_all();
        });
    }

    /// Runs one child and restarts it on failure, until a stop is requested or
    /// the restart limit is exceeded.
    void run_with_restarts(running_child& entry) {
        const std::stop_token stop = entry.stop.get_token();
        restart_policy policy(entry.options.limits);
        while (!stop.stop_requested()) {
            this->notify_observer(event_kind::started, entry);
            const absl::Status status = run_once(entry, stop);
            if (stop.stop_requested()) {
                this->notify_observer(event_kind::stopped, entry, status);
                return;
            }
            this->notify_observer(event_kind::failed, entry, status);
            const auto backoff = policy.on_failure(this->clock.now());
            if (!backoff.has_value()) {
                this->give_up(entry, status);
                return;
            }
            this->notify_observer(event_kind::restarting, entry, status,
                                  *backoff);
            this->wait_for_backoff(stop, *backoff);
        }
    }

    static absl::Status run_once(const running_child& entry,
                                 const std::stop_token& stop) {
        try {
            auto created = entry.options.make();
            if (!created.ok()) {
                return created.status();
            }
            return (*created)->run(stop);
        } catch (const std::exception& error) {
            return support::make_error(support::error_kind::internal,
                                       error.what());
        }
    }

    void wait_for_backoff(const std::stop_token& stop, support::duration span) {
        std::unique_lock lock(this->state->mutex);
        this->state->changed.wait_for(lock, stop, to_chrono(span),
                                      [] { return false; });
    }

    void give_up(const running_child& entry, const absl::Status& status) {
        this->notify_observer(event_kind::given_up, entry, status);
        const std::lock_guard lock(this->state->mutex);
        this->state->child_given_up = true;
        if (this->state->first_failure.ok()) {
            this->state->first_failure = support::make_error(
                support::error_kind::internal,
                absl::StrCat(
                    "child ", entry.options.name,
                    " exceeded its restart limit: ", status.ToString()));
        }
        this->state->changed.notify_all();
    }

    void wait_for_stop_or_failure(const std::stop_token& stop) {
        std::unique_lock lock(this->state->mutex);
        this->state->changed.wait(
            lock, stop, [this] { return this->state->child_given_up; });
    }

    /// Returns false if a child did not stop within its bound.
    bool stop_all() {
        bool all_stopped = true;
        while (!this->children.empty()) {
            const auto last_started = this->children.back();
            this->children.pop_back();
            all_stopped &= this->stop_one(*last_started);
        }
        return all_stopped;
    }

    bool stop_one(running_child& entry) {
        this->notify_observer(event_kind::stopping, entry);
        entry.stop.request_stop();
        std::unique_lock lock(this->state->mutex);
        const bool in_time = this->state->changed.wait_for(
            lock, to_chrono(entry.options.stop_bound),
            [&entry] { return entry.finished; });
        lock.unlock();
        if (in_time) {
            entry.thread.join();
            return true;
        }
        entry.thread.detach();
        this->notify_observer(event_kind::stop_timed_out, entry);
        return false;
    }

    void notify_observer(event_kind kind, const running_child& entry,
                         const absl::Status& status = absl::OkStatus(),
                         support::duration backoff = {}) const {
        if (this->notify) {
            this->notify({kind, entry.options.name, status, backoff});
        }
    }

    const support::clock& clock;
    observer notify;
    std::shared_ptr<shared_state> state = std::make_shared<shared_state>();
    std::vector<std::shared_ptr<running_child>> children;
};

supervisor::supervisor(const support::clock& time, observer notify)
    : self(std::make_unique<implementation>(time, std::move(notify))) {}

supervisor::~supervisor() = default;

void supervisor::add(child_options options) {
    this->self->add(std::move(options));
}

absl::Status supervisor::run(std::stop_token stop) {
    return this->self->run(stop);
}

} // namespace guavastair::supervisor
