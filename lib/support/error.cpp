#include <guavastair/support.hpp>

#include <absl/strings/cord.h>

#include <array>
#include <cassert>

namespace guavastair::support {

namespace {

using code = absl::StatusCode;

constexpr absl::string_view payload_url = "guavastair/error_kind";

constexpr std::array<error_properties, error_kind_count> table{{
    {error_kind::invalid_input, "invalid_input", code::kInvalidArgument, 400, 2,
     outcome::not_run, false},
    {error_kind::not_found, "not_found", code::kNotFound, 404, 3,
     outcome::not_run, false},
    {error_kind::revision_conflict, "revision_conflict", code::kAborted, 409, 4,
     outcome::not_run, false},
    {error_kind::store_unavailable, "store_unavailable", code::kUnavailable,
     503, 5, outcome::not_run, true},
    {error_kind::write_outcome_unknown, "write_outcome_unknown", code::kUnknown,
     504, 6, outcome::unknown, false},
    {error_kind::request_outcome_unknown, "request_outcome_unknown",
     code::kUnknown, 502, 6, outcome::unknown, false},
    {error_kind::refused_overloaded, "refused_overloaded",
     code::kResourceExhausted, 503, 7, outcome::not_run, true},
    {error_kind::refused_cold, "refused_cold", code::kResourceExhausted, 503, 7,
     outcome::not_run, true},
    {error_kind::refused_draining, "refused_draining", code::kResourceExhausted,
     503, 7, outcome::not_run, true},
    {error_kind::refused_no_server, "refused_no_server", code::kUnavailable,
     503, 7, outcome::not_run, true},
    {error_kind::refused_withdrawn, "refused_withdrawn", code::kUnavailable,
     503, 7, outcome::not_run, true},
    {error_kind::deadline_exceeded, "deadline_exceeded",
     code::kDeadlineExceeded, 504, 8, outcome::not_run, true},
    {error_kind::cancelled, "cancelled", code::kCancelled, 499, 8,
     outcome::unknown, false},
    {error_kind::unauthorized, "unauthorized", code::kUnauthenticated, 401, 9,
     outcome::not_run, false},
    {error_kind::too_large, "too_large", code::kOutOfRange, 413, 2,
     outcome::not_run, false},
    {error_kind::address_in_use, "address_in_use", code::kAlreadyExists, 500,
     10, outcome::not_run, false},
    {error_kind::peer_unreachable, "peer_unreachable", code::kUnavailable, 503,
     5, outcome::not_run, true},
    {error_kind::internal, "internal", code::kInternal, 500, 1,
     outcome::unknown, false},
}};

constexpr std::array<absl::string_view, 3> outcome_names{"done", "not_run",
                                                         "unknown"};

} // namespace

const error_properties& properties_of(error_kind kind) {
    const auto index = static_cast<std::size_t>(kind);
    assert(index < table.size() && "error_kind out of range");
    assert(table[index].kind == kind && "error table out of order");
    return table[index];
}

std::span<const error_properties> all_error_properties() {
    return table;
}

absl::string_view to_string(error_kind kind) {
    return properties_of(kind).name;
}

absl::string_view to_string(outcome result) {
    return outcome_names[static_cast<std::size_t>(result)];
}

absl::Status make_error(error_kind kind, absl::string_view message) {
    const error_properties& row = properties_of(kind);
    absl::Status status(row.status_code, message);
    status.SetPayload(payload_url, absl::Cord(row.name));
    return status;
}

error_kind kind_of(const absl::Status& status) {
    assert(!status.ok() && "an OK status has no error kind");
    const auto payload = status.GetPayload(payload_url);
    if (!payload.has_value()) {
        return error_kind::internal;
    }
    for (const error_properties& row : table) {
        if (*payload == row.name) {
            return row.kind;
        }
    }
    return error_kind::internal;
}

} // namespace guavastair::support
