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

/// Identifies a lease; 0 stands for none.
struct lease_id {
    std::int64_t value = 0;

    auto operator<=>(const lease_id&) const = default;
};

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
    entry what;
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
/// later, error_kind::not_found for a lease that has ended.
class store {
public:
    template <typename Value>
    using callback = std::function<void(absl::StatusOr<Value>)>;
    using done = std::function<void(absl::Status)>;

    virtual ~store() = default;

    /// Reads the keys that begin with `prefix` and follow `after_key`.
    virtual void list(const std::string& prefix, const std::string& after_key,
                      callback<page> call) = 0;

    /// Waits at most `wait` for changes later than `after`.
    virtual void watch(const std::string& prefix, support::revision after,
                       support::duration wait, callback<changes> call) = 0;

    virtual void grant_lease(support::duration ttl,
                             callback<lease_id> call) = 0;
    virtual void renew_lease(lease_id lease, done call) = 0;
    virtual void put(const std::string& key, const std::string& value,
                     lease_id lease, done call) = 0;
    /// Ends the lease; its keys go with it, and a put that is still on its
    /// way finds no lease.
    virtual void end_lease(lease_id lease, done call) = 0;
};

// ------------------------------------------------------------- backoff

/// Pauses that double with each failure, each shortened at random by up to
/// half so that processes do not come back together.
class backoff {
public:
    backoff(support::duration shortest, support::duration longest,
            std::uint64_t seed);

    support::duration next();
    void succeed();

private:
    support::duration first;
    support::duration last;
    support::duration current;
    std::minstd_rand random;
};

// ------------------------------------------------------------ follower

struct follower_settings {
    std::string prefix;
    /// How long one watch waits: a connection that has gone silent is noticed
    /// after this and the client's own timeout.
    support::duration watch_time = support::milliseconds(2500);
    support::duration shortest_pause = support::milliseconds(100);
    support::duration longest_pause = support::milliseconds(1000);
};

/// What a follower asks the store next.
struct list_call {
    std::string after_key;
};
struct watch_call {
    support::revision after;
};
using follower_call = std::variant<list_call, watch_call>;

/// Keeps the entries under a prefix up to date: lists them, watches for
/// changes, and lists again when the store has forgotten what came between.
class follower {
public:
    follower(follower_settings chosen, std::uint64_t seed);

    /// What to ask now; nothing while a call is under way or a pause lasts.
    /// Counts the call as under way.
    std::optional<follower_call> next_call(support::instant now);

    /// When next_call() is worth trying again.
    support::instant wake_at() const;

    /// Each returns whether entries() is complete up to as_of() now.
    bool on_page(const page& got);
    bool on_changes(support::instant now, const changes& got);
    void on_failure(support::instant now);

    /// Whether the entries have been listed at least once.
    bool is_complete() const;

    const std::map<std::string, entry>& entries() const;
    support::revision as_of() const;
    const follower_settings& settings() const;

    /// Whether the last call failed.
    bool is_failing() const;

private:
    follower_settings chosen;
    backoff pause;
    std::map<std::string, entry> held;
    std::map<std::string, entry> listing;
    std::string list_after;
    support::revision list_as_of;
    support::revision complete_up_to;
    support::instant not_before{INT64_MIN / 2};
    bool under_way = false;
    bool must_list = true;
    bool complete = false;
    bool failing = false;
};

// ----------------------------------------------------------- registrar

struct registrar_settings {
    std::string key;
    /// Outlives a restart of everything, so that who may own a flow stays
    /// listed, and three failed renewals.
    support::duration lease_ttl = support::seconds(15);
    support::duration renew_interval = support::seconds(4);
    support::duration shortest_pause = support::milliseconds(100);
    support::duration longest_pause = support::milliseconds(1500);
};

struct grant_call {};
struct renew_call {
    lease_id lease;
};
struct put_call {
    std::string value;
    lease_id lease;
};
struct end_call {
    lease_id lease;
};
using registrar_call = std::variant<grant_call, renew_call, put_call, end_call>;

/// Keeps one entry in the store as wanted, under a lease.
class registrar {
public:
    registrar(registrar_settings chosen, std::uint64_t seed);

    /// The entry is to hold `value`; nothing means that it is to go.
    void set_wanted(std::optional<std::string> value);

    std::optional<registrar_call> next_call(support::instant now);
    support::instant wake_at() const;

    void on_granted(support::instant now, lease_id lease);
    void on_renewed(support::instant now);
    void on_put(support::instant now);
    /// The lease has ended at the store, and the entry with it.
    void on_lease_ended(support::instant now);
    void on_failure(support::instant now);

    /// Whether the store holds what is wanted, as far as is known.
    bool is_settled() const;
    const registrar_settings& settings() const;

private:
    registrar_settings chosen;
    backoff pause;
    std::optional<std::string> wanted;
    /// What the store holds; empty if nothing, unset inside if not known.
    std::optional<std::string> written;
    std::optional<std::string> writing;
    lease_id lease;
    support::instant renewed;
    support::instant not_before{INT64_MIN / 2};
    bool under_way = false;
};

} // namespace guavastair::registry

#endif
