#include "timer_queue.hpp"

#include <guavastair/net.hpp>

#include <absl/strings/str_cat.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace guavastair::net {

static constexpr std::size_t max_events_per_round = 256;

/// Longest wait of one round of run().
static constexpr support::duration idle_wait = support::seconds(60);

static std::uint32_t to_epoll(readiness interest) {
    std::uint32_t events = 0;
    if (interest.readable) {
        events |= EPOLLIN;
    }
    if (interest.writable) {
        events |= EPOLLOUT;
    }
    return events;
}

static readiness from_epoll(std::uint32_t events) {
    return {
        .readable = (events & (EPOLLIN | EPOLLHUP)) != 0,
        .writable = (events & EPOLLOUT) != 0,
        .failed = (events & (EPOLLERR | EPOLLHUP)) != 0,
    };
}

struct event_loop::implementation {
    explicit implementation(const support::clock& time);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void wake() const;
    void wait(support::duration longest_wait);
    void dispatch(const epoll_event& event);
    void run_posted();
    void run_end_of_round();
    support::duration next_wait(support::duration longest_wait) const;

    const support::clock& clock;
    int epoll;
    int wake_descriptor;
    std::atomic<bool> stopping = false;
    std::uint64_t last_timer_id = 0;
    timer_queue timers;

    struct watched {
        int descriptor;
        /// Shared, so that a callback that unwatches its own descriptor is not
        /// destroyed while it runs.
        std::shared_ptr<io_callback> call;
    };
    /// Keyed by a unique id instead of the descriptor, so that a stale event
    /// of a closed descriptor does not reach a new watch of the same number.
    std::unordered_map<std::uint64_t, watched> watches_by_id;
    std::unordered_map<int, std::uint64_t> watch_id_of;
    std::uint64_t last_watch_id = 0;

    struct round_callback {
        timer_id id;
        callback call;
    };
    std::vector<std::shared_ptr<round_callback>> each_round;

    std::mutex posted_lock;
    std::vector<callback> posted;
};

event_loop::implementation::implementation(const support::clock& time)
    : clock(time), epoll(epoll_create1(EPOLL_CLOEXEC)),
      wake_descriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    assert(this->epoll >= 0 && "epoll_create1 failed");
    assert(this->wake_descriptor >= 0 && "eventfd failed");
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = 0;
    epoll_ctl(this->epoll, EPOLL_CTL_ADD, this->wake_descriptor, &event);
}

event_loop::implementation::~implementation() {
    close(this->wake_descriptor);
    close(this->epoll);
}

void event_loop::implementation::wake() const {
    const std::uint64_t one = 1;
    // The write fails only if the counter is full, and then the loop is
    // already being woken.
    [[maybe_unused]] const auto size =
        write(this->wake_descriptor, &one, sizeof one);
}

support::duration
event_loop::implementation::next_wait(support::duration longest_wait) const {
    const auto next = this->timers.next_due();
    if (!next.has_value()) {
        return longest_wait;
    }
    const support::duration until_next = *next - this->clock.now();
    return std::clamp(until_next, support::duration{}, longest_wait);
}

void event_loop::implementation::wait(support::duration longest_wait) {
    std::array<epoll_event, max_events_per_round> events;
    const support::duration limit = this->next_wait(longest_wait);
    const int count = epoll_wait(this->epoll, events.data(), events.size(),
                                 static_cast<int>(limit.ms));
    for (int i = 0; i < count; ++i) {
        this->dispatch(events[static_cast<std::size_t>(i)]);
    }
}

void event_loop::implementation::dispatch(const epoll_event& event) {
    if (event.data.u64 == 0) {
        std::uint64_t ignored = 0;
        [[maybe_unused]] const auto size =
            read(this->wake_descriptor, &ignored, sizeof ignored);
        return;
    }
    const auto found = this->watches_by_id.find(event.data.u64);
    if (found == this->watches_by_id.end()) {
        return;
    }
    const std::shared_ptr<io_callback> call = found->second.call;
    (*call)(from_epoll(event.events));
}

