/// Bodies of HTTP/1.1 messages: followed to their end and written again in
/// another framing.

#ifndef GUAVASTAIR_LIB_REQUEST_BODY_HPP
#define GUAVASTAIR_LIB_REQUEST_BODY_HPP

#include "head.hpp"

#include <string>

namespace guavastair::request {

/// Follows one body through bytes that are split anywhere.
class body_reader {
public:
    explicit body_reader(body_framing message_framing = {});

    /// Reads from the front of `bytes`, appends the payload to `payload` and
    /// returns how many bytes belong to the body. Reads nothing once the body
    /// is complete or broken.
    std::size_t read(absl::string_view bytes, std::string& payload);

    /// Whether the whole body was read. A body until close never is.
    bool complete() const;

    /// Whether the chunks cannot be read.
    bool malformed() const;

    /// Bytes of body still to come, if known.
    std::optional<std::uint64_t> remaining_bytes() const;

private:
    enum class stage : std::uint8_t {
        data,
        size_first,
        size_more,
        extension,
        size_lf,
        data_cr,
        data_lf,
        trailer_start,
        trailer,
        trailer_lf,
        end_lf,
        complete,
        malformed,
    };

    void read_framing(char c);
    void read_size(char c);
    void read_trailer(char c);
    std::size_t read_data(absl::string_view bytes, std::string& payload);

    framing kind;
    stage current_stage;
    std::uint64_t remaining = 0;
    std::size_t framing_bytes = 0;
};

/// Appends `payload` to `out` as a piece of a body in framing `kind`.
void write_body(framing kind, absl::string_view payload, std::string& out);

/// Appends the end of a body in framing `kind`.
void write_body_end(framing kind, std::string& out);

} // namespace guavastair::request

#endif
