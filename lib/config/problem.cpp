#include <guavastair/config.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace guavastair::config {

std::string to_string(const problem& item) {
    std::string text = item.file;
    if (!item.key.empty()) {
        absl::StrAppend(&text, ": ", item.key);
    }
    if (!item.value.empty()) {
        absl::StrAppend(&text, ": found ", item.value);
    }
    absl::StrAppend(&text, ": allowed is ", item.allowed);
    return text;
}

absl::Status to_status(std::span<const problem> problems) {
    if (problems.empty()) {
        return absl::OkStatus();
    }
    const auto append = [](std::string* out, const problem& item) {
        out->append(to_string(item));
    };
    return support::make_error(support::error_kind::invalid_input,
                               absl::StrJoin(problems, "\n", append));
}

std::string to_markdown(std::span<const key_description> keys) {
    std::string text = "| key | type | unit | allowed | default | meaning |\n"
                       "| --- | --- | --- | --- | --- | --- |\n";
    for (const key_description& row : keys) {
        absl::StrAppend(&text, "| `", row.key, "` | ", row.type, " | ",
                        row.unit, " | ", row.allowed, " | ", row.default_value,
                        " | ", row.meaning, " |\n");
    }
    return text;
}

} // namespace guavastair::config
