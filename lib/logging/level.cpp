#include <guavastair/logging.hpp>

#include <absl/strings/str_cat.h>

#include <array>

namespace guavastair::logging {

static constexpr std::array<absl::string_view, 6> level_names{
    "trace", "debug", "info", "warn", "error", "off"};

absl::string_view to_string(level value) {
    return level_names[static_cast<std::size_t>(value)];
}

absl::StatusOr<level> parse_level(absl::string_view text) {
    for (std::size_t i = 0; i < level_names.size(); ++i) {
        if (level_names[i] == text) {
            return static_cast<level>(i);
        }
    }
    return support::make_error(
        support::error_kind::invalid_input,
        absl::StrCat("log level \"", text,
                     "\" is none of trace, debug, info, warn, error, off"));
}

} // namespace guavastair::logging
