#include "stored_change.hpp"

#include <guavastair/store.hpp>

#include <algorithm>
#include <cassert>
#include <limits>
#include <map>

namespace guavastair::store {

using support::duration;
using support::instant;
using support::revision;

namespace {

constexpr instant never{std::numeric_limits<std::int64_t>::max()};

revision next_revision(revision at) {
    return {at.value + 1};
}

} // namespace

struct watcher_core::state {
    watcher_options options;
    std::mt19937_64 random;

    /// Every change up to this revision has been delivered or obtained from
    /// another source.
    revision delivered_up_to;
    /// The watch has reported, or need not report, changes up to this revision.
    revision watched_up_to;
    /// Whether a read must complete before the next watch is opened, because
    /// the watch has to start at the revision of that read.
    bool needs_read = false;

    bool is_reading = false;
    instant next_read;
    duration read_backoff;

    bool is_watching = false;
    instant next_watch;
    duration watch_backoff;
    /// Set if, at the last read, the watch had not reported every delivered
    /// change: the revision that it had to report.
    std::optional<revision> unreported_revision;

    duration jitter(duration span);
    duration next_backoff(duration& backoff);
    void append_new_changes(const std::vector<config::change>& changes,
                            watcher_actions& actions);
    void check_watch_progress(instant now, watcher_actions& actions);
    void end_watch(instant now);
    watcher_actions start_due_calls(instant now);
};

/// Returns a random duration between half of `span` and `span`.
duration watcher_core::state::jitter(duration span) {
    std::uniform_int_distribution<std::int64_t> pick(span.ms / 2, span.ms);
    return {pick(this->random)};
}

/// Returns the pause after a failure and doubles `backoff`.
duration watcher_core::state::next_backoff(duration& backoff) {
    const duration pause = this->jitter(backoff);
    backoff = std::min(backoff * 2, this->options.max_backoff);
    return pause;
}

/// Adds a change set of those `changes` that have not been delivered yet.
void watcher_core::state::append_new_changes(
    const std::vector<config::change>& changes, watcher_actions& actions) {
    std::map<config::document_key, config::change> newest;
    for (const config::change& item : changes) {
        if (item.revision <= this->delivered_up_to) {
            continue;
        }
        config::change& kept = newest[item.key];
        if (item.revision > kept.revision) {
            kept = item;
        }
    }
    if (newest.empty()) {
        return;
    }
    config::change_set result{
        this->delivered_up_to, this->delivered_up_to, false, {}};
    for (auto& [key, item] : newest) {
        result.to = std::max(result.to, item.revision);
        result.entries.push_back(std::move(item));
    }
    std::sort(result.entries.begin(), result.entries.end(),
              [](const config::change& left, const config::change& right) {
                  return left.revision < right.revision;
              });
    this->delivered_up_to = result.to;
    actions.deliver.push_back(std::move(result));
}

void watcher_core::state::end_watch(instant now) {
    this->is_watching = false;
    this->unreported_revision.reset();
    this->next_watch = now + this->next_backoff(this->watch_backoff);
}

/// Closes a watch that has not reported, by the second read in a row, changes
/// that arrived by a read or from a peer. Such a watch has stopped working
/// without an error.
void watcher_core::state::check_watch_progress(instant now,
                                               watcher_actions& actions) {
    if (!this->is_watching || this->watched_up_to >= this->delivered_up_to) {
        this->unreported_revision.reset();
        return;
    }
    if (this->unreported_revision.has_value() &&
        this->watched_up_to < *this->unreported_revision) {
        actions.close_watch = true;
        this->end_watch(now);
        return;
    }
    this->unreported_revision = this->delivered_up_to;
}

/// Requests the read and the watch that are due.
watcher_actions watcher_core::state::start_due_calls(instant now) {
    watcher_actions actions;
    if (!this->is_reading && now >= this->next_read) {
        this->is_reading = true;
        actions.read_from = next_revision(this->delivered_up_to);
    }
    if (!this->is_watching && !this->needs_read && now >= this->next_watch) {
        this->is_watching = true;
        this->watched_up_to =
            std::max(this->delivered_up_to, this->watched_up_to);
        actions.open_watch = next_revision(this->watched_up_to);
    }
    return actions;
}

watcher_core::watcher_core(watcher_options options, revision initial_revision,
                           std::mt19937_64 random)
    : self(std::make_unique<state>()) {
    assert(options.reread.ms > 0 && "the reread interval must be positive");
    this->self->options = options;
    this->self->random = random;
    this->self->delivered_up_to = initial_revision;
    this->self->needs_read = initial_revision.value == 0;
    this->self->read_backoff = options.min_backoff;
    this->self->watch_backoff = options.min_backoff;
}

watcher_core::~watcher_core() = default;
watcher_core::watcher_core(watcher_core&& other) noexcept = default;
watcher_core& watcher_core::operator=(watcher_core&& other) noexcept = default;

watcher_actions watcher_core::tick(instant now) {
    return this->self->start_due_calls(now);
}

watcher_actions watcher_core::read_done(instant now,
                                        const range_result& result) {
    state& core = *this->self;
    assert(core.is_reading && "read_done() requires a read in progress");
    core.is_reading = false;
    core.read_backoff = core.options.min_backoff;
    core.next_read = now + core.jitter(core.options.reread);
    watcher_actions actions;
    core.append_new_changes(to_changes(result.entries), actions);
    if (core.needs_read) {
        core.needs_read = false;
        core.watched_up_to =
            std::max(core.watched_up_to, result.store_revision);
    }
    core.check_watch_progress(now, actions);
    return actions;
}

watcher_actions watcher_core::read_failed(instant now) {
    state& core = *this->self;
    assert(core.is_reading && "read_failed() requires a read in progress");
    core.is_reading = false;
    core.next_read = now + core.next_backoff(core.read_backoff);
    return {};
}

watcher_actions watcher_core::watch_reported(instant now,
                                             const watch_message& message) {
    state& core = *this->self;
    assert(core.is_watching && "watch_reported() requires an open watch");
    watcher_actions actions;
    if (message.compacted) {
        core.needs_read = true;
        core.next_read = std::min(core.next_read, now);
        core.end_watch(now);
        return actions;
    }
    core.watch_backoff = core.options.min_backoff;
    for (const watch_event& event : message.events) {
        core.watched_up_to =
            std::max(core.watched_up_to, event.entry.mod_revision);
    }
    core.append_new_changes(to_changes(message.events), actions);
    return actions;
}

watcher_actions watcher_core::watch_ended(instant now) {
    state& core = *this->self;
    if (core.is_watching) {
        core.end_watch(now);
    }
    return {};
}

void watcher_core::advance_to(revision revision) {
    this->self->delivered_up_to =
        std::max(this->self->delivered_up_to, revision);
}

revision watcher_core::complete_up_to() const {
    return this->self->delivered_up_to;
}

instant watcher_core::wake_at() const {
    const state& core = *this->self;
    const instant read = core.is_reading ? never : core.next_read;
    const bool may_watch = !core.is_watching && !core.needs_read;
    const instant watch = may_watch ? core.next_watch : never;
    return std::min(read, watch);
}

} // namespace guavastair::store
