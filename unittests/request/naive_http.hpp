/// A naive reader of whole HTTP messages, one at a time, for comparison.

#ifndef GUAVASTAIR_UNITTESTS_REQUEST_NAIVE_HTTP_HPP
#define GUAVASTAIR_UNITTESTS_REQUEST_NAIVE_HTTP_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace request_test {

struct naive_message {
    /// The first line.
    std::string line;
    std::string fields;
    std::string body;
};

/// Takes the first whole message off `bytes`. Nothing if it is incomplete.
/// `bodiless`: an answer that has no body whatever its fields say.
std::optional<naive_message> take_message(std::string& bytes, bool has_no_body);

enum class body_form : std::uint8_t { none, length, chunked, until_close };

/// A whole message with its body in `form`; chunks are `chunk` bytes long.
std::string make_message(const std::string& line, const std::string& fields,
                         const std::string& body, body_form form,
                         std::size_t chunk);

} // namespace request_test

#endif
