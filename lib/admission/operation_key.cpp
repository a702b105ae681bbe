#include <guavastair/admission.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace guavastair::admission {

namespace {

// Layout of a UUID in text, RFC 9562: 8-4-4-4-12 hexadecimal digits, the
// version at the third group's start, the variant at the fourth's.
constexpr std::size_t uuid_size = 36;
constexpr std::array<std::size_t, 4> dashes{8, 13, 18, 23};
constexpr std::size_t version_at = 14;
constexpr std::size_t variant_at = 19;
constexpr std::size_t high_digits = 8;
constexpr std::size_t low_at = 9;
constexpr std::size_t low_digits = 4;

bool is_uuid(absl::string_view text) {
    if (text.size() != uuid_size) {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool dash =
            std::find(dashes.begin(), dashes.end(), i) != dashes.end();
        const bool fits = dash ? text[i] == '-' : absl::ascii_isxdigit(text[i]);
        if (!fits) {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<wall_time> creation_time(absl::string_view key) {
    if (!is_uuid(key) || key[version_at] != '7') {
        return std::nullopt;
    }
    const absl::string_view variants = "89abAB";
    if (variants.find(key[variant_at]) == absl::string_view::npos) {
        return std::nullopt;
    }
    const std::string digits = absl::StrCat(key.substr(0, high_digits),
                                            key.substr(low_at, low_digits));
    std::uint64_t ms = 0;
    if (!absl::SimpleHexAtoi(digits, &ms)) {
        return std::nullopt;
    }
    return wall_time{static_cast<std::int64_t>(ms)};
}

std::optional<support::member_id>
home_agent_of(const operation_key& key,
              std::span<const support::member_id> members) {
    // The separator cannot be part of a service's name.
    const std::string text = absl::StrCat(key.service.value, "/", key.key);
    std::optional<support::member_id> best;
    std::uint64_t best_weight = 0;
    for (const support::member_id member : members) {
        const std::uint64_t weight =
            XXH3_64bits_withSeed(text.data(), text.size(), member.value);
        const bool wins = !best.has_value() || weight > best_weight ||
                          (weight == best_weight && member > *best);
        if (wins) {
            best = member;
            best_weight = weight;
        }
    }
    return best;
}

key_homes::key_homes(support::member_id self, support::duration hold)
    : own(self), hold(hold) {}

void key_homes::view_changed(support::instant now,
                             std::vector<support::member_id> members) {
    this->views.push_back({now, std::move(members)});
    // A view that ended before the hold began says nothing any more.
    const support::instant begin = now - this->hold;
    std::size_t ended = 0;
    while (ended + 1 < this->views.size() &&
           this->views[ended + 1].since <= begin) {
        ++ended;
    }
    this->views.erase(this->views.begin(),
                      this->views.begin() + static_cast<std::ptrdiff_t>(ended));
}

bool key_homes::settled_home(support::instant now,
                             const operation_key& key) const {
    const support::instant begin = now - this->hold;
    if (this->views.empty() || this->views.front().since > begin) {
        return false;
    }
    for (std::size_t i = 0; i < this->views.size(); ++i) {
        const bool last = i + 1 == this->views.size();
        if (!last && this->views[i + 1].since <= begin) {
            continue;
        }
        if (home_agent_of(key, this->views[i].members) != this->own) {
            return false;
        }
    }
    return true;
}

std::optional<support::member_id>
key_homes::home(const operation_key& key) const {
    if (this->views.empty()) {
        return std::nullopt;
    }
    return home_agent_of(key, this->views.back().members);
}

} // namespace guavastair::admission
