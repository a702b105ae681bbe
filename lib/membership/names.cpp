#include <guavastair/membership.hpp>

#include <array>

namespace guavastair::membership {

namespace {

constexpr std::array<absl::string_view, 2> role_names{"balancer", "agent"};

constexpr std::array<absl::string_view, 4> state_names{"joining", "ready",
                                                       "draining", "left"};

constexpr std::array<absl::string_view, 3> liveness_names{"alive", "suspect",
                                                          "failed"};

constexpr std::array<absl::string_view, message_kind_count> kind_names{
    "ping",   "ack",      "ping_request", "nack",   "gossip",
    "digest", "versions", "pull",         "records"};

} // namespace

absl::string_view to_string(role value) {
    return role_names[static_cast<std::size_t>(value)];
}

absl::string_view to_string(member_state value) {
    return state_names[static_cast<std::size_t>(value)];
}

absl::string_view to_string(liveness value) {
    return liveness_names[static_cast<std::size_t>(value)];
}

absl::string_view to_string(message_kind kind) {
    return kind_names[static_cast<std::size_t>(kind)];
}

bool is_present(const member_view& member) {
    return member.reachable && member.liveness != liveness::failed &&
           member.record.state != member_state::left;
}

bool takes_new_work(const member_view& member) {
    return member.reachable && member.liveness == liveness::alive &&
           member.record.state == member_state::ready;
}

} // namespace guavastair::membership
