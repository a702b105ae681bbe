#include "body.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace guavastair::request {

namespace {

// Maximum chunk size in bytes: the largest value of 15 hexadecimal digits.
constexpr std::uint64_t max_chunk_size = (std::uint64_t{1} << 60U) - 1;
constexpr unsigned bits_per_digit = 4;
// Maximum size of one chunk-size line, and of all trailer fields together.
constexpr std::size_t max_framing_bytes = 4096;
constexpr int value_of_letter_a = 10;

int digit_value(char c) {
    const char lower = absl::ascii_tolower(static_cast<unsigned char>(c));
    return absl::ascii_isdigit(static_cast<unsigned char>(lower))
               ? lower - '0'
               : lower - 'a' + value_of_letter_a;
}

} // namespace

body_reader::body_reader(body_framing message_framing)
    : kind(message_framing.kind), current_stage(stage::data),
      remaining(message_framing.length) {
    if (this->kind == framing::chunked) {
        this->current_stage = stage::size_first;
    }
    const bool empty =
        this->kind == framing::none ||
        (this->kind == framing::length && message_framing.length == 0);
    if (empty) {
        this->current_stage = stage::complete;
    }
}

std::size_t body_reader::read(absl::string_view bytes, std::string& payload) {
    std::size_t used = 0;
    while (used < bytes.size() && !this->complete() && !this->malformed()) {
        if (this->current_stage == stage::data) {
            used += this->read_data(bytes.substr(used), payload);
            continue;
        }
        this->read_framing(bytes[used]);
        ++used;
    }
    return used;
}

bool body_reader::complete() const {
    return this->current_stage == stage::complete;
}

bool body_reader::malformed() const {
    return this->current_stage == stage::malformed;
}

std::optional<std::uint64_t> body_reader::remaining_bytes() const {
    if (this->complete()) {
        return 0;
    }
    if (this->kind == framing::length) {
        return this->remaining;
    }
    return std::nullopt;
}

std::size_t body_reader::read_data(absl::string_view bytes,
                                   std::string& payload) {
    std::size_t size = bytes.size();
    if (this->kind != framing::until_close) {
        size = static_cast<std::size_t>(
            std::min<std::uint64_t>(size, this->remaining));
        this->remaining -= size;
    }
    payload.append(bytes.data(), size);
    if (this->kind == framing::length && this->remaining == 0) {
        this->current_stage = stage::complete;
    }
    if (this->kind == framing::chunked && this->remaining == 0) {
        this->current_stage = stage::data_cr;
    }
    return size;
}

void body_reader::read_framing(char c) {
    if (++this->framing_bytes > max_framing_bytes) {
        this->current_stage = stage::malformed;
        return;
    }
    switch (this->current_stage) {
    case stage::size_first:
    case stage::size_more:
    case stage::extension:
    case stage::size_lf:
        this->read_size(c);
        break;
    case stage::data_cr:
        this->current_stage = c == '\r' ? stage::data_lf : stage::malformed;
        break;
    case stage::data_lf:
        this->current_stage = c == '\n' ? stage::size_first : stage::malformed;
        this->framing_bytes = 0;
        break;
    default:
        this->read_trailer(c);
        break;
    }
}

void body_reader::read_size(char c) {
    const bool is_digit = absl::ascii_isxdigit(static_cast<unsigned char>(c));
    if (this->current_stage == stage::size_lf) {
        const stage next =
            this->remaining == 0 ? stage::trailer_start : stage::data;
        this->current_stage = c == '\n' ? next : stage::malformed;
        this->framing_bytes = 0;
        return;
    }
    if (this->current_stage == stage::size_first) {
        this->remaining = 0;
        this->current_stage = is_digit ? stage::size_more : stage::malformed;
    }
    if (this->current_stage == stage::size_more && is_digit) {
        const auto value = static_cast<std::uint64_t>(digit_value(c));
        this->remaining = (this->remaining << bits_per_digit) | value;
        if (this->remaining > max_chunk_size) {
            this->current_stage = stage::malformed;
        }
        return;
    }
    if (this->current_stage == stage::malformed) {
        return;
    }
    if (c == '\r') {
        this->current_stage = stage::size_lf;
        return;
    }
    const bool starts_extension =
        this->current_stage == stage::size_more && c == ';';
    const bool continues_extension =
        this->current_stage == stage::extension &&
        (c == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(c)));
    this->current_stage = starts_extension || continues_extension
                              ? stage::extension
                              : stage::malformed;
}

void body_reader::read_trailer(char c) {
    switch (this->current_stage) {
    case stage::trailer_start:
        this->current_stage = c == '\r' ? stage::end_lf : stage::trailer;
        break;
    case stage::trailer:
        this->current_stage = c == '\r' ? stage::trailer_lf : stage::trailer;
        break;
    case stage::trailer_lf:
        this->current_stage =
            c == '\n' ? stage::trailer_start : stage::malformed;
        break;
    case stage::end_lf:
        this->current_stage = c == '\n' ? stage::complete : stage::malformed;
        break;
    default:
        this->current_stage = stage::malformed;
        break;
    }
    if (c == '\n' && this->current_stage == stage::trailer) {
        this->current_stage = stage::malformed;
    }
}

void write_body(framing kind, absl::string_view payload, std::string& out) {
    if (payload.empty()) {
        return;
    }
    if (kind != framing::chunked) {
        out.append(payload.data(), payload.size());
        return;
    }
    absl::StrAppend(&out, absl::Hex(payload.size()), "\r\n", payload, "\r\n");
}

void write_body_end(framing kind, std::string& out) {
    if (kind == framing::chunked) {
        out.append("0\r\n\r\n");
    }
}

} // namespace guavastair::request
