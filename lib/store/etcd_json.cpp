#include "etcd_json.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace guavastair::store {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// ------------------------------------------------------------ encoding

std::string bytes_field(absl::string_view name, absl::string_view value) {
    return absl::StrCat("\"", name, "\":\"", absl::Base64Escape(value), "\"");
}

std::string number_field(absl::string_view name, std::int64_t value) {
    return absl::StrCat("\"", name, "\":\"", value, "\"");
}

/// The first key that sorts after all keys that start with `prefix`. A prefix
/// of only 0xff bytes, or an empty one, has none: etcd takes "\0" as no end.
std::string end_of_prefix(std::string prefix) {
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        constexpr unsigned char max_byte = 0xff;
        if (last != max_byte) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

std::string key_fields(const std::string& key, bool is_prefix) {
    std::string text = bytes_field("key", key);
    if (is_prefix) {
        absl::StrAppend(&text, ",",
                        bytes_field("range_end", end_of_prefix(key)));
    }
    return text;
}

std::string encode_condition(const condition& item) {
    const bool is_equal = item.kind == condition_kind::equals;
    const std::int64_t bound = item.revision.value + (is_equal ? 0 : 1);
    return absl::StrCat("{", key_fields(item.key, item.is_prefix),
                        R"(,"target":"MOD","result":")",
                        is_equal ? "EQUAL" : "LESS", "\",",
                        number_field("mod_revision", bound), "}");
}

std::string encode_operation(const operation& item) {
    if (item.kind == operation_kind::remove) {
        return absl::StrCat(R"({"request_delete_range":{)",
                            bytes_field("key", item.key), "}}");
    }
    return absl::StrCat(R"({"request_put":{)", bytes_field("key", item.key),
                        ",", bytes_field("value", item.value), ",",
                        number_field("lease", item.lease.value), "}}");
}

std::string encode_read_back(const operation& item) {
    return absl::StrCat(R"({"request_range":{)", bytes_field("key", item.key),
                        "}}");
}

template <typename Item>
std::string encode_list(const std::vector<Item>& items,
                        std::string (*encode_item)(const Item&)) {
    const auto append = [encode_item](std::string* out, const Item& item) {
        out->append(encode_item(item));
    };
    return absl::StrCat("[", absl::StrJoin(items, ",", append), "]");
}

// ------------------------------------------------------------ decoding

std::int64_t number_of(const Object& from, const std::string& name) {
    return from.optValue<std::int64_t>(name, 0);
}

std::string bytes_of(const Object& from, const std::string& name) {
    const auto text = from.optValue<std::string>(name, "");
    std::string bytes;
    if (!absl::Base64Unescape(text, &bytes)) {
        throw Poco::DataFormatException(name + " is not valid base64");
    }
    return bytes;
}

Object::Ptr object_of(const Object& from, const std::string& name) {
    const Object::Ptr found = from.getObject(name);
    return found.isNull() ? new Object : found;
}

Array::Ptr array_of(const Object& from, const std::string& name) {
    const Array::Ptr found = from.getArray(name);
    return found.isNull() ? new Array : found;
}

key_value decode_key_value(const Object& from) {
    key_value result;
    result.key = bytes_of(from, "key");
    result.value = bytes_of(from, "value");
    result.create_revision.value = number_of(from, "create_revision");
    result.mod_revision.value = number_of(from, "mod_revision");
    result.version = number_of(from, "version");
    result.lease.value = number_of(from, "lease");
    return result;
}

support::revision revision_of(const Object& from) {
    return {number_of(*object_of(from, "header"), "revision")};
}

range_result range_of(const Object& from) {
    range_result result;
    result.store_revision = revision_of(from);
    const Array::Ptr entries = array_of(from, "kvs");
    for (std::size_t i = 0; i < entries->size(); ++i) {
        result.entries.push_back(decode_key_value(*entries->getObject(i)));
    }
    return result;
}

