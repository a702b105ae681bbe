#include "store_gateway.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

namespace guavastair::standin {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string bytes_of(const Object& from, const std::string& name) {
    std::string bytes;
    if (!absl::Base64Unescape(from.optValue<std::string>(name, ""), &bytes)) {
        throw Poco::DataFormatException(name + " is not base64");
    }
    return bytes;
}

std::int64_t number_of(const Object& from, const std::string& name) {
    return from.optValue<std::int64_t>(name, 0);
}

/// The gateway encodes numbers as strings and omits zeros.
void set_number(Object& into, const std::string& name, std::int64_t value) {
    if (value != 0) {
        into.set(name, absl::StrCat(value));
    }
}

void set_bytes(Object& into, const std::string& name,
               const std::string& value) {
    if (!value.empty()) {
        into.set(name, absl::Base64Escape(value));
    }
}

Object::Ptr encode_header(support::revision revision) {
    Object::Ptr header = new Object;
    set_number(*header, "revision", revision.value);
    return header;
}

Object::Ptr answer_at(support::revision revision) {
    Object::Ptr answer = new Object;
    answer->set("header", encode_header(revision));
    return answer;
}

Object::Ptr encode_entry(const store::key_value& entry) {
    Object::Ptr object = new Object;
    set_bytes(*object, "key", entry.key);
    set_bytes(*object, "value", entry.value);
    set_number(*object, "create_revision", entry.create_revision.value);
    set_number(*object, "mod_revision", entry.mod_revision.value);
    set_number(*object, "version", entry.version);
    set_number(*object, "lease", entry.lease.value);
    return object;
}

void set_entries(Object& into, const std::vector<store::key_value>& entries) {
    if (entries.empty()) {
        return;
    }
    Array::Ptr array = new Array;
    for (const store::key_value& entry : entries) {
        array->add(encode_entry(entry));
    }
    into.set("kvs", array);
    set_number(into, "count", static_cast<std::int64_t>(entries.size()));
}

key_range range_of(const Object& from) {
    return {bytes_of(from, "key"), bytes_of(from, "range_end")};
}

Array::Ptr array_of(const Object& from, const std::string& name) {
    const Array::Ptr found = from.getArray(name);
    return found.isNull() ? new Array : found;
}

comparison decode_comparison(const Object& from) {
    if (from.optValue<std::string>("target", "") != "MOD") {
        throw Poco::DataFormatException("target must be MOD");
    }
    const support::revision bound{number_of(from, "mod_revision")};
    const auto result = from.optValue<std::string>("result", "EQUAL");
    if (result == "EQUAL") {
        return {range_of(from), store::condition_kind::equals, bound};
    }
    if (result == "LESS") {
        return {
            range_of(from), store::condition_kind::at_most, {bound.value - 1}};
    }
    throw Poco::DataFormatException("result must be EQUAL or LESS");
}

store::operation decode_operation(const Object& from) {
    if (from.has("request_put")) {
        const Object::Ptr put = from.getObject("request_put");
        return {store::operation_kind::put,
                bytes_of(*put, "key"),
                bytes_of(*put, "value"),
                {number_of(*put, "lease")}};
    }
    if (from.has("request_delete_range")) {
        const Object::Ptr remove = from.getObject("request_delete_range");
        return {
            store::operation_kind::remove, bytes_of(*remove, "key"), "", {}};
    }
    throw Poco::DataFormatException("unknown operation");
}

transaction decode_transaction(const Object& from) {
    transaction result;
    const Array::Ptr compare = array_of(from, "compare");
    for (std::size_t i = 0; i < compare->size(); ++i) {
        result.comparisons.push_back(decode_comparison(*compare->getObject(i)));
    }
    const Array::Ptr success = array_of(from, "success");
    for (std::size_t i = 0; i < success->size(); ++i) {
        result.operations.push_back(decode_operation(*success->getObject(i)));
    }
    const Array::Ptr failure = array_of(from, "failure");
    for (std::size_t i = 0; i < failure->size(); ++i) {
        const Object::Ptr read =
            failure->getObject(i)->getObject("request_range");
        result.reads_if_failed.push_back(range_of(*read));
    }
    return result;
}

Object::Ptr run_range(memory_store& store, const Object& request_body) {
    const auto result = store.range(
        range_of(request_body), {number_of(request_body, "min_mod_revision")});
    Object::Ptr answer = answer_at(result.store_revision);
    set_entries(*answer, result.entries);
    return answer;
}

Object::Ptr run_transaction(memory_store& store, const Object& request_body) {
    const transaction_result result =
        store.run(decode_transaction(request_body));
    Object::Ptr answer = answer_at(result.revision);
    if (result.succeeded) {
        answer->set("succeeded", true);
        return answer;
    }
    Array::Ptr responses = new Array;
    for (const auto& entries : result.reads) {
        Object::Ptr read = answer_at(result.revision);
        set_entries(*read, entries);
        Object::Ptr response = new Object;
        response->set("response_range", read);
        responses->add(response);
    }
    answer->set("responses", responses);
    return answer;
}

Object::Ptr run_grant(memory_store& store, const Object& request_body) {
    const std::int64_t ttl_s = number_of(request_body, "TTL");
    const auto lease = store.grant(support::seconds(ttl_s));
    Object::Ptr answer = answer_at(store.revision());
    set_number(*answer, "ID", lease.value);
    set_number(*answer, "TTL", ttl_s);
    return answer;
}

Object::Ptr run_keep_alive(memory_store& store, const Object& request_body) {
    constexpr std::int64_t ms_per_second = 1000;
    const store::lease_id lease{number_of(request_body, "ID")};
    const support::duration ttl = store.keep_alive(lease);
    Object::Ptr result = answer_at(store.revision());
    set_number(*result, "ID", lease.value);
    set_number(*result, "TTL", ttl.ms / ms_per_second);
    Object::Ptr answer = new Object;
    answer->set("result", result);
    return answer;
}

Object::Ptr run_revoke(memory_store& store, const Object& request_body) {
    store.revoke({number_of(request_body, "ID")});
    return answer_at(store.revision());
}

constexpr std::array<gateway_path, 5> paths{{
    {"/v3/kv/range", store::call_kind::range, run_range},
    {"/v3/kv/txn", store::call_kind::write, run_transaction},
    {"/v3/lease/grant", store::call_kind::lease_grant, run_grant},
    {"/v3/lease/keepalive", store::call_kind::lease_keepalive, run_keep_alive},
    {"/v3/lease/revoke", store::call_kind::lease_revoke, run_revoke},
}};

} // namespace

