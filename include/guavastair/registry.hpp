/// Keeping a process's entry in the store, and following the entries of
/// others, without blocking.
///
/// The decisions (what to ask next, when, and what follows from the answer)
/// do no I/O and read no clock; `store` is the interface that a client of one
/// store's protocol fills in.

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

/// One key as the store holds it.
struct entry {
    std::string key;
    std::string value;
    support::revision modified;

    bool operator==(const entry&) const = default;
};

/// Some of the entries under a prefix, in the order of their keys.
struct page {
    std::vector<entry> entries;
    /// Whether more follow after the last key.
    bool has_more = false;
    /// The store's revision when this was read.
    support::revision as_of;
};

/// One write or deletion of a key.
struct change {
    /// For a deletion only `key` and `modified` are set.
    entry item;
    bool deleted = false;
};

struct changes {
    std::vector<change> events;
    /// Every change up to this revision is known now.
    support::revision as_of;
    /// The store has forgotten the changes asked for; list again.
    bool history_lost = false;
};

/// A store that is asked without blocking, one call at a time. Callbacks come
/// from the event loop, never from within the call.
///
/// Errors: error_kind::store_unavailable for a call that had no effect,
/// error_kind::write_outcome_unknown for a write that may have one, now or
/// later.
class store {
public:
    template <typename Value>
    using callback = std::function<void(absl::StatusOr<Value>)>;
    using completion = std::function<void(absl::Status)>;

    virtual ~store() = default;

    /// Reads the keys that begin with `prefix` and follow `after_key`.
    virtual void list(const std::string& prefix, const std::string& after_key,
                      callback<page> call) = 0;

    /// Waits at most `wait` for changes later than `after`.
    virtual void watch(const std::string& prefix, support::revision after,
                       support::duration wait, callback<changes> call) = 0;

    virtual void put(const std::string& key, const std::string& value,
                     completion call) = 0;
    virtual void remove(const std::string& key, completion call) = 0;
    /// Removes `key` only if it was last changed by `modified`; fails with
    /// error_kind::revision_conflict otherwise.
    virtual void remove_unchanged(const std::string& key,
                                  support::revision modified,
                                  completion call) = 0;
};

// ------------------------------------------------------------- backoff

/// Pauses that double with each failure, each shortened at random by up to
/// half so that processes do not come back together.
class backoff {
public:
    backoff(support::duration shortest, support::duration longest,
            std::uint64_t seed);

    support::duration next();
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
    /// How long one watch waits at most; each waits a random time from half of
    /// this on, so that of many processes some soon notice a connection that
    /// has gone silent, and tell the others.
    support::duration watch_time = support::seconds(8);
    support::duration shortest_pause = support::milliseconds(100);
    support::duration longest_pause = support::milliseconds(1000);
};

/// What a follower asks the store next.
struct list_call {
    std::string after_key;
};
struct watch_call {
    support::revision after;
    support::duration wait;
};
using follower_call = std::variant<list_call, watch_call>;

/// Keeps the entries under a prefix up to date: lists them, watches for
/// changes, and lists again when the store has forgotten what came between.
class follower {
public:
    follower(follower_settings options, std::uint64_t seed);

    /// What to ask now; nothing while a call is under way or a pause lasts.
    /// Counts the call as under way.
    std::optional<follower_call> next_call(support::instant now);

    /// When next_call() is worth trying again.
    support::instant wake_at() const;

    /// Each returns whether entries() is complete up to as_of() now.
    bool on_page(const page& result);
    bool on_changes(support::instant now, const changes& result);
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

/// Keeps one entry in the store as wanted. The entry hangs on no lease: it
/// must outlive a restart of everything, for others to know who may own flows.
class registrar {
public:
    registrar(registrar_settings options, std::uint64_t seed);

    /// The entry is to hold `value`; nothing means that it is to go.
    void set_wanted(std::optional<std::string> value);

    std::optional<registrar_call> next_call(support::instant now);
    support::instant wake_at() const;

    void on_done();
    void on_failure(support::instant now);

    /// Somebody has seen that the entry is not there.
    void on_missing();

    /// Whether the store holds what is wanted, as far as is known.
    bool is_settled() const;
    const registrar_settings& settings() const;

private:
    registrar_settings options;
    backoff retry_backoff;
    std::optional<std::string> wanted;
    /// What the store holds, if that is known.
    std::optional<std::string> stored_value;
    std::optional<std::string> pending_value;
    /// Whether the store may hold anything.
    bool may_exist = false;
    support::instant next_call_at{INT64_MIN / 2};
    bool call_in_flight = false;
};

} // namespace guavastair::registry

#endif
