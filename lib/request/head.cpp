#include "fields.hpp"
#include "head.hpp"

#include <guavastair/request.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace guavastair::request {

namespace {

using support::error_kind;
using support::make_error;

constexpr absl::string_view head_terminator = "\r\n\r\n";
constexpr std::size_t max_method_size = 32;
constexpr std::int64_t max_timeout_ms = 86'400'000;
constexpr int lowest_status = 100;
constexpr int lowest_final_status = 200;
constexpr int highest_status = 999;
constexpr int status_switching_protocols = 101;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

constexpr std::array<absl::string_view, 6> idempotent_methods{
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

absl::Status bad_request(absl::string_view message) {
    return make_error(error_kind::invalid_input, message);
}

absl::Status bad_response(absl::string_view message) {
    return make_error(
        error_kind::request_outcome_unknown,
        absl::StrCat("the server's answer cannot be read: ", message));
}

bool is_target_character(char c) {
    return absl::ascii_isgraph(static_cast<unsigned char>(c));
}

// Accepts "METHOD SP target SP HTTP/1.x" only.
absl::Status check_request_line(absl::string_view line) {
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == absl::string_view::npos || first == last) {
        return bad_request("the request line does not have three parts");
    }
    const absl::string_view method = line.substr(0, first);
    const absl::string_view target = line.substr(first + 1, last - first - 1);
    const absl::string_view version = line.substr(last + 1);
    if (!is_token(method) || method.size() > max_method_size) {
        return bad_request("invalid method");
    }
    if (!std::all_of(target.begin(), target.end(), is_target_character)) {
        return bad_request("invalid character in the request target");
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
        return bad_request(absl::StrCat("version '", absl::CHexEscape(version),
                                        "' is not HTTP/1.1 or HTTP/1.0"));
    }
    if (method == "CONNECT") {
        return bad_request("method CONNECT is not supported");
    }
    return absl::OkStatus();
}

// Accepts "HTTP/1.x SP" and three digits, optionally with a reason phrase.
std::optional<int> parse_status_line(absl::string_view line) {
    constexpr std::size_t digits_at = 9;
    constexpr std::size_t digits_end = 12;
    if (!absl::StartsWith(line, "HTTP/1.1 ") &&
        !absl::StartsWith(line, "HTTP/1.0 ")) {
        return std::nullopt;
    }
    if (line.size() < digits_end) {
        return std::nullopt;
    }
    const absl::string_view digits =
        line.substr(digits_at, digits_end - digits_at);
    const bool is_number =
        std::all_of(digits.begin(), digits.end(), [](char c) {
            return absl::ascii_isdigit(static_cast<unsigned char>(c));
        });
    const bool is_terminated =
        line.size() == digits_end || line[digits_end] == ' ';
    int status = 0;
    if (!is_number || !is_terminated || !absl::SimpleAtoi(digits, &status)) {
        return std::nullopt;
    }
    return status;
}

template <typename Message>
bool parse_with_poco(absl::string_view bytes, Message& message) {
    std::istringstream in{std::string(bytes)};
    try {
        message.read(in);
    } catch (const Poco::Exception&) {
        return false;
    }
    return true;
}

absl::Status parse_connection(request_head& head) {
    Poco::Net::HTTPRequest& message = head.message;
    head.is_http_1_0 = message.getVersion() == "HTTP/1.0";
    if (message.has("Upgrade")) {
        return bad_request("Upgrade is not supported");
    }
    const std::size_t hosts = values_of(message, "Host").size();
    if (hosts > 1 || (hosts == 0 && !head.is_http_1_0)) {
        return bad_request("not exactly one Host");
    }
    // An HTTP/1.0 caller may not support chunked responses, so the end of the
    // response is marked by closing the connection.
    head.keep_alive =
        !head.is_http_1_0 && !has_token(message, "Connection", "close");
    const auto expectations = values_of(message, "Expect");
    if (expectations.empty()) {
        return absl::OkStatus();
    }
    if (expectations.size() > 1 ||
        !absl::EqualsIgnoreCase(expectations.front(), "100-continue")) {
        return bad_request("Expect is not '100-continue'");
    }
    head.expects_continue = !head.is_http_1_0;
    return absl::OkStatus();
}

absl::Status parse_timeout(request_head& head) {
    const auto values = values_of(head.message, request_timeout_field);
    if (values.empty()) {
        return absl::OkStatus();
    }
    std::int64_t ms = 0;
    if (values.size() > 1 || !absl::SimpleAtoi(values.front(), &ms) || ms < 1 ||
        ms > max_timeout_ms) {
        return bad_request(absl::StrCat(
            request_timeout_field, " is '", absl::CHexEscape(values.front()),
            "', not one number from 1 to ", max_timeout_ms));
    }
    head.timeout = support::milliseconds(ms);
    return absl::OkStatus();
}

absl::Status parse_operation(request_head& head) {
    const auto values = values_of(head.message, idempotency_key_field);
    const auto& method = head.message.getMethod();
    const bool idempotent =
        std::find(idempotent_methods.begin(), idempotent_methods.end(),
                  method) != idempotent_methods.end();
    if (values.empty() || idempotent) {
        return absl::OkStatus();
    }
    absl::string_view key = values.front();
    // The draft standard specifies a quoted string; many callers omit the
    // quotes.
    if (key.size() >= 2 && key.front() == '"' && key.back() == '"') {
        key = key.substr(1, key.size() - 2);
    }
    if (values.size() > 1 || key.empty() ||
        key.size() > admission::max_idempotency_key_size) {
        return bad_request(
            absl::StrCat(idempotency_key_field, " is not one key of 1 to ",
                         admission::max_idempotency_key_size, " characters"));
    }
    head.operation = std::string(key);
    return absl::OkStatus();
}

absl::Status parse_body_framing(request_head& head) {
    const auto parsed_framing = extract_body_framing(head.message);
    if (!parsed_framing.ok()) {
        return parsed_framing.status();
    }
    head.body = parsed_framing->value_or(body_framing{});
    if (head.is_http_1_0 && head.body.kind == framing::chunked) {
        return bad_request("Transfer-Encoding in an HTTP/1.0 request");
    }
    return absl::OkStatus();
}

void write_framing_fields(Poco::Net::MessageHeader& message,
                          body_framing body) {
    if (body.kind == framing::length) {
        message.set("Content-Length", std::to_string(body.length));
    } else if (body.kind == framing::chunked) {
        message.set("Transfer-Encoding", "chunked");
    }
}

// Whether a response has no body regardless of its fields (RFC 9112).
bool has_no_body(int status, const std::string& method) {
    return method == "HEAD" || status < lowest_final_status ||
           status == status_no_content || status == status_not_modified;
}

} // namespace

