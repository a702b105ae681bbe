/// The configuration store: a client, an editor for operators' changes, and a
/// watcher that delivers changes to a process.

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

/// Kinds of store calls that are counted separately.
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

/// Number of calls made, by kind. Thread-safe.
class call_counters {
public:
    void count(call_kind kind);
    std::uint64_t of(call_kind kind) const;
    std::uint64_t total() const;

private:
    std::array<std::atomic<std::uint64_t>, call_kind_count> counts{};
};

/// Identifies a lease; 0 means no lease.
struct lease_id {
    std::int64_t value = 0;

    auto operator<=>(const lease_id&) const = default;
};

/// One key with its value and metadata in the store.
struct key_value {
    std::string key;
    std::string value;
    support::revision create_revision;
    support::revision mod_revision;
    /// Number of writes since the key was created, starting at 1.
    std::int64_t version = 0;
    lease_id lease;

    bool operator==(const key_value&) const = default;
};

struct range_request {
    /// A key, or a prefix if `is_prefix` is set.
    std::string key;
    bool is_prefix = false;
    /// Omits keys that were last written before this revision.
    support::revision min_mod_revision;
};

struct range_result {
    /// The store's revision when the range was read.
    support::revision store_revision;
    std::vector<key_value> entries;
};

/// How a condition compares a key's modification revision.
enum class condition_kind : std::uint8_t {
    /// Equal to `revision`; a key that does not exist has revision 0.
    equals,
    /// Less than or equal to `revision`.
    at_most,
};

struct condition {
    std::string key;
    /// Whether the condition applies to every key that starts with `key`.
    bool is_prefix = false;
    condition_kind kind = condition_kind::equals;
    support::revision revision;
};

enum class operation_kind : std::uint8_t { put, remove };

struct operation {
    operation_kind kind = operation_kind::put;
    std::string key;
    std::string value;
    /// The lease that a put attaches the key to.
    lease_id lease;
};

/// A transaction: applies all `operations` atomically if every condition
/// holds, and none otherwise.
struct write_request {
    std::vector<condition> conditions;
    std::vector<operation> operations;
};

struct write_result {
    /// Whether the conditions held.
    bool succeeded = false;
    support::revision store_revision;
    /// If the conditions did not hold: the current state of those keys named
    /// by the operations that exist.
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

/// One message received on a watch.
struct watch_message {
    support::revision store_revision;
    std::vector<watch_event> events;
    /// Set if the requested revision has been compacted away. The store ends
    /// the watch after this message.
    bool compacted = false;
};

/// An open watch.
class watch_stream {
public:
    virtual ~watch_stream() = default;

    /// Blocks until the next message arrives. Fails with
    /// error_kind::store_unavailable when the stream has ended and with
    /// error_kind::cancelled after cancel().
    virtual absl::StatusOr<watch_message> next() = 0;

    /// Ends the stream and unblocks a pending next(). Thread-safe.
    virtual void cancel() = 0;
};

/// A client of the store. Thread-safe. Each call blocks for at most the
/// client's timeout.
///
/// Errors: error_kind::store_unavailable if the call certainly had no effect,
/// error_kind::write_outcome_unknown if a write may have taken effect.
class client {
public:
    virtual ~client() = default;

    virtual absl::StatusOr<range_result>
    range(const range_request& request) = 0;
    virtual absl::StatusOr<write_result>
    write(const write_request& request) = 0;
    virtual absl::StatusOr<lease_id> grant_lease(support::duration ttl) = 0;
    /// Fails with error_kind::not_found if the lease has expired.
    virtual absl::Status keep_alive(lease_id lease) = 0;
    virtual absl::Status revoke(lease_id lease) = 0;
    virtual absl::StatusOr<std::unique_ptr<watch_stream>>
    watch(const watch_request& request) = 0;

    virtual const call_counters& counters() const = 0;
};

/// Creates a client of the JSON gateway of etcd version 3. Each call opens its
/// own connection, so that no call depends on an old connection that has
/// stopped responding. The endpoints are tried in turn.
std::unique_ptr<client> make_etcd_client(const config::store_settings& at);

// -------------------------------------------------------------- editor

/// Creates a random number generator seeded from the operating system.
std::mt19937_64 make_random();

/// Identifies one edit by an operator; retries of the edit keep the id.
/// 128 random bits in hexadecimal.
struct edit_id {
    std::string value;

    auto operator<=>(const edit_id&) const = default;
};

/// The value stored under a document's key: the document and the ids of its
/// most recent edits, newest last. The record is kept when the document is
/// deleted.
struct stored_document {
    bool deleted = false;
    /// The document as JSON; empty if deleted.
    std::string text;
    std::vector<edit_id> edits;

