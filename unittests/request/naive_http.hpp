/// A simple parser of complete HTTP messages, used as a reference.

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

/// Removes the first complete message from `bytes` and returns it; nullopt if
/// it is incomplete. `bodiless`: a response without a body, regardless of its
/// fields.
std::optional<naive_message> take_message(std::string& bytes, bool has_no_body);

enum class body_form : std::uint8_t { none, length, chunked, until_close };

/// A complete message with its body in `form`, in chunks of `chunk` bytes.
std::string make_message(const std::string& line, const std::string& fields,
                         const std::string& body, body_form form,
                         std::size_t chunk);

} // namespace request_test

#endif
