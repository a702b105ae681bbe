/// Maintains a process's entry in the store and keeps track of the entries of
/// other processes, without blocking.
///
/// follower and registrar decide which call to make next and when, and evaluate
/// its result. They do no I/O and read no clock. `store` is the interface that
/// the client of a store's protocol implements.

#ifndef GUAVASTAIR_REGISTRY_HPP
#define GUAVASTAIR_REGISTRY_HPP

#include <guavastair/support.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace guavastair::registry {

// --------------------------------------------------------------- store

/// One key of the store with its value.
struct entry {
    std::string key;
    std::string value;
    /// The revision of the last write.
    support::revision modified;

    bool operator==(const entry&) const = default;
};

/// A part of the entries under a prefix, in the order of their keys.
struct page {
    std::vector<entry> entries;
    /// Whether more entries follow the last key.
    bool has_more = false;
    /// The store's revision at the time of the read.
    support::revision as_of;
};

/// One write or deletion of a key.
struct change {
    /// For a deletion only `key` and `modified` are set.
    entry item;
    bool deleted = false;
};

/// The result of one watch.
struct changes {
    std::vector<change> events;
    /// The events are complete up to this revision.
    support::revision as_of;
    /// Whether the store no longer has the requested changes. The entries must
    /// be listed again.
    bool history_lost = false;
};

/// A non-blocking client of a store, for one call at a time. Callbacks are run
/// by the event loop, never from within the call.
///
/// Errors: error_kind::store_unavailable for a call without effect;
/// error_kind::write_outcome_unknown for a write that may take effect, now or
/// later.
class store {
public:
    template <typename Value>
    using callback = std::function<void(absl::StatusOr<Value>)>;
    using completion = std::function<void(absl::Status)>;

    virtual ~store() = default;

    /// Reads the entries whose keys start with `prefix` and follow `after_key`.
    virtual void list(const std::string& prefix, const std::string& after_key,
                      callback<page> on_result) = 0;

    /// Waits at most `wait` for changes after revision `after`.
    virtual void watch(const std::string& prefix, support::revision after,
                       support::duration wait, callback<changes> on_result) = 0;

    virtual void put(const std::string& key, const std::string& value,
                     completion on_result) = 0;
    virtual void remove(const std::string& key, completion on_result) = 0;
    /// Removes `key` only if `modified` is the revision of its last write.
    /// Fails with error_kind::revision_conflict otherwise.
    virtual void remove_unchanged(const std::string& key,
                                  support::revision modified,
                                  completion on_result) = 0;
};

// ------------------------------------------------------------- backoff

/// Exponential backoff. The delay doubles with each failure, and each delay is
/// shortened at random by up to half so that processes do not retry at the same
/// time.
class backoff {
public:
    backoff(support::duration shortest, support::duration longest,
            std::uint64_t seed);

    /// Returns the delay after a failure.
    support::duration next();
    /// Resets the delay to the shortest one.
    void on_success();

private:
    support::duration initial_delay;
    support::duration longest_delay;
    support::duration current_delay;
    std::minstd_rand random;
};

// ------------------------------------------------------------ follower

struct follower_settings {
    std::string prefix;
    /// Longest time that one watch waits. Each watch waits a random time of at
    /// least half of this, so that some of many processes soon detect a
    /// connection that no longer responds, and notify the others.
    support::duration watch_time = support::seconds(8);
    support::duration shortest_pause = support::milliseconds(100);
    support::duration longest_pause = support::milliseconds(1000);
};

/// The next call of a follower to the store.
struct list_call {
    std::string after_key;
};
struct watch_call {
    support::revision after;
    support::duration wait;
};
using follower_call = std::variant<list_call, watch_call>;

/// Keeps a local copy of the entries under a prefix up to date. It lists them,
/// watches for changes, and lists them again after a failure or if the store no
/// longer has the changes in between.
class follower {
public:
    follower(follower_settings options, std::uint64_t seed);

    /// Returns the call to make now, which is then in flight. Returns nothing
    /// while a call is in flight or before wake_at().
    std::optional<follower_call> next_call(support::instant now);

    /// The earliest time at which next_call() may return a call.
    support::instant wake_at() const;

    /// Handle the result of the call in flight. Return whether entries() is now
    /// complete up to as_of().
    bool on_page(const page& result);
    bool on_changes(support::instant now, const changes& result);
    /// Handles a failure of the call in flight.
    void on_failure(support::instant now);

    /// Whether the entries have been listed at least once.
    bool is_complete() const;

    const std::map<std::string, entry>& entries() const;
    support::revision as_of() const;
    const follower_settings& settings() const;

    /// Whether the last call failed.
    bool is_failing() const;

private:
    follower_settings options;
    backoff retry_backoff;
    std::minstd_rand random;
    std::map<std::string, entry> current_entries;
    std::map<std::string, entry> pending_entries;
    std::string list_after_key;
    support::revision list_as_of;
    support::revision complete_up_to;
    support::instant next_call_at{INT64_MIN / 2};
    bool call_in_flight = false;
    bool needs_list = true;
    bool has_listed = false;
    bool last_call_failed = false;
};

// ----------------------------------------------------------- registrar

struct registrar_settings {
    std::string key;
    support::duration shortest_pause = support::milliseconds(100);
    support::duration longest_pause = support::milliseconds(1500);
};

struct put_call {
    std::string value;
};
struct remove_call {};
using registrar_call = std::variant<put_call, remove_call>;

/// Keeps one entry of the store at a wanted value. The entry has no lease: it
/// must outlive a restart of all processes, so that others know which agents
/// may own flows.
class registrar {
public:
    registrar(registrar_settings options, std::uint64_t seed);

    /// Sets the wanted value of the entry. Without a value the entry is
    /// removed.
    void set_wanted(std::optional<std::string> value);

    /// Returns the call to make now, which is then in flight. Returns nothing
    /// while a call is in flight, before wake_at(), or if the entry is settled.
    std::optional<registrar_call> next_call(support::instant now);

    /// The earliest time at which next_call() may return a call.
    support::instant wake_at() const;

    /// Handle the result of the call in flight.
    void on_done();
    void on_failure(support::instant now);

    /// Handles a report that the entry is missing in the store.
    void on_missing();

    /// Whether the entry has the wanted value, or is absent if none is wanted,
    /// as far as this process knows.
    bool is_settled() const;
    const registrar_settings& settings() const;

private:
    registrar_settings options;
    backoff retry_backoff;
    std::optional<std::string> wanted;
    /// The value that the store has, if known.
    std::optional<std::string> stored_value;
    /// The value that the call in flight writes.
    std::optional<std::string> pending_value;
    /// Whether the entry may exist in the store.
    bool may_exist = false;
    support::instant next_call_at{INT64_MIN / 2};
    bool call_in_flight = false;
};

} // namespace guavastair::registry

#endif
