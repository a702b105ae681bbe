#include "json_source.hpp"
#include "json_text.hpp"

#include <absl/strings/str_cat.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Stringifier.h>

#include <algorithm>
#include <sstream>

namespace guavastair::config {

namespace {

/// Longer values are truncated in problems, in bytes.
constexpr std::size_t max_quoted_size = 80;

std::string quote(const Poco::Dynamic::Var& value) {
    if (value.isEmpty()) {
        return "";
    }
    std::ostringstream out;
    Poco::JSON::Stringifier::stringify(value, out);
    std::string text = out.str();
    if (text.size() > max_quoted_size) {
        text.resize(max_quoted_size);
        text += "...";
    }
    return text;
}

bool is_object(const Poco::Dynamic::Var& value) {
    return !value.isEmpty() && value.type() == typeid(Poco::JSON::Object::Ptr);
}

} // namespace

std::string json_object::path_of(absl::string_view key) const {
    return this->path.empty() ? std::string(key)
                              : absl::StrCat(this->path, ".", key);
}

json_source::json_source(absl::string_view file) : file(file) {}

json_object json_source::parse(absl::string_view text) {
    Poco::Dynamic::Var root;
    try {
        root = parse_json(text);
    } catch (const Poco::Exception& error) {
        this->report(
            "", {},
            absl::StrCat("JSON with comments (", error.displayText(), ")"));
        return {};
    }
    if (!is_object(root)) {
        this->report("", root, "one JSON object");
        return {};
    }
    return {root.extract<Poco::JSON::Object::Ptr>(), ""};
}

json_object json_source::section(const json_object& parent,
                                 absl::string_view key) {
    const std::string path = parent.path_of(key);
    if (parent.object.isNull()) {
        return {{}, path};
    }
    const std::string name(key);
    if (!parent.object->has(name)) {
        return {new Poco::JSON::Object, path};
    }
    const Poco::Dynamic::Var value = parent.object->get(name);
    if (!is_object(value)) {
        this->report(path, value, "an object");
        return {{}, path};
    }
    return {value.extract<Poco::JSON::Object::Ptr>(), path};
}

void json_source::reject_unknown_keys(
    const json_object& parent,
    std::span<const absl::string_view> accepted_keys) {
    if (parent.object.isNull()) {
        return;
    }
    for (const std::string& key : parent.object->getNames()) {
        if (std::find(accepted_keys.begin(), accepted_keys.end(), key) !=
            accepted_keys.end()) {
            continue;
        }
        const auto nearest = support::nearest_name(key, accepted_keys);
        const std::string allowed =
            nearest.has_value()
                ? absl::StrCat("no such key; the nearest is \"", *nearest, "\"")
                : std::string("no such key");
        this->report(parent.path_of(key), parent.object->get(key), allowed);
    }
}

void json_source::report(std::string path, const Poco::Dynamic::Var& value,
                         std::string allowed) {
    this->problems.push_back(
        {this->file, std::move(path), quote(value), std::move(allowed)});
}

std::vector<problem> json_source::take_problems() {
    return std::move(this->problems);
}

} // namespace guavastair::config
