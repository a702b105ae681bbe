#include <guavastair/ablation.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <vector>

namespace guavastair::ablation {

static constexpr std::array<absl::string_view, mechanism_count> names{
    "two_choices",   "local_first",         "early_packets",
    "search_budget", "silent_agent_resets", "readiness_by_reach",
    "shared_pings",  "predicted_wait",      "urgency",
    "copy_age",      "second_offer",        "flow_ledger",
    "told_flows",    "peer_views"};

absl::string_view to_string(mechanism value) {
    return names[static_cast<std::size_t>(value)];
}

absl::StatusOr<mechanisms> mechanisms::without(absl::string_view list) {
    mechanisms result;
    for (const absl::string_view name :
         absl::StrSplit(list, ',', absl::SkipWhitespace())) {
        const auto it = std::find(names.begin(), names.end(), name);
        if (it == names.end()) {
            return support::make_error(
                support::error_kind::invalid_input,
                absl::StrCat("--without: \"", name,
                             "\" is no mechanism; expected one of: ",
                             absl::StrJoin(names, ", ")));
        }
        result.disabled.set(static_cast<std::size_t>(it - names.begin()));
    }
    return result;
}

bool mechanisms::has(mechanism value) const {
    return !this->disabled.test(static_cast<std::size_t>(value));
}

std::string mechanisms::disabled_names() const {
    std::vector<absl::string_view> result;
    for (std::size_t i = 0; i < mechanism_count; ++i) {
        if (this->disabled.test(i)) {
            result.push_back(names[i]);
        }
    }
    return absl::StrJoin(result, ",");
}

} // namespace guavastair::ablation
