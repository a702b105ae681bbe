#include <guavastair/config.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <array>

namespace guavastair::config {

static constexpr std::array<absl::string_view, 2> prefixes{
    "guavastair/services/", "guavastair/data-centres/"};

absl::string_view store_prefix_of(document_kind kind) {
    return prefixes[static_cast<std::size_t>(kind)];
}

std::string to_store_key(const document_key& key) {
    return absl::StrCat(store_prefix_of(key.kind), key.name);
}

std::optional<document_key> parse_store_key(absl::string_view text) {
    for (std::size_t i = 0; i < prefixes.size(); ++i) {
        absl::string_view name = text;
        if (!absl::ConsumePrefix(&name, prefixes[i])) {
            continue;
        }
        if (!support::is_valid_name(name)) {
            return std::nullopt;
        }
        return document_key{static_cast<document_kind>(i), std::string(name)};
    }
    return std::nullopt;
}

} // namespace guavastair::config
