/// Types used by all other libraries: time, names, addresses, the closed list
/// of error kinds and the properties of each kind.
///
/// Nothing here does I/O except steady_clock, which reads the operating
/// system's monotonic clock.

#ifndef GUAVASTAIR_SUPPORT_HPP
#define GUAVASTAIR_SUPPORT_HPP

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>

namespace guavastair::support {

// ---------------------------------------------------------------- time

/// A signed span of time in whole milliseconds.
struct duration {
    std::int64_t ms = 0;

    auto operator<=>(const duration&) const = default;
};

constexpr duration operator+(duration left, duration right) {
    return {left.ms + right.ms};
}

constexpr duration operator-(duration left, duration right) {
    return {left.ms - right.ms};
}

constexpr duration operator*(duration span, std::int64_t factor) {
    return {span.ms * factor};
}

constexpr duration operator/(duration span, std::int64_t divisor) {
    return {span.ms / divisor};
}

constexpr duration milliseconds(std::int64_t count) {
    return {count};
}

constexpr duration seconds(std::int64_t count) {
    constexpr std::int64_t ms_per_second = 1000;
    return {count * ms_per_second};
}

/// A point on one process's monotonic clock, in milliseconds since an
/// unspecified start. Instants of different processes cannot be compared.
struct instant {
    std::int64_t ms = 0;

    auto operator<=>(const instant&) const = default;
};

constexpr instant operator+(instant point, duration span) {
    return {point.ms + span.ms};
}

constexpr instant operator-(instant point, duration span) {
    return {point.ms - span.ms};
}

constexpr duration operator-(instant left, instant right) {
    return {left.ms - right.ms};
}

/// A source of time. Decision libraries take an `instant` argument instead;
/// only the code that owns sockets and timers uses a clock.
class clock {
public:
    virtual ~clock() = default;

    /// The current time. Monotonic.
    virtual instant now() const = 0;
};

/// The operating system's monotonic clock.
class steady_clock final : public clock {
public:
    instant now() const override;
};

/// A clock that tests advance explicitly. Starts at 0 ms.
class manual_clock final : public clock {
public:
    instant now() const override;

    /// Advances the clock by `span`, which must not be negative.
    void advance(duration span);

private:
    instant current;
};

// --------------------------------------------------------------- names

/// A name chosen by operators. `Tag` gives each kind of name a type of its own.
template <typename Tag> struct name {
    std::string value;

    auto operator<=>(const name&) const = default;

    template <typename Hash> friend Hash AbslHashValue(Hash state, name n) {
        return Hash::combine(std::move(state), n.value);
    }
};

/// The name of a service: the key of its document.
using service_name = name<struct service_name_tag>;
/// The name of a data centre.
using data_centre_name = name<struct data_centre_name_tag>;
/// The name of a process from its settings, stable across restarts.
using node_name = name<struct node_name_tag>;

/// Longest name that is_valid_name accepts, in bytes.
inline constexpr std::size_t max_name_size = 63;

/// Whether `text` is a valid name: 1 to max_name_size characters out of a-z,
/// 0-9 and '-', starting with a letter.
bool is_valid_name(absl::string_view text);

/// Identifies one run of a process: a random value drawn at its start, so that
/// a replacement VM at the same address is a different member.
struct member_id {
    std::uint64_t value = 0;

    auto operator<=>(const member_id&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, member_id id) {
        return Hash::combine(std::move(state), id.value);
    }
};

/// Formats `id` as 16 lower-case hexadecimal digits.
std::string to_string(member_id id);

/// Revision of a document: the configuration store's revision of the write that
/// created it. 0 means that it was never written.
struct revision {
    std::int64_t value = 0;

    auto operator<=>(const revision&) const = default;
};

// ----------------------------------------------------------- addresses

/// An IPv4 address, in host byte order.
struct ipv4_address {
    std::uint32_t value = 0;

    auto operator<=>(const ipv4_address&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, ipv4_address address) {
        return Hash::combine(std::move(state), address.value);
    }
};

/// An IPv4 address with a port, both in host byte order.
struct endpoint {
    ipv4_address address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;

    template <typename Hash> friend Hash AbslHashValue(Hash state, endpoint e) {
        return Hash::combine(std::move(state), e.address, e.port);
    }
};

/// Parses "a.b.c.d". Fails with error_kind::invalid_input.
absl::StatusOr<ipv4_address> parse_ipv4_address(absl::string_view text);

/// Parses "a.b.c.d:port" with a port from 1 to 65535. Fails with
/// error_kind::invalid_input.
absl::StatusOr<endpoint> parse_endpoint(absl::string_view text);

std::string to_string(ipv4_address address);
std::string to_string(endpoint address);

// -------------------------------------------------------------- errors

/// The kinds of failure of all operations. The list is closed: each kind has
/// one row in the table behind properties_of().
enum class error_kind : std::uint8_t {
    invalid_input,
    not_found,
    revision_conflict,
    store_unavailable,
    write_outcome_unknown,
    request_outcome_unknown,
    refused_overloaded,
    refused_cold,
    refused_draining,
    refused_no_server,
    refused_withdrawn,
    deadline_exceeded,
    cancelled,
    unauthorized,
    too_large,
    address_in_use,
    peer_unreachable,
    internal,
};

/// Number of values in error_kind.
inline constexpr std::size_t error_kind_count = 18;

/// Whether a failed request or edit was executed, as far as is certain.
enum class outcome : std::uint8_t { done, not_run, unknown };

/// How an error kind is reported to the outside.
struct error_properties {
    error_kind kind;
    /// Stable name used in logs, metrics and JSON.
    absl::string_view name;
    absl::StatusCode status_code;
    int http_status;
    /// Exit code of the command-line tool.
    int exit_code;
    outcome result;
    /// Whether the response tells when to retry (Retry-After).
    bool has_retry_after;
};

/// Returns the row of `kind` in the table of error kinds.
const error_properties& properties_of(error_kind kind);

/// The whole table, in the order of error_kind.
std::span<const error_properties> all_error_properties();

absl::string_view to_string(error_kind kind);
absl::string_view to_string(outcome result);

/// Makes a status with `kind` as a payload and `message` as its text.
absl::Status make_error(error_kind kind, absl::string_view message);

/// The kind that make_error() attached to `status`; error_kind::internal for
/// any other failed status. `status` must not be OK.
error_kind kind_of(const absl::Status& status);

// ---------------------------------------------------------------- text

/// The entry of `candidates` with the smallest edit distance to `text`; nullopt
/// if none is close enough to be a likely typo. The result points into
/// `candidates`.
std::optional<absl::string_view>
nearest_name(absl::string_view text,
             std::span<const absl::string_view> candidates);

} // namespace guavastair::support

template <typename Tag> struct std::hash<guavastair::support::name<Tag>> {
    std::size_t operator()(const guavastair::support::name<Tag>& n) const {
        return std::hash<std::string>{}(n.value);
    }
};

template <> struct std::hash<guavastair::support::member_id> {
    std::size_t operator()(guavastair::support::member_id id) const noexcept {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

#endif
