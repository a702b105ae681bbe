#include "fields.hpp"
#include "local_responses.hpp"

#include <absl/strings/str_cat.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace guavastair::request {

namespace {

constexpr std::int64_t ms_per_second = 1000;
constexpr absl::string_view replay_field = "Idempotent-Replayed";

std::string write_whole(Poco::Net::HTTPResponse message,
                        const std::string& body, response_options options) {
    message.setVersion(options.is_http_1_0 ? "HTTP/1.0" : "HTTP/1.1");
    if (options.close) {
        message.set("Connection", "close");
    }
    std::string bytes = write_head(message, {framing::length, body.size()});
    if (!options.head_only) {
        bytes += body;
    }
    return bytes;
}

std::string failure_body(const failure& reported,
                         const support::error_properties& row) {
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("error", std::string(row.name));
    object.set("outcome", std::string(support::to_string(row.result)));
    object.set("message", reported.message);
    if (row.has_retry_after) {
        object.set("retry_after_s", reported.retry_after.ms / ms_per_second);
    }
    std::ostringstream out;
    object.stringify(out);
    return out.str() + "\n";
}

} // namespace

std::string write_failure(const failure& reported, response_options options) {
    const support::error_properties& row =
        support::properties_of(reported.kind);
    Poco::Net::HTTPResponse message(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(row.http_status));
    message.set("Content-Type", "application/json");
    message.set("Cache-Control", "no-store");
    if (row.has_retry_after) {
        message.set("Retry-After",
                    std::to_string(reported.retry_after.ms / ms_per_second));
    }
    return write_whole(message, failure_body(reported, row), options);
}

std::string write_replay(const admission::stored_response& stored,
                         response_options options) {
    // The head was written by this library, so parsing it again succeeds.
    const auto head = parse_response_head(stored.head, "GET");
    if (!head.ok()) {
        const failure unreadable{support::error_kind::internal,
                                 "the kept answer cannot be read",
                                 {}};
        return write_failure(unreadable, options);
    }
    Poco::Net::HTTPResponse message = head->message;
    message.set(std::string(replay_field), "true");
    if (stored.body_stored) {
        return write_whole(message, stored.body, options);
    }
    message.set("Content-Type", "application/json");
    const std::string body = "{\"outcome\":\"done\",\"message\":\"the request "
                             "was run; its answer is no longer kept\"}\n";
    return write_whole(message, body, options);
}

absl::string_view write_continue() {
    return "HTTP/1.1 100 Continue\r\n\r\n";
}

} // namespace guavastair::request
