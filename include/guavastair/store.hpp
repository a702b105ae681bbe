/// The key-value service: a client, operators' edits, and a watcher that keeps
/// a process up to date.

#ifndef GUAVASTAIR_STORE_HPP
#define GUAVASTAIR_STORE_HPP

#include <guavastair/config.hpp>
#include <guavastair/support.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace guavastair::store {

// -------------------------------------------------------------- client

/// Every kind of call that the store counts.
enum class call_kind : std::uint8_t {
    range,
    write,
    lease_grant,
    lease_keepalive,
    lease_revoke,
    watch,
};

inline constexpr std::size_t call_kind_count = 6;

absl::string_view to_string(call_kind kind);

/// Calls made so far, by kind. Thread-safe.
class call_counters {
public:
    void count(call_kind kind);
    std::uint64_t of(call_kind kind) const;
    std::uint64_t total() const;

private:
    std::array<std::atomic<std::uint64_t>, call_kind_count> counts{};
};

/// Identifies a lease; 0 stands for none.
struct lease_id {
    std::int64_t value = 0;

    auto operator<=>(const lease_id&) const = default;
};

/// One key as the store holds it.
struct key_value {
    std::string key;
    std::string value;
    support::revision create_revision;
    support::revision mod_revision;
    /// Number of writes since the key was created, beginning with 1.
    std::int64_t version = 0;
    lease_id lease;

    bool operator==(const key_value&) const = default;
};

struct range_request {
    /// A key, or a prefix if `is_prefix` is set.
    std::string key;
    bool is_prefix = false;
    /// Leaves out keys written before this revision.
    support::revision min_mod_revision;
};

struct range_result {
    /// The store's revision at the time of reading.
    support::revision store_revision;
    std::vector<key_value> entries;
};

/// What a condition demands of a key's revision.
enum class condition_kind : std::uint8_t {
    /// It equals `revision`; 0 for a key that does not exist.
    equals,
    /// It is not above `revision`.
    at_most,
};

struct condition {
    std::string key;
    /// Whether every key that begins with `key` must meet the condition.
    bool is_prefix = false;
    condition_kind kind = condition_kind::equals;
    support::revision revision;
};

enum class operation_kind : std::uint8_t { put, remove };

struct operation {
    operation_kind kind = operation_kind::put;
    std::string key;
    std::string value;
    /// The lease that a put ties the key to.
    lease_id lease;
};

/// Carries out `operations` if every condition holds, in one step.
struct write_request {
    std::vector<condition> conditions;
    std::vector<operation> operations;
};

struct write_result {
    /// Whether the conditions held.
    bool succeeded = false;
    support::revision store_revision;
    /// If they did not: the present state of the keys that the operations
    /// name, where they exist.
    std::vector<key_value> current;
};

struct watch_request {
    std::string prefix;
    /// The first revision to report.
    support::revision from;
};

struct watch_event {
    /// For a deletion only `key` and `mod_revision` are set.
    key_value entry;
    bool deleted = false;
};

/// One message of a watch.
struct watch_message {
    support::revision store_revision;
    std::vector<watch_event> events;
    /// Set if the asked-for revision has been discarded; the watch is over.
    bool compacted = false;
};

/// An open watch.
class watch_stream {
public:
    virtual ~watch_stream() = default;

    /// Waits for the next message. Fails with error_kind::store_unavailable
    /// when the stream has ended and error_kind::cancelled after cancel().
    virtual absl::StatusOr<watch_message> next() = 0;

    /// Ends the stream and a next() that is waiting. Thread-safe.
    virtual void cancel() = 0;
};

/// A client of the store. Thread-safe; each call blocks for at most the
/// client's timeout.
///
/// Errors: error_kind::store_unavailable for a call that certainly had no
/// effect, error_kind::write_outcome_unknown for a write that may have had.
class client {
public:
    virtual ~client() = default;

    virtual absl::StatusOr<range_result>
    range(const range_request& request) = 0;
    virtual absl::StatusOr<write_result>
    write(const write_request& request) = 0;
    virtual absl::StatusOr<lease_id> grant_lease(support::duration ttl) = 0;
    /// Fails with error_kind::not_found if the lease has lapsed.
    virtual absl::Status keep_alive(lease_id lease) = 0;
    virtual absl::Status revoke(lease_id lease) = 0;
    virtual absl::StatusOr<std::unique_ptr<watch_stream>>
    watch(const watch_request& request) = 0;

    virtual const call_counters& counters() const = 0;
};

/// A client of etcd version 3's JSON gateway. Each call opens a connection of
/// its own, so that none depends on an old one that has gone silent; the
/// endpoints are tried in turn.
std::unique_ptr<client> make_etcd_client(const config::store_settings& at);

// -------------------------------------------------------------- editor

/// A generator with the operating system's entropy.
std::mt19937_64 make_random();

/// Identifies one operator's edit, across retries. 128 random bits.
struct edit_id {
    std::string value;

    auto operator<=>(const edit_id&) const = default;
};