void event_loop::implementation::run_posted() {
    std::vector<callback> calls;
    {
        const std::lock_guard guard(this->posted_lock);
        calls.swap(this->posted);
    }
    for (const callback& call : calls) {
        call();
    }
}

void event_loop::implementation::run_end_of_round() {
    // Iterates by index, because a callback may add or cancel others.
    std::size_t next = 0;
    while (next < this->each_round.size()) {
        const std::shared_ptr<round_callback> entry = this->each_round[next];
        ++next;
        entry->call();
    }
}

event_loop::event_loop(const support::clock& clock)
    : self(std::make_unique<implementation>(clock)) {}

event_loop::~event_loop() = default;

support::instant event_loop::now() const {
    return this->self->clock.now();
}

absl::Status event_loop::watch(int descriptor, readiness interest,
                               io_callback call) {
    epoll_event event{};
    event.events = to_epoll(interest);
    event.data.u64 = ++this->self->last_watch_id;
    if (epoll_ctl(this->self->epoll, EPOLL_CTL_ADD, descriptor, &event) != 0) {
        return support::make_error(support::error_kind::internal,
                                   absl::StrCat("cannot watch descriptor ",
                                                descriptor, ": ",
                                                std::strerror(errno)));
    }
    this->self->watch_id_of[descriptor] = event.data.u64;
    this->self->watches_by_id[event.data.u64] = {
        descriptor, std::make_shared<io_callback>(std::move(call))};
    return absl::OkStatus();
}

void event_loop::set_interest(int descriptor, readiness interest) {
    const auto found = this->self->watch_id_of.find(descriptor);
    assert(found != this->self->watch_id_of.end() &&
           "the descriptor is not watched");
    epoll_event event{};
    event.events = to_epoll(interest);
    event.data.u64 = found->second;
    epoll_ctl(this->self->epoll, EPOLL_CTL_MOD, descriptor, &event);
}

void event_loop::unwatch(int descriptor) {
    const auto found = this->self->watch_id_of.find(descriptor);
    if (found == this->self->watch_id_of.end()) {
        return;
    }
    epoll_ctl(this->self->epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    this->self->watches_by_id.erase(found->second);
    this->self->watch_id_of.erase(found);
}

timer_id event_loop::call_after(support::duration delay, callback call) {
    const timer_id id{++this->self->last_timer_id};
    this->self->timers.add(id, this->now() + delay, {}, std::move(call));
    return id;
}

timer_id event_loop::call_every(support::duration period, callback call) {
    assert(period.ms > 0 && "a period is at least 1 ms");
    const timer_id id{++this->self->last_timer_id};
    this->self->timers.add(id, this->now() + period, period, std::move(call));
    return id;
}

timer_id event_loop::call_each_round(callback call) {
    const timer_id id{++this->self->last_timer_id};
    this->self->each_round.push_back(
        std::make_shared<implementation::round_callback>(
            implementation::round_callback{id, std::move(call)}));
    return id;
}

void event_loop::cancel(timer_id timer) {
    this->self->timers.cancel(timer);
    std::erase_if(this->self->each_round,
                  [timer](const auto& entry) { return entry->id == timer; });
}

void event_loop::post(callback call) {
    {
        const std::lock_guard guard(this->self->posted_lock);
        this->self->posted.push_back(std::move(call));
    }
    this->self->wake();
}

void event_loop::run_once(support::duration longest_wait) {
    this->self->run_end_of_round();
    this->self->wait(longest_wait);
    this->self->run_posted();
    this->self->timers.run_due(this->now());
    this->self->run_end_of_round();
}

void event_loop::run() {
    while (!this->self->stopping.load()) {
        this->run_once(idle_wait);
    }
    this->self->stopping.store(false);
}

void event_loop::stop() {
    this->self->stopping.store(true);
    this->self->wake();
}

} // namespace guavastair::net