    bool operator==(const stored_document&) const = default;
};

/// Number of edit ids kept in a stored document.
inline constexpr std::size_t max_remembered_edits = 8;

std::string to_json(const stored_document& stored);
absl::StatusOr<stored_document> parse_stored_document(absl::string_view text);

/// An edit that has been committed to the store.
struct accepted_edit {
    /// The revision created by the edit or, if `superseded`, by a later edit.
    support::revision revision;
    /// Whether a later edit has already replaced this one.
    bool superseded = false;
    /// Whether the store already held the requested document, so that nothing
    /// was written.
    bool unchanged = false;
};

/// A document and the revision at which it was last written.
struct versioned_document {
    support::revision revision;
    std::string text;
};

struct editor_options {
    /// Maximum number of times that one write is sent. Also limits how often
    /// a put is attempted again because other services have changed.
    int max_attempts = 5;
    /// Pause before the first retry; doubles with each further retry.
    support::duration first_pause = support::milliseconds(100);
};

/// Applies operators' edits. Each edit is one compare-and-swap on the revision
/// that the operator started from. Not thread-safe.
///
/// Errors, reliable as long as all edits are made through this class:
/// error_kind::invalid_input, error_kind::not_found,
/// error_kind::revision_conflict (not written; another edit came first),
/// error_kind::store_unavailable (not written), and
/// error_kind::write_outcome_unknown (may or may not have been written).
class editor {
public:
    /// Sleeps for the given time. Tests supply their own.
    using sleeper = std::function<void(support::duration)>;

    editor(client& store, editor_options options, std::mt19937_64 random,
           sleeper sleep);
    ~editor();

    /// Replaces revision `base` of the document; 0 creates the document. Fails
    /// with error_kind::invalid_input if another service has its address.
    absl::StatusOr<accepted_edit> put(const config::service_document& document,
                                      support::revision base);

    /// Deletes the document if it is at revision `base`.
    absl::StatusOr<accepted_edit> remove(const support::service_name& name,
                                         support::revision base);

    /// Withdraws a data centre or returns it to service. Replaces revision
    /// `base` or, without `base`, the revision that the store holds when the
    /// call starts. A `base` of 0 creates the data centre's document. Without
    /// `base`, fails with error_kind::not_found if there is no document.
    absl::StatusOr<accepted_edit>
    set_withdrawn(const support::data_centre_name& name, bool withdrawn,
                  std::optional<support::revision> base);

    absl::StatusOr<versioned_document> get(const config::document_key& key);

    /// Returns every document of one kind, ordered by name.
    absl::StatusOr<std::vector<config::change>>
    list(config::document_kind kind);

private:
    struct state;
    std::unique_ptr<state> self;
};

// ------------------------------------------------------------- watcher

struct watcher_options {
    /// Longest interval between two reads for changes that the watch did not
    /// report.
    support::duration reread = support::seconds(3);
    /// First and longest pause before a failed watch or read is retried.
    support::duration min_backoff = support::milliseconds(200);
    support::duration max_backoff = support::seconds(5);
};

/// Actions that watcher_core requests from its caller.
struct watcher_actions {
    /// Read the keys that were written at or after this revision.
    std::optional<support::revision> read_from;
    /// Open a watch that starts at this revision.
    std::optional<support::revision> open_watch;
    bool close_watch = false;
    /// Change sets to deliver, in this order.
    std::vector<config::change_set> deliver;
};

/// Decides when to read and watch the store and which changes to deliver.
/// Performs no I/O. At most one read and one watch are active at a time. A read
/// ends with read_done() or read_failed(). A watch ends with watch_ended(), a
/// compacted message or the action close_watch.
class watcher_core {
public:
    watcher_core(watcher_options options, support::revision initial_revision,
                 std::mt19937_64 random);
    ~watcher_core();
    watcher_core(watcher_core&& other) noexcept;
    watcher_core& operator=(watcher_core&& other) noexcept;

    /// Starts the calls that are due. Call at wake_at() or later.
    watcher_actions tick(support::instant now);
    watcher_actions read_done(support::instant now, const range_result& result);
    watcher_actions read_failed(support::instant now);
    watcher_actions watch_reported(support::instant now,
                                   const watch_message& message);
    watcher_actions watch_ended(support::instant now);

    /// Records that all changes up to `revision` have been obtained from
    /// another source.
    void advance_to(support::revision revision);

    /// The revision up to which every change has been delivered or obtained
    /// from another source.
    support::revision complete_up_to() const;

    /// Returns when tick() is due.
    support::instant wake_at() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

/// Runs a watcher_core on its own threads.
class watcher {
public:
    /// Called with each change set, in order, on one of the watcher's threads.
    using callback = std::function<void(const config::change_set&)>;

    /// Starts the threads. The process already has every change up to
    /// `initial_revision`; 0 means none. `store` and `time` must outlive the
    /// watcher.
    watcher(client& store, const support::clock& time, watcher_options options,
            support::revision initial_revision, callback deliver);
    /// Stops the threads and waits for them.
    ~watcher();

    /// Records that peers have supplied all changes up to `revision`.
    /// Thread-safe.
    void advance_to(support::revision revision);

    /// Returns the time since the store last responded. Thread-safe.
    support::duration time_since_answer() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace guavastair::store

#endif