const gateway_path* find_gateway_path(absl::string_view path) {
    for (const gateway_path& row : paths) {
        if (row.path == path) {
            return &row;
        }
    }
    return nullptr;
}

watch_request decode_watch_request(const Object& request_body) {
    const Object::Ptr create = request_body.getObject("create_request");
    if (create.isNull()) {
        throw Poco::DataFormatException("create_request is missing");
    }
    return {range_of(*create), {number_of(*create, "start_revision")}};
}

Object::Ptr encode_watch_message(const store::watch_message& message) {
    Object::Ptr result = answer_at(message.store_revision);
    if (message.compacted) {
        result->set("canceled", true);
        set_number(*result, "compact_revision", message.store_revision.value);
    }
    Array::Ptr events = new Array;
    for (const store::watch_event& event : message.events) {
        Object::Ptr object = new Object;
        if (event.deleted) {
            object->set("type", "DELETE");
        }
        object->set("kv", encode_entry(event.entry));
        events->add(object);
    }
    result->set("events", events);
    Object::Ptr answer = new Object;
    answer->set("result", result);
    return answer;
}

Object::Ptr encode_watch_created(support::revision revision) {
    Object::Ptr result = answer_at(revision);
    result->set("created", true);
    Object::Ptr answer = new Object;
    answer->set("result", result);
    return answer;
}

} // namespace guavastair::standin
