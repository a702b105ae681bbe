/// Settings of one process, the documents that operators maintain, and the set
/// of documents that a process has received.
///
/// Performs no I/O, except for the two load functions that read a settings
/// file.

#ifndef GUAVASTAIR_CONFIG_HPP
#define GUAVASTAIR_CONFIG_HPP

#include <guavastair/support.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace guavastair::config {

// ------------------------------------------------------------ problems

/// One validation error in a file.
struct problem {
    /// The file's name, as passed to the parser.
    std::string file;
    /// The dotted path of the key, as in "listen.data"; empty for the whole
    /// file.
    std::string key;
    /// The rejected value as JSON text; empty if the key is missing.
    std::string value;
    /// Describes the accepted values.
    std::string allowed;

    auto operator<=>(const problem&) const = default;
};

/// Formats a problem on one line: file, key, value and accepted values.
std::string to_string(const problem& item);

/// Returns error_kind::invalid_input with every problem on a line of its own,
/// or OK if there are none.
absl::Status to_status(std::span<const problem> problems);

/// A value parsed from a file, with every problem of the file. The value is
/// valid only if there are no problems.
template <typename Value> struct checked {
    Value value;
    std::vector<problem> problems;

    bool ok() const {
        return this->problems.empty();
    }
};

/// Describes one accepted key for the documentation and the command line.
struct key_description {
    /// The dotted path.
    std::string key;
    /// For example "integer" or "list of strings".
    std::string type;
    /// For example "ms"; empty if the value has no unit.
    std::string unit;
    /// The accepted values.
    std::string allowed;
    /// As JSON text; "required" for keys without a default.
    std::string default_value;
    std::string meaning;
};

/// Formats `keys` as a Markdown table with one row per key.
std::string to_markdown(std::span<const key_description> keys);

// ----------------------------------------------------------- documents

/// The protocol between callers and a service.
enum class service_protocol : std::uint8_t {
    /// An opaque byte stream.
    tcp,
    /// HTTP/1.1, with admission control for each request.
    http,
};

absl::string_view to_string(service_protocol value);

/// Configuration of one service, maintained by the team that owns it.
struct service_document {
    support::service_name name;
    /// The address that callers connect to.
    support::endpoint address;
    service_protocol protocol = service_protocol::tcp;
    /// Number of requests that one backend server processes concurrently.
    std::uint32_t slots = 1;
    /// Most open connections to one backend server.
    std::uint32_t max_connections = 1000;
    /// How long a draining backend server keeps connections that neither side
    /// closes.
    support::duration drain_limit = support::seconds(300);
    /// http: longest time from the first byte of a request to the last byte of
    /// its response head.
    support::duration request_timeout = support::seconds(30);
    /// http: largest accepted request body.
    std::uint64_t max_request_bytes = 1 << 20;
    /// http: methods that are safe to retry if the response is lost.
    std::vector<std::string> idempotent_methods{"GET", "HEAD", "OPTIONS"};
    /// http: whether a request with a repeated Idempotency-Key receives the
    /// outcome of the first one.
    bool idempotency_key = true;
    /// http: how long the outcome of a request with an Idempotency-Key is
    /// retained.
    support::duration idempotency_window = support::seconds(600);

    bool operator==(const service_document&) const = default;
};

/// Configuration of one data centre, maintained by operators.
struct data_centre_document {
    support::data_centre_name name;
    /// Whether the data centre is out of service.
    bool withdrawn = false;

    bool operator==(const data_centre_document&) const = default;
};

/// Parses and validates a document, and reports all of its problems. `file` is
/// used only to name the source in problems.
checked<service_document> parse_service_document(absl::string_view file,
                                                 absl::string_view text);
checked<data_centre_document>
parse_data_centre_document(absl::string_view file, absl::string_view text);

/// Serializes a document as JSON on one line. The matching parse function
/// returns an equal document.
std::string to_json(const service_document& document);
std::string to_json(const data_centre_document& document);

/// Returns one problem for each other service in `documents` that has the same
/// address as `candidate`.
std::vector<problem>
check_addresses(absl::string_view file, const service_document& candidate,
                std::span<const service_document> documents);

std::vector<key_description> service_document_keys();
std::vector<key_description> data_centre_document_keys();

// ------------------------------------------------------------ settings

/// Lowest severity that is logged.
enum class log_level : std::uint8_t { trace, debug, info, warn, error, off };

absl::string_view to_string(log_level value);

/// Endpoints that a process listens on.
struct listen_settings {
    /// UDP: packets from the packet fabric and from other guavastair processes.
    support::endpoint data;
    /// UDP and TCP: membership and configuration.
    support::endpoint control;
    /// HTTP: metrics, health and status.
    support::endpoint admin;
};

struct store_settings {
    std::vector<support::endpoint> endpoints;
    /// Timeout of one call.
    support::duration timeout = support::milliseconds(2000);
    /// Longest interval at which a watcher rereads the store, in case its watch
    /// missed a change.
    support::duration reread = support::milliseconds(3000);
};

struct log_settings {
    log_level level = log_level::info;
    /// Empty for standard error.
    std::string file;
    /// Level of the decision log. log_level::info logs one line for each
    /// routing or placement decision.
    log_level decisions = log_level::info;
};

