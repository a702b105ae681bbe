#include "answer_check.hpp"

#include <absl/strings/numbers.h>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace guavastair::standin {

expected_body::expected_body(std::uint64_t total, byte_at byte_source)
    : size(total), expected_byte(std::move(byte_source)) {}

expected_body::expected_body(std::string text) : size(text.size()) {
    this->expected_byte = [stored_text =
                               std::move(text)](std::uint64_t offset) {
        return static_cast<std::uint8_t>(stored_text[offset]);
    };
}

std::uint64_t expected_body::process_bytes(absl::string_view bytes) {
    std::uint64_t mismatch_count = 0;
    for (const char byte : bytes) {
        const bool is_excess = this->received_size >= this->size;
        const bool differs =
            is_excess || static_cast<std::uint8_t>(byte) !=
                             this->expected_byte(this->received_size);
        mismatch_count += differs ? 1 : 0;
        ++this->received_size;
    }
    return mismatch_count;
}

bool expected_body::complete() const {
    return this->received_size >= this->size;
}

void chunk_reader::process_bytes(absl::string_view bytes, std::string& body) {
    while (!bytes.empty() && !this->complete()) {
        if (this->current_part != part::data) {
            this->process_line_byte(bytes.front());
            bytes.remove_prefix(1);
            continue;
        }
        const auto size = static_cast<std::size_t>(
            std::min<std::uint64_t>(this->bytes_left, bytes.size()));
        body.append(bytes.data(), size);
        bytes.remove_prefix(size);
        this->bytes_left -= size;
        if (this->bytes_left == 0) {
            this->current_part = part::after_data;
        }
    }
}

void chunk_reader::process_line_byte(char byte) {
    if (byte == '\n') {
        this->process_line();
        this->line.clear();
    } else if (byte != '\r') {
        this->line += byte;
    }
}

void chunk_reader::process_line() {
    switch (this->current_part) {
    case part::size:
        if (!absl::SimpleHexAtoi(this->line, &this->bytes_left)) {
            this->bytes_left = 0;
        }
        this->current_part = this->bytes_left > 0 ? part::data : part::trailer;
        return;
    case part::after_data:
        this->current_part = part::size;
        return;
    case part::trailer:
        this->current_part = this->line.empty() ? part::end : part::trailer;
        return;
    case part::data:
    case part::end:
        return;
    }
}

std::string answer_reader::process_bytes(absl::string_view bytes) {
    if (this->head_complete()) {
        return this->decode_body(bytes);
    }
    this->head.append(bytes.data(), bytes.size());
    constexpr absl::string_view end_of_head = "\r\n\r\n";
    const std::size_t end = this->head.find(end_of_head.data());
    if (end == std::string::npos) {
        return {};
    }
    const std::string rest = this->head.substr(end + end_of_head.size());
    this->head.resize(end + end_of_head.size());
    this->read_head(this->head);
    return this->decode_body(rest);
}

std::string answer_reader::decode_body(absl::string_view bytes) {
    std::string body;
    if (this->chunks.has_value()) {
        this->chunks->process_bytes(bytes, body);
    } else {
        body.assign(bytes.data(), bytes.size());
    }
    this->body_received += body.size();
    return body;
}

void answer_reader::read_head(const std::string& text) {
    Poco::Net::HTTPResponse response;
    std::istringstream in(text);
    try {
        response.read(in);
    } catch (const Poco::Exception&) {
        this->status = 0;
        return;
    }
    this->status = response.getStatus();
    if (response.hasContentLength()) {
        this->length =
            static_cast<std::uint64_t>(response.getContentLength64());
    }
    if (response.getChunkedTransferEncoding()) {
        this->chunks.emplace();
    }
    this->has_connection_close = !response.getKeepAlive();
    const bool is_number = absl::SimpleAtoi(response.get("Retry-After", "0"),
                                            &this->retry_seconds);
    this->retry_seconds = is_number ? this->retry_seconds : 0;
}

bool answer_reader::complete() const {
    if (this->chunks.has_value()) {
        return this->chunks->complete();
    }
    return this->length.has_value() && this->body_received >= *this->length;
}

} // namespace guavastair::standin
