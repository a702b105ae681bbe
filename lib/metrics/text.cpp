#include "text.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

namespace guavastair::metrics {

static std::string escape_label_value(absl::string_view value) {
    return absl::StrReplaceAll(value,
                               {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

void append_header(std::string& out, const description& about,
                   absl::string_view type) {
    absl::StrAppend(&out, "# HELP ", about.name, " ", about.help, "\n");
    absl::StrAppend(&out, "# TYPE ", about.name, " ", type, "\n");
}

void append_name(std::string& out, const description& about,
                 absl::string_view suffix, absl::string_view extra_label) {
    absl::StrAppend(&out, about.name, suffix);
    if (about.labels.empty() && extra_label.empty()) {
        return;
    }
    out += '{';
    absl::string_view separator;
    for (const label& each : about.labels) {
        absl::StrAppend(&out, separator, each.name, "=\"",
                        escape_label_value(each.value), "\"");
        separator = ",";
    }
    if (!extra_label.empty()) {
        absl::StrAppend(&out, separator, extra_label);
    }
    out += '}';
}

} // namespace guavastair::metrics
