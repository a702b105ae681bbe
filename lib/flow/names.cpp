#include <guavastair/flow.hpp>

#include <cassert>

namespace guavastair::flow {

static constexpr std::array<absl::string_view, drop_reason_count> drop_names{
    "none",
    "truncated",
    "oversized",
    "not_ipv4",
    "bad_header_length",
    "bad_total_length",
    "bad_header_checksum",
    "fragment",
    "not_tcp",
    "bad_tcp_header",
    "bad_tcp_checksum",
    "frame_truncated",
    "frame_not_gue",
    "frame_bad_length",
    "frame_bad_protocol",
    "frame_bad_version",
    "frame_bad_candidates",
    "frame_bad_hop",
    "unknown_service",
    "no_candidates",
    "foreign_service",
    "hop_limit",
    "owner_not_found",
};

static constexpr std::array<absl::string_view, 3> admission_names{
    "take", "prefer_other", "refuse"};

static constexpr std::array<absl::string_view, 4> action_names{
    "deliver", "pass_on", "reset", "drop"};

static constexpr std::array<absl::string_view, 10> basis_names{
    "owned",   "opened",    "completed",    "redirected", "preferred_other",
    "refused", "not_owner", "wrong_member", "exhausted",  "not_served"};

template <std::size_t Size, typename Enum>
static absl::string_view
name_in(const std::array<absl::string_view, Size>& names, Enum value) {
    const auto index = static_cast<std::size_t>(value);
    assert(index < Size && "the value is not an enumerator");
    return names[index];
}

absl::string_view to_string(drop_reason reason) {
    return name_in(drop_names, reason);
}

absl::string_view to_string(admission_decision decision) {
    return name_in(admission_names, decision);
}

absl::string_view to_string(action_kind kind) {
    return name_in(action_names, kind);
}

absl::string_view to_string(decision_basis basis) {
    return name_in(basis_names, basis);
}

} // namespace guavastair::flow
