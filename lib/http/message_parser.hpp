/// Incremental parser of HTTP/1.1 messages, based on http_parser.

#ifndef GUAVASTAIR_LIB_HTTP_MESSAGE_PARSER_HPP
#define GUAVASTAIR_LIB_HTTP_MESSAGE_PARSER_HPP

#include <absl/strings/string_view.h>
#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace guavastair::http {

/// Parses successive messages from a byte stream.
class message_parser {
public:
    enum class side : std::uint8_t { request, response };
    enum class state : std::uint8_t { incomplete, complete, malformed };

    explicit message_parser(side parsed_side);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Parses bytes up to the end of the current message and adds their number
    /// to `consumed`.
    state feed(absl::string_view bytes, std::size_t& consumed);

    /// Prepares for the next message.
    void restart();

    int status() const;
    std::string method() const;
    const std::string& target() const;
    /// Moves the body out of the parser.
    std::string release_body();
    bool should_keep_alive() const;

private:
    static int on_target(http_parser* parser, const char* at, size_t size);
    static int on_body(http_parser* parser, const char* at, size_t size);
    static int on_complete(http_parser* parser);

    side message_side;
    http_parser parser{};
    std::string target_text;
    std::string body_text;
    bool done = false;
    bool keep_alive = false;
};

} // namespace guavastair::http

#endif
