#include <guavastair/logging.hpp>

#include <absl/strings/str_cat.h>

namespace guavastair::logging {

static bool needs_quotes(absl::string_view value) {
    if (value.empty()) {
        return true;
    }
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7f') {
            return true;
        }
    }
    return false;
}

static void append_quoted(std::string& out, absl::string_view value) {
    out += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < ' ' || c == '\x7f') {
            absl::StrAppend(&out, "\\x", absl::Hex(byte, absl::kZeroPad2));
        } else {
            out += c;
        }
    }
    out += '"';
}

line::line(absl::string_view event) : content(absl::StrCat("event=", event)) {}

line& line::add(absl::string_view key, absl::string_view value) {
    if (!needs_quotes(value)) {
        return this->add_verbatim(key, value);
    }
    absl::StrAppend(&this->content, " ", key, "=");
    append_quoted(this->content, value);
    return *this;
}

line& line::add(absl::string_view key, const char* value) {
    return this->add(key, absl::string_view(value));
}

line& line::add(absl::string_view key, const std::string& value) {
    return this->add(key, absl::string_view(value));
}

line& line::add(absl::string_view key, bool value) {
    return this->add_verbatim(key, value ? "true" : "false");
}

line& line::add(absl::string_view key, double value) {
    return this->add_verbatim(key, absl::StrCat(value));
}

line& line::add(absl::string_view key, support::endpoint value) {
    return this->add_verbatim(key, support::to_string(value));
}

line& line::add(absl::string_view key, support::member_id value) {
    return this->add_verbatim(key, support::to_string(value));
}

const std::string& line::text() const {
    return this->content;
}

line& line::add_verbatim(absl::string_view key, absl::string_view value) {
    absl::StrAppend(&this->content, " ", key, "=", value);
    return *this;
}

} // namespace guavastair::logging
