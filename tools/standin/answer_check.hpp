/// Parsing of HTTP responses and verification of their bodies, for the caller
/// stand-in.

#ifndef GUAVASTAIR_TOOLS_STANDIN_ANSWER_CHECK_HPP
#define GUAVASTAIR_TOOLS_STANDIN_ANSWER_CHECK_HPP

#include <absl/strings/string_view.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace guavastair::standin {

/// Compares a response body with the expected bytes.
class expected_body {
public:
    using byte_at = std::function<std::uint8_t(std::uint64_t)>;

    /// Expects an empty body.
    expected_body() = default;
    /// Expects `total` bytes, each given by `byte_source`.
    expected_body(std::uint64_t total, byte_at byte_source);
    /// Expects `text`.
    explicit expected_body(std::string text);

    /// Compares the next bytes. Returns how many of them differ from the
    /// expected body or lie past its end.
    std::uint64_t process_bytes(absl::string_view bytes);
    bool complete() const;

private:
    std::uint64_t size = 0;
    std::uint64_t received_size = 0;
    byte_at expected_byte;
};

/// Incremental decoder of the chunked transfer coding.
class chunk_reader {
public:
    /// Decodes `bytes` and appends the result to `body`.
    void process_bytes(absl::string_view bytes, std::string& body);
    bool complete() const {
        return this->current_part == part::end;
    }

private:
    enum class part : std::uint8_t { size, data, after_data, trailer, end };

    void process_line_byte(char byte);
    void process_line();

    part current_part = part::size;
    std::string line;
    std::uint64_t bytes_left = 0;
};

/// Incremental parser of an HTTP response.
class answer_reader {
public:
    /// Parses `bytes` and returns the body bytes among them, decoded.
    std::string process_bytes(absl::string_view bytes);

    bool head_complete() const {
        return this->status.has_value();
    }
    int status_code() const {
        return this->status.value_or(0);
    }
    /// True once the whole body has arrived. Never true for a body that is
    /// delimited by the end of its connection.
    bool complete() const;
    /// Value of the Retry-After header in seconds; 0 without one.
    int retry_after() const {
        return this->retry_seconds;
    }
    /// Whether the server closes the connection after this response.
    bool closes_connection() const {
        return this->has_connection_close;
    }

private:
    void read_head(const std::string& text);
    std::string decode_body(absl::string_view bytes);

    std::string head;
    std::optional<int> status;
    std::optional<std::uint64_t> length;
    std::optional<chunk_reader> chunks;
    std::uint64_t body_received = 0;
    int retry_seconds = 0;
    bool has_connection_close = false;
};

} // namespace guavastair::standin

#endif