write_result write_of(const Object& from) {
    write_result result;
    result.store_revision = revision_of(from);
    result.succeeded = from.optValue<bool>("succeeded", false);
    if (result.succeeded) {
        return result;
    }
    const Array::Ptr responses = array_of(from, "responses");
    for (std::size_t i = 0; i < responses->size(); ++i) {
        const Object::Ptr response = responses->getObject(i);
        range_result read = range_of(*object_of(*response, "response_range"));
        result.current.insert(result.current.end(), read.entries.begin(),
                              read.entries.end());
    }
    return result;
}

watch_message watch_of(const Object& from) {
    watch_message result;
    result.store_revision = revision_of(from);
    result.compacted = number_of(from, "compact_revision") != 0;
    const Array::Ptr events = array_of(from, "events");
    for (std::size_t i = 0; i < events->size(); ++i) {
        const Object::Ptr event = events->getObject(i);
        const bool deleted =
            event->optValue<std::string>("type", "PUT") == "DELETE";
        result.events.push_back(
            {decode_key_value(*object_of(*event, "kv")), deleted});
    }
    return result;
}

/// Parses `text` as a JSON object and applies `decode_object` to it.
template <typename Decode>
auto decode(const std::string& text, Decode decode_object)
    -> absl::StatusOr<decltype(decode_object(std::declval<Object>()))> {
    try {
        Poco::JSON::Parser parser;
        const auto root = parser.parse(text).extract<Object::Ptr>();
        return decode_object(*root);
    } catch (const Poco::Exception& error) {
        return support::make_error(
            support::error_kind::internal,
            absl::StrCat("cannot parse the store's response: ",
                         error.displayText()));
    }
}

} // namespace

std::string encode(const range_request& request) {
    return absl::StrCat(
        "{", key_fields(request.key, request.is_prefix), ",",
        number_field("min_mod_revision", request.min_mod_revision.value), "}");
}

std::string encode(const write_request& request) {
    return absl::StrCat(
        R"({"compare":)", encode_list(request.conditions, encode_condition),
        R"(,"success":)", encode_list(request.operations, encode_operation),
        R"(,"failure":)", encode_list(request.operations, encode_read_back),
        "}");
}

std::string encode(const watch_request& request) {
    return absl::StrCat(
        R"({"create_request":{)", key_fields(request.prefix, true), ",",
        number_field("start_revision", request.from.value), "}}");
}

std::string encode_lease_grant(support::duration ttl) {
    constexpr std::int64_t ms_per_second = 1000;
    const std::int64_t whole = (ttl.ms + ms_per_second - 1) / ms_per_second;
    return absl::StrCat("{", number_field("TTL", whole), "}");
}

std::string encode_lease_call(lease_id lease) {
    return absl::StrCat("{", number_field("ID", lease.value), "}");
}

absl::StatusOr<range_result> decode_range(const std::string& text) {
    return decode(text, range_of);
}

absl::StatusOr<write_result> decode_write(const std::string& text) {
    return decode(text, write_of);
}

absl::StatusOr<lease_id> decode_lease_grant(const std::string& text) {
    return decode(text, [](const Object& from) {
        return lease_id{number_of(from, "ID")};
    });
}

absl::StatusOr<support::duration> decode_keep_alive(const std::string& text) {
    return decode(text, [](const Object& from) {
        const Object::Ptr result = object_of(from, "result");
        return support::seconds(number_of(*result, "TTL"));
    });
}

absl::StatusOr<watch_message> decode_watch(const std::string& text) {
    bool is_cancelled = false;
    auto message = decode(text, [&is_cancelled](const Object& from) {
        const Object::Ptr result = object_of(from, "result");
        is_cancelled =
            from.has("error") || result->optValue<bool>("canceled", false);
        return watch_of(*result);
    });
    if (message.ok() && is_cancelled && !message->compacted) {
        return support::make_error(support::error_kind::store_unavailable,
                                   "the store cancelled the watch");
    }
    return message;
}

} // namespace guavastair::store
