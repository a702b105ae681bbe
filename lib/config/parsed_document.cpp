#include "parsed_document.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace guavastair::config {

namespace {

/// Returns whether a document with these problems must be ignored. The file,
/// the name and the address must be valid; any other value can be replaced by
/// its default.
bool is_unusable(const std::vector<problem>& problems) {
    const auto is_required_key = [](const problem& item) {
        return item.key.empty() || item.key == "name" || item.key == "address";
    };
    return std::any_of(problems.begin(), problems.end(), is_required_key);
}

void check_name(const document_key& key, const std::string& name,
                std::vector<problem>& problems) {
    if (problems.empty() && name != key.name) {
        problems.push_back(
            {to_store_key(key), "name", name,
             absl::StrCat("the name in the store key, ", key.name)});
    }
}

void parse_service(const change& from, parsed_document& out) {
    auto parsed = parse_service_document(to_store_key(from.key), from.text);
    check_name(from.key, parsed.value.name.value, parsed.problems);
    out.problems = std::move(parsed.problems);
    if (!is_unusable(out.problems)) {
        out.service =
            std::make_shared<const service_document>(std::move(parsed.value));
    }
}

void parse_data_centre(const change& from, parsed_document& out) {
    auto parsed = parse_data_centre_document(to_store_key(from.key), from.text);
    check_name(from.key, parsed.value.name.value, parsed.problems);
    out.problems = std::move(parsed.problems);
    out.withdrawn = parsed.value.withdrawn && !is_unusable(out.problems);
}

} // namespace

parsed_document parse_change(const change& from) {
    parsed_document result;
    result.revision = from.revision;
    result.deleted = from.deleted;
    if (from.deleted) {
        return result;
    }
    result.text = from.text;
    if (from.key.kind == document_kind::service) {
        parse_service(from, result);
    } else {
        parse_data_centre(from, result);
    }
    return result;
}

change to_change(const document_key& key, const parsed_document& document) {
    return {key, document.revision, document.deleted, document.text};
}

} // namespace guavastair::config
