#include "fields.hpp"

#include <absl/strings/str_cat.h>

#include <array>
#include <limits>

namespace guavastair::config {

namespace {

using document = service_document;

constexpr limits no_range{};
constexpr std::int64_t ms_per_day = 86'400'000;
constexpr std::int64_t max_body_bytes = 1 << 30;

constexpr std::array<field<document>, 6> common_fields{{
    {"name", &document::name, presence::required, no_range, "",
     "the service's name, also the name of its key in the store"},
    {"address", &document::address, presence::required, no_range, "",
     "the address that callers connect to; must be unique among services"},
    {"protocol", &document::protocol, presence::required, no_range, "",
     "protocol of the callers: tcp for an opaque byte stream, http for "
     "HTTP/1.1"},
    {"slots",
     &document::slots,
     presence::optional,
     {1, 10'000},
     "requests",
     "requests that one backend server processes concurrently"},
    {"max_connections",
     &document::max_connections,
     presence::optional,
     {1, 1'000'000},
     "connections",
     "most open connections to one backend server"},
    {"drain_limit_ms",
     &document::drain_limit,
     presence::optional,
     {0, ms_per_day},
     "ms",
     "how long a draining backend server keeps connections that neither side "
     "closes"},
}};

constexpr std::array<field<document>, 5> http_fields{{
    {"request_timeout_ms",
     &document::request_timeout,
     presence::optional,
     {1, ms_per_day},
     "ms",
     "http only: longest time from the first byte of a request to the last "
     "byte of its response head"},
    {"max_request_bytes",
     &document::max_request_bytes,
     presence::optional,
     {0, max_body_bytes},
     "bytes",
     "http only: largest accepted request body"},
    {"idempotent_methods",
     &document::idempotent_methods,
     presence::optional,
     {0, 16},
     "",
     "http only: methods that are safe to retry if the response is lost"},
    {"idempotency_key", &document::idempotency_key, presence::optional,
     no_range, "",
     "http only: whether a request with a repeated Idempotency-Key receives "
     "the outcome of the first one"},
    {"idempotency_window_ms",
     &document::idempotency_window,
     presence::optional,
     {1000, ms_per_day},
     "ms",
     "http only: how long the outcome of a request with an Idempotency-Key is "
     "retained"},
}};

std::span<const field<document>> common() {
    return common_fields;
}

std::span<const field<document>> http() {
    return http_fields;
}

std::vector<absl::string_view> all_keys() {
    std::vector<absl::string_view> keys = keys_of(common());
    for (const field<document>& row : http_fields) {
        keys.push_back(row.key);
    }
    return keys;
}

void reject_http_keys(json_source& source, const json_object& root) {
    for (const field<document>& row : http_fields) {
        const std::string key(row.key);
        if (root.object->has(key)) {
            source.report(key, root.object->get(key),
                          "no such key unless protocol is \"http\"");
        }
    }
}

} // namespace

checked<service_document> parse_service_document(absl::string_view file,
                                                 absl::string_view text) {
    json_source source(file);
    const json_object root = source.parse(text);
    service_document result;
    read_fields(source, root, common(), result);
    read_fields(source, root, http(), result);
    source.reject_unknown_keys(root, all_keys());
    const bool is_tcp = result.protocol == service_protocol::tcp;
    const bool has_protocol =
        !root.object.isNull() && root.object->has("protocol");
    if (is_tcp && has_protocol) {
        reject_http_keys(source, root);
    }
    return {std::move(result), source.take_problems()};
}

std::string to_json(const service_document& document) {
    std::string members;
    for (const auto& row : common_fields) {
        write_field(document, row, members);
    }
    if (document.protocol == service_protocol::http) {
        for (const auto& row : http_fields) {
            write_field(document, row, members);
        }
    }
    return absl::StrCat("{", members, "}");
}

std::vector<problem>
check_addresses(absl::string_view file, const service_document& candidate,
                std::span<const service_document> documents) {
    std::vector<problem> problems;
    for (const service_document& other : documents) {
        if (other.name == candidate.name ||
            other.address != candidate.address) {
            continue;
        }
        problems.push_back(
            {std::string(file), "address",
             absl::StrCat("\"", to_string(candidate.address), "\""),
             absl::StrCat("a unique address; service \"", other.name.value,
                          "\" already has this one")});
    }
    return problems;
}

std::vector<key_description> service_document_keys() {
    std::vector<key_description> rows;
    describe_fields("", common(), rows);
    describe_fields("", http(), rows);
    return rows;
}

} // namespace guavastair::config
