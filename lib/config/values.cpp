#include "values.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSONString.h>

#include <algorithm>
#include <array>
#include <optional>
#include <span>

namespace guavastair::config {

namespace {

using Poco::Dynamic::Var;

constexpr std::array<absl::string_view, 2> protocol_names{"tcp", "http"};
constexpr std::array<absl::string_view, 6> log_level_names{
    "trace", "debug", "info", "warn", "error", "off"};

bool is_within(std::int64_t number, limits range) {
    return number >= range.min && number <= range.max;
}

std::optional<std::int64_t> integer_of(const Var& value) {
    if (value.isEmpty() || value.isBoolean() || !value.isInteger()) {
        return std::nullopt;
    }
    try {
        return value.convert<std::int64_t>();
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

std::optional<std::string> string_of(const Var& value) {
    if (value.isEmpty() || !value.isString()) {
        return std::nullopt;
    }
    return value.extract<std::string>();
}

template <typename Number>
bool read_integer(const Var& value, limits range, Number& out) {
    const auto number = integer_of(value);
    if (!number.has_value() || !is_within(*number, range)) {
        return false;
    }
    out = static_cast<Number>(*number);
    return true;
}

template <typename Enum>
bool read_enum(const Var& value, std::span<const absl::string_view> names,
               Enum& out) {
    const auto text = string_of(value);
    if (!text.has_value()) {
        return false;
    }
    const auto found = std::find(names.begin(), names.end(), *text);
    if (found == names.end()) {
        return false;
    }
    out = static_cast<Enum>(found - names.begin());
    return true;
}

/// Reads each item with `read_item`. Rejects the whole list if an item is
/// rejected or appears twice.
template <typename Item, typename ReadItem>
bool read_list(const Var& value, limits range, std::vector<Item>& out,
               ReadItem read_item) {
    if (value.isEmpty() || value.type() != typeid(Poco::JSON::Array::Ptr)) {
        return false;
    }
    const auto& array = value.extract<Poco::JSON::Array::Ptr>();
    if (!is_within(static_cast<std::int64_t>(array->size()), range)) {
        return false;
    }
    std::vector<Item> items;
    for (const Var& element : *array) {
        Item item;
        const bool accepted = read_item(element, item);
        const bool repeated =
            std::find(items.begin(), items.end(), item) != items.end();
        if (!accepted || repeated) {
            return false;
        }
        items.push_back(std::move(item));
    }
    out = std::move(items);
    return true;
}

bool read_method(const Var& value, std::string& out) {
    const auto text = string_of(value);
    constexpr std::size_t max_method_size = 20;
    if (!text.has_value() || text->empty() || text->size() > max_method_size ||
        !std::all_of(text->begin(), text->end(), absl::ascii_isupper)) {
        return false;
    }
    out = *text;
    return true;
}

template <typename Item>
std::string write_list(const std::vector<Item>& items) {
    const auto append = [](std::string* out, const Item& item) {
        out->append(write_value(item));
    };
    return absl::StrCat("[", absl::StrJoin(items, ",", append), "]");
}

std::string range_text(limits range, absl::string_view suffix) {
    return absl::StrCat(range.min, " to ", range.max, suffix);
}

std::string choice_text(std::span<const absl::string_view> names) {
    const auto append = [](std::string* out, absl::string_view name) {
        absl::StrAppend(out, "\"", name, "\"");
    };
    return absl::StrCat("one of ", absl::StrJoin(names, ", ", append));
}

} // namespace

absl::string_view to_string(service_protocol value) {
    return protocol_names[static_cast<std::size_t>(value)];
}

absl::string_view to_string(log_level value) {
    return log_level_names[static_cast<std::size_t>(value)];
}

bool read_value(const Var& value, limits /*range*/, bool& out) {
    if (value.isEmpty() || !value.isBoolean()) {
        return false;
    }
    out = value.extract<bool>();
    return true;
}

bool read_value(const Var& value, limits range, std::uint32_t& out) {
    return read_integer(value, range, out);
}

bool read_value(const Var& value, limits range, std::uint64_t& out) {
    return read_integer(value, range, out);
}

bool read_value(const Var& value, limits range, support::duration& out) {
    return read_integer(value, range, out.ms);
}

bool read_value(const Var& value, limits range, std::string& out) {
    const auto text = string_of(value);
    if (!text.has_value() ||
        !is_within(static_cast<std::int64_t>(text->size()), range)) {
        return false;
    }
    out = *text;
    return true;
}

bool read_value(const Var& value, limits /*range*/, support::endpoint& out) {
    const auto text = string_of(value);
    if (!text.has_value()) {
        return false;
    }
    const auto parsed = support::parse_endpoint(*text);
    if (!parsed.ok() || parsed->address.value == 0) {
        return false;
    }
    out = *parsed;
    return true;
}

bool read_value(const Var& value, limits range,
                std::vector<support::endpoint>& out) {
    const auto read_item = [](const Var& element, support::endpoint& item) {
        return read_value(element, limits{}, item);
    };
    return read_list(value, range, out, read_item);
}

bool read_value(const Var& value, limits range, std::vector<std::string>& out) {
    return read_list(value, range, out, read_method);
}

bool read_value(const Var& value, limits /*range*/, service_protocol& out) {
    return read_enum(value, protocol_names, out);
}

bool read_value(const Var& value, limits /*range*/, log_level& out) {
    return read_enum(value, log_level_names, out);
}

bool read_name(const Var& value, std::string& out) {
    const auto text = string_of(value);
    if (!text.has_value() || !support::is_valid_name(*text)) {
        return false;
    }
    out = *text;
    return true;
}

std::string write_value(bool value) {
    return value ? "true" : "false";
}

std::string write_value(std::uint32_t value) {
    return absl::StrCat(value);
}

std::string write_value(std::uint64_t value) {
    return absl::StrCat(value);
}

std::string write_value(support::duration value) {
    return absl::StrCat(value.ms);
}

std::string write_value(const std::string& value) {
    return Poco::toJSON(value);
}

std::string write_value(support::endpoint value) {
    return absl::StrCat("\"", to_string(value), "\"");
}

std::string write_value(const std::vector<support::endpoint>& value) {
    return write_list(value);
}

std::string write_value(const std::vector<std::string>& value) {
    return write_list(value);
}

std::string write_value(service_protocol value) {
    return absl::StrCat("\"", to_string(value), "\"");
}

std::string write_value(log_level value) {
    return absl::StrCat("\"", to_string(value), "\"");
}

value_description describe(const bool& /*sample*/, limits /*range*/) {
    return {"boolean", "true or false"};
}

value_description describe(const std::uint32_t& /*sample*/, limits range) {
    return {"integer", range_text(range, "")};
}

value_description describe(const std::uint64_t& /*sample*/, limits range) {
    return {"integer", range_text(range, "")};
}

value_description describe(const support::duration& /*sample*/, limits range) {
    return {"integer", range_text(range, "")};
}

value_description describe(const std::string& /*sample*/, limits range) {
    return {"string", range_text(range, " bytes")};
}

value_description describe(const support::endpoint& /*sample*/,
                           limits /*range*/) {
    return {"string", "a.b.c.d:port, not 0.0.0.0, port 1 to 65535"};
}

value_description describe(const std::vector<support::endpoint>& /*sample*/,
                           limits range) {
    return {"list of strings",
            range_text(range, " different a.b.c.d:port, not 0.0.0.0")};
}

value_description describe(const std::vector<std::string>& /*sample*/,
                           limits range) {
    return {"list of strings",
            range_text(range, " different methods in upper case")};
}

value_description describe(const service_protocol& /*sample*/,
                           limits /*range*/) {
    return {"string", choice_text(protocol_names)};
}

value_description describe(const log_level& /*sample*/, limits /*range*/) {
    return {"string", choice_text(log_level_names)};
}

value_description describe_name() {
    return {"string", absl::StrCat("1 to ", support::max_name_size,
                                   " of a-z, 0-9 and -, a letter first")};
}

} // namespace guavastair::config
