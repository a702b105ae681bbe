/// Bodies of HTTP/1.1 messages: parsing up to their end, and writing in another
/// framing.

#ifndef GUAVASTAIR_LIB_REQUEST_BODY_HPP
#define GUAVASTAIR_LIB_REQUEST_BODY_HPP

#include "head.hpp"

#include <string>

namespace guavastair::request {

/// Incremental parser of one body. The input may be split at any position.
class body_reader {
public:
    explicit body_reader(body_framing message_framing = {});

    /// Parses the front of `bytes`, appends the payload to `payload` and
    /// returns the number of bytes that belong to the body. Consumes nothing
    /// once the body is complete or malformed.
    std::size_t read(absl::string_view bytes, std::string& payload);

    /// Whether the whole body was parsed. Never true for framing::until_close.
    bool complete() const;

    /// Whether the chunked framing is invalid.
    bool malformed() const;

    /// Number of body bytes that are still missing, if known.
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

/// Appends `payload` to `out` as a part of a body in framing `kind`.
void write_body(framing kind, absl::string_view payload, std::string& out);

/// Appends the end marker of a body in framing `kind`.
void write_body_end(framing kind, std::string& out);

} // namespace guavastair::request

#endif
