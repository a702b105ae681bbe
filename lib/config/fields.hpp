/// Tables of keys. A row maps a key to a member of a record, its accepted
/// values and its description. Parsing, serialization and the generated
/// documentation use the same tables.

#ifndef GUAVASTAIR_LIB_CONFIG_FIELDS_HPP
#define GUAVASTAIR_LIB_CONFIG_FIELDS_HPP

#include "json_source.hpp"
#include "values.hpp"

#include <absl/strings/str_cat.h>

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace guavastair::config {

/// A pointer to a member of `Record`, of any type that a key supports.
template <typename Record>
using member_pointer = std::variant<
    bool Record::*, std::uint32_t Record::*, std::uint64_t Record::*,
    std::string Record::*, support::duration Record::*,
    support::endpoint Record::*, std::vector<support::endpoint> Record::*,
    std::vector<std::string> Record::*, service_protocol Record::*,
    log_level Record::*, support::service_name Record::*,
    support::data_centre_name Record::*, support::node_name Record::*>;

enum class presence : std::uint8_t { optional, required };

/// One key of an object. Its default is the value in a default-constructed
/// `Record`.
template <typename Record> struct field {
    absl::string_view key;
    member_pointer<Record> member;
    presence key_presence = presence::optional;
    limits range;
    absl::string_view unit;
    absl::string_view meaning;
};

template <typename Record>
std::vector<absl::string_view> keys_of(std::span<const field<Record>> fields) {
    std::vector<absl::string_view> keys;
    for (const field<Record>& row : fields) {
        keys.push_back(row.key);
    }
    return keys;
}

/// Reads one key into `out`. Reports a problem if the value is not accepted or
/// a required key is missing.
template <typename Record>
void read_field(json_source& source, const json_object& from,
                const field<Record>& row, Record& out) {
    const std::string key(row.key);
    const bool is_present = from.object->has(key);
    if (!is_present && row.key_presence == presence::optional) {
        return;
    }
    const Poco::Dynamic::Var value =
        is_present ? from.object->get(key) : Poco::Dynamic::Var{};
    const auto read = [&](auto member) {
        if (is_present && read_value(value, row.range, out.*member)) {
            return;
        }
        std::string allowed = describe(out.*member, row.range).allowed;
        if (!is_present) {
            allowed = absl::StrCat("a value, the key is required: ", allowed);
        }
        source.report(from.path_of(key), value, std::move(allowed));
    };
    std::visit(read, row.member);
}

template <typename Record>
void read_fields(json_source& source, const json_object& from,
                 std::span<const field<Record>> fields, Record& out) {
    if (from.object.isNull()) {
        return;
    }
    for (const field<Record>& row : fields) {
        read_field(source, from, row, out);
    }
}

/// Reads an object and rejects keys that are not in `fields`.
template <typename Record>
void read_object(json_source& source, const json_object& from,
                 std::span<const field<Record>> fields, Record& out) {
    read_fields(source, from, fields, out);
    source.reject_unknown_keys(from, keys_of(fields));
}

/// Appends the description of each field, with `prefix` prepended to its key.
template <typename Record>
void describe_fields(absl::string_view prefix,
                     std::span<const field<Record>> fields,
                     std::vector<key_description>& out) {
    const Record defaults{};
    for (const field<Record>& row : fields) {
        const auto append = [&](auto member) {
            const auto description = describe(defaults.*member, row.range);
            const bool required = row.key_presence == presence::required;
            out.push_back(
                {absl::StrCat(prefix, row.key), description.type,
                 std::string(row.unit), description.allowed,
                 required ? "required" : write_value(defaults.*member),
                 std::string(row.meaning)});
        };
        std::visit(append, row.member);
    }
}

/// Appends one field as "key":value to the members of a JSON object, with a
/// separating comma.
template <typename Record>
void write_field(const Record& record, const field<Record>& row,
                 std::string& members) {
    const auto append = [&](auto member) {
        absl::StrAppend(&members, members.empty() ? "" : ",", "\"", row.key,
                        "\":", write_value(record.*member));
    };
    std::visit(append, row.member);
}

} // namespace guavastair::config

#endif