/// What the store holds under a document's key: the document and the ids of
/// the last edits, newest last. A deleted document leaves this record behind.
struct stored_document {
    bool deleted = false;
    /// The document as JSON; empty if deleted.
    std::string text;
    std::vector<edit_id> edits;

    bool operator==(const stored_document&) const = default;
};

/// Edit ids that a stored document remembers.
inline constexpr std::size_t max_remembered_edits = 8;

std::string to_json(const stored_document& stored);
absl::StatusOr<stored_document> parse_stored_document(absl::string_view text);

/// An edit that is in the store for good.
struct accepted_edit {
    /// The revision that the edit made, or, if `superseded`, a later one.
    support::revision revision;
    /// Whether another edit has followed it already.
    bool superseded = false;
    /// Whether nothing had to be written.
    bool unchanged = false;
};

/// A document that the store holds.
struct versioned_document {
    support::revision revision;
    std::string text;
};

struct editor_options {
    /// Times that a write whose outcome is unknown is sent again.
    int max_attempts = 5;
    /// Pause before the first repetition; doubles with each.
    support::duration first_pause = support::milliseconds(100);
};

/// Carries out operators' edits: each is one compare-and-swap on the revision
/// that the operator edited. Not thread-safe.
///
/// Errors, each of which is true as long as all edits are made this way:
/// error_kind::invalid_input, error_kind::not_found,
/// error_kind::revision_conflict (not written, another edit came first),
/// error_kind::store_unavailable (not written), and
/// error_kind::write_outcome_unknown (may or may not be written).
class editor {
public:
    /// Sleeps for the given time; tests put their own.
    using sleeper = std::function<void(support::duration)>;

    editor(client& store, editor_options options, std::mt19937_64 random,
           sleeper sleep);
    ~editor();

    /// Writes the document on top of `base`; 0 creates it. No other service
    /// may have its address.
    absl::StatusOr<accepted_edit> put(const config::service_document& document,
                                      support::revision base);

    /// Deletes the document at `base`.
    absl::StatusOr<accepted_edit> remove(const support::service_name& name,
                                         support::revision base);

    /// Withdraws or returns a data centre, on top of `base` if given, else of
    /// what the store holds when the call begins. 0 makes a data centre known;
    /// without it one that is not known is error_kind::not_found.
    absl::StatusOr<accepted_edit>
    set_withdrawn(const support::data_centre_name& name, bool withdrawn,
                  std::optional<support::revision> base);

    absl::StatusOr<versioned_document> get(const config::document_key& key);

    /// Every document of one kind, ordered by name.
    absl::StatusOr<std::vector<config::change>>
    list(config::document_kind kind);

private:
    struct state;
    std::unique_ptr<state> self;
};

// ------------------------------------------------------------- watcher

struct watcher_options {
    /// Longest time between two looks for changes that the watch did not
    /// bring.
    support::duration reread = support::seconds(3);
    /// First and longest pause before a broken watch is opened again.
    support::duration min_backoff = support::milliseconds(200);
    support::duration max_backoff = support::seconds(5);
};

/// What a watcher's shell has to do now.
struct watcher_actions {
    /// Read the keys written at or after this revision.
    std::optional<support::revision> read_from;
    /// Open a watch that begins at this revision.
    std::optional<support::revision> open_watch;
    bool close_watch = false;
    /// Changes to take in, in this order.
    std::vector<config::change_set> deliver;
};

/// Decides when to read and watch, and which changes to hand on. No I/O. At
/// most one read and one watch are under way at a time: each that an action
/// starts ends with read_done(), read_failed() or watch_ended(), with a
/// compacted message, or with close_watch.
class watcher_core {
public:
    watcher_core(watcher_options options, support::revision held,
                 std::mt19937_64 random);
    ~watcher_core();
    watcher_core(watcher_core&& other) noexcept;
    watcher_core& operator=(watcher_core&& other) noexcept;

    /// To be called at wake_at() or later.
    watcher_actions tick(support::instant now);
    watcher_actions read_done(support::instant now, const range_result& result);
    watcher_actions read_failed(support::instant now);
    watcher_actions watch_reported(support::instant now,
                                   const watch_message& message);
    watcher_actions watch_ended(support::instant now);

    /// Tells that changes up to `revision` came from elsewhere.
    void advance_to(support::revision revision);

    /// The revision up to which every change has been handed on.
    support::revision complete_up_to() const;

    /// When tick() is due.
    support::instant wake_at() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

/// Runs a watcher_core on threads of its own.
class watcher {
public:
    /// Called with each change set, in order, on a thread of the watcher's.
    using callback = std::function<void(const config::change_set&)>;

    /// Starts at once; `held` is what the process holds already. `store` and
    /// `time` must outlive the watcher.
    watcher(client& store, const support::clock& time, watcher_options options,
            support::revision held, callback deliver);
    /// Stops and joins the threads.
    ~watcher();

    /// Tells that changes up to `revision` came from peers. Thread-safe.
    void advance_to(support::revision revision);

    /// How long ago the store last answered. Thread-safe.
    support::duration time_since_answer() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace guavastair::store

#endif
