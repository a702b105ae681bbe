#include <guavastair/admission.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace guavastair::admission {

namespace {

// Text form of a UUID (RFC 9562): 8-4-4-4-12 hexadecimal digits. The third
// group starts with the version, the fourth with the variant. In version 7 the
// first two groups are the creation time in ms.
constexpr std::size_t uuid_size = 36;
constexpr std::array<std::size_t, 4> dash_positions{8, 13, 18, 23};
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
constexpr std::size_t timestamp_high_digits = 8;
constexpr std::size_t timestamp_low_position = 9;
constexpr std::size_t timestamp_low_digits = 4;

bool is_uuid(absl::string_view text) {
    if (text.size() != uuid_size) {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool expects_dash =
            std::find(dash_positions.begin(), dash_positions.end(), i) !=
            dash_positions.end();
        const bool is_valid =
            expects_dash ? text[i] == '-' : absl::ascii_isxdigit(text[i]);
        if (!is_valid) {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<wall_time> creation_time(absl::string_view key) {
    if (!is_uuid(key) || key[version_position] != '7') {
        return std::nullopt;
    }
    const absl::string_view variants = "89abAB";
    if (variants.find(key[variant_position]) == absl::string_view::npos) {
        return std::nullopt;
    }
    const std::string digits =
        absl::StrCat(key.substr(0, timestamp_high_digits),
                     key.substr(timestamp_low_position, timestamp_low_digits));
    std::uint64_t ms = 0;
    if (!absl::SimpleHexAtoi(digits, &ms)) {
        return std::nullopt;
    }
    return wall_time{static_cast<std::int64_t>(ms)};
}

std::optional<support::member_id>
home_agent_of(const operation_key& key,
              std::span<const support::member_id> members) {
    // A service name contains no '/', so that the text is unambiguous.
    const std::string text = absl::StrCat(key.service.value, "/", key.key);
    std::optional<support::member_id> best;
    std::uint64_t best_weight = 0;
    for (const support::member_id member : members) {
        const std::uint64_t weight =
            XXH3_64bits_withSeed(text.data(), text.size(), member.value);
        const bool is_higher = !best.has_value() || weight > best_weight ||
                               (weight == best_weight && member > *best);
        if (is_higher) {
            best = member;
            best_weight = weight;
        }
    }
    return best;
}

key_home_history::key_home_history(support::member_id own_id,
                                   support::duration settling_time)
    : own_id(own_id), settling_time(settling_time) {}

void key_home_history::view_changed(support::instant now,
                                    std::vector<support::member_id> members) {
    this->recent_views.push_back({now, std::move(members)});
    // Drops views that were replaced before the settling time began.
    const support::instant window_start = now - this->settling_time;
    std::size_t expired_views = 0;
    while (expired_views + 1 < this->recent_views.size() &&
           this->recent_views[expired_views + 1].valid_from <= window_start) {
        ++expired_views;
    }
    this->recent_views.erase(this->recent_views.begin(),
                             this->recent_views.begin() +
                                 static_cast<std::ptrdiff_t>(expired_views));
}

bool key_home_history::is_settled_home(support::instant now,
                                       const operation_key& key) const {
    const support::instant window_start = now - this->settling_time;
    if (this->recent_views.empty() ||
        this->recent_views.front().valid_from > window_start) {
        return false;
    }
    for (std::size_t i = 0; i < this->recent_views.size(); ++i) {
        const bool is_current = i + 1 == this->recent_views.size();
        if (!is_current &&
            this->recent_views[i + 1].valid_from <= window_start) {
            continue;
        }
        if (home_agent_of(key, this->recent_views[i].members) != this->own_id) {
            return false;
        }
    }
    return true;
}

std::optional<support::member_id>
key_home_history::home(const operation_key& key) const {
    if (this->recent_views.empty()) {
        return std::nullopt;
    }
    return home_agent_of(key, this->recent_views.back().members);
}

} // namespace guavastair::admission
