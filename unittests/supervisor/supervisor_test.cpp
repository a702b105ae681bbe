#include <guavastair/supervisor.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace supervisor = guavastair::supervisor;
namespace support = guavastair::support;

namespace {

/// Records events. Thread-safe.
class event_list {
public:
    void add(const supervisor::event& event) {
        const std::lock_guard lock(this->mutex);
        this->events.push_back(event);
    }

    std::vector<std::string> names_of(supervisor::event_kind kind) {
        const std::lock_guard lock(this->mutex);
        std::vector<std::string> names;
        for (const supervisor::event& event : this->events) {
            if (event.kind == kind) {
                names.push_back(event.child);
            }
        }
        return names;
    }

private:
    std::mutex mutex;
    std::vector<supervisor::event> events;
};

/// Runs until a stop is requested.
class waiting_child final : public supervisor::child {
public:
    absl::Status run(std::stop_token stop) override {
        std::mutex mutex;
        std::unique_lock lock(mutex);
        std::condition_variable_any never;
        never.wait(lock, stop, [] { return false; });
        return absl::OkStatus();
    }
};

/// Fails immediately.
class failing_child final : public supervisor::child {
public:
    absl::Status run(std::stop_token /*stop*/) override {
        return support::make_error(support::error_kind::internal, "broken");
    }
};

/// Ignores stop requests and runs until the test releases it.
class unresponsive_child final : public supervisor::child {
public:
    explicit unresponsive_child(std::atomic<bool>& release_flag)
        : released(release_flag) {}

    absl::Status run(std::stop_token /*stop*/) override {
        while (!this->released.load()) {
            std::this_thread::yield();
        }
        return absl::OkStatus();
    }

private:
    std::atomic<bool>& released;
};

template <typename Child, typename... Arguments>
supervisor::child_factory make(Arguments&... arguments) {
    return [&arguments...]()
               -> absl::StatusOr<std::unique_ptr<supervisor::child>> {
        return std::make_unique<Child>(arguments...);
    };
}

supervisor::restart_limits quick_limits() {
    supervisor::restart_limits limits;
    limits.first_backoff = support::milliseconds(1);
    limits.longest_backoff = support::milliseconds(2);
    limits.max_restarts = 3;
    return limits;
}

} // namespace

TEST_CASE("a planned stop stops the children in reverse order") {
    const support::steady_clock clock;
    event_list events;
    supervisor::supervisor tree(
        clock, [&events](const supervisor::event& e) { events.add(e); });
    tree.add({"first", make<waiting_child>()});
    tree.add({"second", make<waiting_child>()});
    std::stop_source stop;
    std::thread stopper([&] {
        while (events.names_of(supervisor::event_kind::started).size() < 2) {
            std::this_thread::yield();
        }
        stop.request_stop();
    });
    CHECK(tree.run(stop.get_token()).ok());
    stopper.join();
    const auto stopping = events.names_of(supervisor::event_kind::stopping);
    CHECK(stopping == std::vector<std::string>{"second", "first"});
}

TEST_CASE("a child that exceeds its restart limit ends the supervisor") {
    const support::steady_clock clock;
    event_list events;
    supervisor::supervisor tree(
        clock, [&events](const supervisor::event& e) { events.add(e); });
    tree.add({"healthy", make<waiting_child>()});
    tree.add({"broken", make<failing_child>(), quick_limits()});
    std::stop_source stop;
    const absl::Status status = tree.run(stop.get_token());
    CHECK_FALSE(status.ok());
    CHECK(support::kind_of(status) == support::error_kind::internal);
    CHECK(events.names_of(supervisor::event_kind::restarting).size() == 3);
    CHECK(events.names_of(supervisor::event_kind::given_up).size() == 1);
}

TEST_CASE("a child that does not stop within its bound is an error") {
    const support::steady_clock clock;
    event_list events;
    std::atomic<bool> released = false;
    supervisor::supervisor tree(
        clock, [&events](const supervisor::event& e) { events.add(e); });
    supervisor::child_options options{"unresponsive",
                                      make<unresponsive_child>(released)};
    options.stop_bound = support::milliseconds(20);
    tree.add(options);
    std::stop_source stop;
    std::thread stopper([&] {
        while (events.names_of(supervisor::event_kind::started).empty()) {
            std::this_thread::yield();
        }
        stop.request_stop();
    });
    const absl::Status status = tree.run(stop.get_token());
    stopper.join();
    CHECK(support::kind_of(status) == support::error_kind::deadline_exceeded);
    released = true;
    while (events.names_of(supervisor::event_kind::stopped).empty()) {
        std::this_thread::yield();
    }
}
