#include <guavastair/ownership.hpp>

#include <array>

namespace guavastair::ownership {

static constexpr std::array<absl::string_view, gate_reason_count> reason_names{
    "open",
    "no_configuration",
    "unconfirmed",
    "unregistered",
    "no_route",
    "foreign_service",
    "outdated",
    "withdrawn",
    "server_unknown",
    "draining",
    "silent",
    "gone",
    "cold",
    "busy",
    "full"};

static constexpr std::array<absl::string_view, 5> action_names{
    "deliver", "pass_on", "answer_absent", "reset", "drop"};

static constexpr std::array<absl::string_view, 12> basis_names{
    "owned",      "opened",           "repeated_opening",
    "passed",     "turned_away",      "asked_server",
    "not_here",   "lost_with_server", "returned_by_server",
    "table_full", "starting",         "outdated"};

absl::string_view to_string(gate_reason reason) {
    return reason_names[static_cast<std::size_t>(reason)];
}

absl::string_view to_string(action_kind kind) {
    return action_names[static_cast<std::size_t>(kind)];
}

absl::string_view to_string(basis why) {
    return basis_names[static_cast<std::size_t>(why)];
}

} // namespace guavastair::ownership