std::optional<std::size_t> head_scanner::find(absl::string_view bytes) {
    const std::size_t at = bytes.find(head_terminator, this->scanned);
    if (at != absl::string_view::npos) {
        return at + head_terminator.size();
    }
    const std::size_t overlap = head_terminator.size() - 1;
    this->scanned = bytes.size() > overlap ? bytes.size() - overlap : 0;
    return std::nullopt;
}

void head_scanner::reset() {
    this->scanned = 0;
}

absl::StatusOr<request_head> parse_request_head(absl::string_view bytes) {
    const auto raw = split_head(bytes);
    if (!raw.ok()) {
        return raw.status();
    }
    const absl::Status line = check_request_line(raw->first_line);
    if (!line.ok()) {
        return line;
    }
    request_head head;
    if (!parse_with_poco(bytes, head.message)) {
        return bad_request("the request's head cannot be read");
    }
    set_fields(*raw, head.message);
    using step = absl::Status (*)(request_head&);
    constexpr std::array<step, 4> steps{parse_connection, parse_timeout,
                                        parse_operation, parse_body_framing};
    for (const step next : steps) {
        const absl::Status status = next(head);
        if (!status.ok()) {
            return status;
        }
    }
    remove_connection_fields(head.message);
    head.message.erase(std::string(request_timeout_field));
    return head;
}

absl::StatusOr<response_head> parse_response_head(absl::string_view bytes,
                                                  const std::string& method) {
    const auto raw = split_head(bytes);
    if (!raw.ok()) {
        return bad_response(raw.status().message());
    }
    const auto read = parse_status_line(raw->first_line);
    if (!read.has_value()) {
        return bad_response("invalid status line");
    }
    const int status = *read;
    response_head head;
    head.status = status;
    if (!parse_with_poco(bytes, head.message)) {
        return bad_response("invalid head");
    }
    set_fields(*raw, head.message);
    if (status < lowest_status || status > highest_status ||
        status == status_switching_protocols) {
        return bad_response(absl::StrCat("unexpected status ", status));
    }
    const std::string length = head.message.get("Content-Length", "");
    const auto parsed_framing = extract_body_framing(head.message);
    if (!parsed_framing.ok()) {
        return bad_response(parsed_framing.status().message());
    }
    head.interim = status < lowest_final_status;
    head.event_stream = absl::StartsWithIgnoreCase(
        head.message.get("Content-Type", ""), "text/event-stream");
    head.body = parsed_framing->value_or(body_framing{framing::until_close, 0});
    if (has_no_body(status, method)) {
        head.body = {};
        const bool may_carry_length =
            status >= lowest_final_status && status != status_no_content;
        if (may_carry_length && !length.empty()) {
            head.message.set("Content-Length", length);
        }
    }
    remove_connection_fields(head.message);
    return head;
}

std::string write_head(Poco::Net::HTTPRequest message, body_framing body) {
    write_framing_fields(message, body);
    std::ostringstream out;
    message.write(out);
    return std::move(out).str();
}

std::string write_head(Poco::Net::HTTPResponse message, body_framing body) {
    write_framing_fields(message, body);
    std::ostringstream out;
    message.write(out);
    return std::move(out).str();
}

} // namespace guavastair::request
