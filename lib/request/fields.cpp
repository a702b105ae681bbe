#include "fields.hpp"

#include <guavastair/request.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace guavastair::request {

namespace {

using support::error_kind;
using support::make_error;

constexpr absl::string_view line_end = "\r\n";
constexpr std::size_t max_fields = 100;
// Every number of this many digits fits into 64 bits.
constexpr std::size_t max_length_digits = 18;

constexpr std::array<absl::string_view, 7> connection_fields{
    "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
    "Upgrade",    "Expect"};

// Fields that a caller cannot remove by listing them in Connection.
constexpr std::array<absl::string_view, 4> protected_fields{
    "Host", "Content-Type", idempotency_key_field, request_timeout_field};

bool is_token_character(char c) {
    const absl::string_view others = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
           others.find(c) != absl::string_view::npos;
}

bool is_control(char c) {
    return absl::ascii_iscntrl(static_cast<unsigned char>(c)) && c != '\t';
}

bool has_control(absl::string_view text) {
    return std::any_of(text.begin(), text.end(), is_control);
}

absl::Status bad_field(absl::string_view what, absl::string_view name) {
    return make_error(
        error_kind::invalid_input,
        absl::StrCat(what, " in header field '", absl::CHexEscape(name), "'"));
}

absl::StatusOr<raw_head::field> split_field(absl::string_view line) {
    const std::size_t colon = line.find(':');
    if (colon == absl::string_view::npos) {
        return make_error(error_kind::invalid_input,
                          "a header line has no colon");
    }
    const absl::string_view name = line.substr(0, colon);
    if (!is_token(name)) {
        return bad_field("invalid character or white space", name);
    }
    return raw_head::field{name,
                           absl::StripAsciiWhitespace(line.substr(colon + 1))};
}

std::vector<std::string> list_members(const Poco::Net::MessageHeader& message,
                                      absl::string_view name) {
    std::vector<std::string> members;
    for (const std::string& value : values_of(message, name)) {
        for (const absl::string_view part : absl::StrSplit(value, ',')) {
            const absl::string_view member = absl::StripAsciiWhitespace(part);
            if (!member.empty()) {
                members.emplace_back(member);
            }
        }
    }
    return members;
}

absl::StatusOr<std::uint64_t> parse_content_length(absl::string_view text) {
    const bool digits = std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isdigit(static_cast<unsigned char>(c));
    });
    std::uint64_t length = 0;
    if (text.empty() || !digits || text.size() > max_length_digits ||
        !absl::SimpleAtoi(text, &length)) {
        return make_error(error_kind::invalid_input,
                          absl::StrCat("Content-Length is '",
                                       absl::CHexEscape(text),
                                       "', not one decimal number"));
    }
    return length;
}

} // namespace

bool is_token(absl::string_view text) {
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), is_token_character);
}

absl::StatusOr<raw_head> split_head(absl::string_view bytes) {
    raw_head head;
    bool first = true;
    while (!bytes.empty()) {
        const std::size_t end = bytes.find(line_end);
        if (end == absl::string_view::npos) {
            return make_error(error_kind::invalid_input,
                              "a header line does not end in CRLF");
        }
        const absl::string_view line = bytes.substr(0, end);
        bytes.remove_prefix(end + line_end.size());
        if (has_control(line)) {
            return make_error(error_kind::invalid_input,
                              "control character in the head");
        }
        if (first) {
            head.first_line = line;
            first = false;
            continue;
        }
        if (line.empty()) {
            break;
        }
        const auto field = split_field(line);
        if (!field.ok()) {
            return field.status();
        }
        head.fields.push_back(*field);
        if (head.fields.size() > max_fields) {
            return make_error(error_kind::invalid_input,
                              "more than 100 header fields");
        }
    }
    return head;
}

void set_fields(const raw_head& raw, Poco::Net::MessageHeader& message) {
    message.clear();
    for (const raw_head::field& field : raw.fields) {
        message.add(std::string(field.name), std::string(field.value));
    }
}

std::vector<std::string> values_of(const Poco::Net::MessageHeader& message,
                                   absl::string_view name) {
    std::vector<std::string> values;
    const std::string key(name);
    for (auto at = message.find(key); at != message.end(); ++at) {
        if (!absl::EqualsIgnoreCase(at->first, name)) {
            break;
        }
        values.push_back(at->second);
    }
    return values;
}

bool has_token(const Poco::Net::MessageHeader& message, absl::string_view name,
               absl::string_view token) {
    const auto members = list_members(message, name);
    return std::any_of(members.begin(), members.end(),
                       [token](const std::string& member) {
                           return absl::EqualsIgnoreCase(member, token);
                       });
}

void remove_connection_fields(Poco::Net::MessageHeader& message) {
    for (const std::string& listed_name : list_members(message, "Connection")) {
        const bool is_protected =
            std::any_of(protected_fields.begin(), protected_fields.end(),
                        [&listed_name](absl::string_view field) {
                            return absl::EqualsIgnoreCase(field, listed_name);
                        });
        if (!is_protected) {
            message.erase(listed_name);
        }
    }
    for (const absl::string_view name : connection_fields) {
        message.erase(std::string(name));
    }
}

absl::StatusOr<std::optional<body_framing>>
extract_body_framing(Poco::Net::MessageHeader& message) {
    const auto lengths = values_of(message, "Content-Length");
    const auto codings = values_of(message, "Transfer-Encoding");
    message.erase("Content-Length");
    message.erase("Transfer-Encoding");
    if (!lengths.empty() && !codings.empty()) {
        return make_error(error_kind::invalid_input,
                          "both Content-Length and Transfer-Encoding");
    }
    if (lengths.size() > 1 || codings.size() > 1) {
        return make_error(error_kind::invalid_input,
                          "more than one Content-Length or Transfer-Encoding");
    }
    if (!codings.empty()) {
        if (!absl::EqualsIgnoreCase(codings.front(), "chunked")) {
            return make_error(error_kind::invalid_input,
                              absl::StrCat("Transfer-Encoding is '",
                                           absl::CHexEscape(codings.front()),
                                           "', not 'chunked'"));
        }
        return body_framing{framing::chunked, 0};
    }
    if (lengths.empty()) {
        return std::optional<body_framing>();
    }
    const auto length = parse_content_length(lengths.front());
    if (!length.ok()) {
        return length.status();
    }
    return body_framing{framing::length, *length};
}

} // namespace guavastair::request