/// Settings that balancers and agents share.
struct common_settings {
    support::node_name name;
    support::data_centre_name data_centre;
    listen_settings listen;
    store_settings store;
    /// Control endpoints of other processes, contacted first at startup.
    std::vector<support::endpoint> peers;
    /// File with the key that authenticates control messages.
    std::string control_key_file;
    /// File with the bearer token of the admin endpoint; empty for no token.
    std::string admin_token_file;
    log_settings log;
    /// Whether this process may watch the store.
    bool watcher = true;
};

struct balancer_settings : common_settings {};

struct agent_section {
    support::service_name service;
    /// The backend server that this agent serves.
    support::endpoint server;
    /// Overrides `slots` of the service document; 0 uses the document's value.
    std::uint32_t slots = 0;
    /// Overrides `max_connections` of the service document; 0 uses the
    /// document's value.
    std::uint32_t max_connections = 0;
    /// UDP endpoint on the callers' side that receives the response packets.
    support::endpoint return_path;
};

struct agent_settings : common_settings {
    agent_section agent;
};

/// Parses and validates settings, and reports all of their problems. `file` is
/// used only to name the source in problems.
checked<balancer_settings> parse_balancer_settings(absl::string_view file,
                                                   absl::string_view text);
checked<agent_settings> parse_agent_settings(absl::string_view file,
                                             absl::string_view text);

/// Reads and parses the file at `path`. An unreadable file is reported as one
/// problem.
checked<balancer_settings> load_balancer_settings(const std::string& path);
checked<agent_settings> load_agent_settings(const std::string& path);

std::vector<key_description> balancer_settings_keys();
std::vector<key_description> agent_settings_keys();

// ------------------------------------------------------- document set

enum class document_kind : std::uint8_t { service, data_centre };

/// Identifies one document.
struct document_key {
    document_kind kind = document_kind::service;
    std::string name;

    auto operator<=>(const document_key&) const = default;
};

/// Prefix of every guavastair key in the configuration store.
inline constexpr absl::string_view store_prefix = "guavastair/";

/// Prefix of the store keys of one kind of document.
absl::string_view store_prefix_of(document_kind kind);

/// Returns "guavastair/services/NAME" or "guavastair/data-centres/NAME".
std::string to_store_key(const document_key& key);

/// Parses the result of to_store_key(); returns nullopt for any other key.
std::optional<document_key> parse_store_key(absl::string_view text);

/// One version of one document.
struct change {
    document_key key;
    support::revision revision;
    /// Whether this version deletes the document; `text` is then empty.
    bool deleted = false;
    /// The document as JSON.
    std::string text;

    bool operator==(const change&) const = default;
};

/// The newest versions of the documents that changed after `from`, up to and
/// including `to`, ordered by revision.
struct change_set {
    support::revision from;
    support::revision to;
    /// Whether `entries` lists every existing document. The receiver must then
    /// delete all documents that are not listed, whatever its own revision
    /// is. Deletions before `from` are not listed in a full set.
    bool full = false;
    std::vector<change> entries;

    bool operator==(const change_set&) const = default;
};

enum class apply_result : std::uint8_t {
    /// The set was applied: complete_up_to() now returns its `to`.
    applied,
    /// The set ends at or before complete_up_to(). Nothing changed.
    stale,
    /// The set begins after complete_up_to(). Nothing changed. The missing
    /// changes can be fetched from a peer's changes_since() or from the store.
    gap,
};

absl::string_view to_string(apply_result value);

/// The configuration documents of a process, as of one revision of the store.
/// Change sets may arrive in any order and repeatedly; the revision never
/// decreases. Not thread-safe.
class document_set {
public:
    /// Keeps at most `max_tombstones` deletions. changes_since() returns a full
    /// set for a revision that precedes an evicted deletion.
    explicit document_set(std::size_t max_tombstones = 1024);
    ~document_set();
    document_set(document_set&& other) noexcept;
    document_set& operator=(document_set&& other) noexcept;

    /// The revision up to which all changes have been applied; initially 0.
    /// Processes compare only this number to detect differences.
    support::revision complete_up_to() const;

    apply_result apply(const change_set& changes);

    /// Returns the changes that a process complete up to `from` is missing. If
    /// it is up to date, the set is empty and its `to` equals `from`.
    change_set changes_since(support::revision from) const;

    /// Returns the service's document, or null if there is none.
    std::shared_ptr<const service_document>
    find(const support::service_name& name) const;

    /// Returns every service, ordered by name. If several services have the
    /// same address, only the first by name is returned.
    std::vector<std::shared_ptr<const service_document>> services() const;

    /// Returns the withdrawn data centres, ordered by name.
    std::vector<support::data_centre_name> withdrawn_data_centres() const;

    /// Returns the revision of the current version of the document, or nullopt
    /// if it does not exist.
    std::optional<support::revision> revision_of(const document_key& key) const;

    /// Returns the problems of stored documents, which an editor that bypasses
    /// validation can cause: unknown keys, values that are replaced by their
    /// defaults, and documents that are ignored.
    std::vector<problem> problems() const;

    /// Number of documents, excluding deleted ones.
    std::size_t size() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace guavastair::config

#endif
