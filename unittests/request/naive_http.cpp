#include "naive_http.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace request_test {

namespace {

std::string field_of(const std::string& fields, const std::string& name) {
    const std::size_t at = fields.find(name + ": ");
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + name.size() + 2;
    return fields.substr(begin, fields.find("\r\n", begin) - begin);
}

std::optional<std::string> take_chunks(std::string& bytes) {
    std::string body;
    std::size_t at = 0;
    while (true) {
        const std::size_t end = bytes.find("\r\n", at);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        const auto size = static_cast<std::size_t>(
            std::stoul(bytes.substr(at, end - at), nullptr, 16));
        at = end + 2;
        if (bytes.size() < at + size + 2) {
            return std::nullopt;
        }
        body += bytes.substr(at, size);
        at += size + 2;
        if (size == 0) {
            bytes.erase(0, at);
            return body;
        }
    }
}

} // namespace

std::optional<naive_message> take_message(std::string& bytes,
                                          bool has_no_body) {
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::string rest = bytes.substr(end + 4);
    naive_message message;
    const std::string head = bytes.substr(0, end + 2);
    message.line = head.substr(0, head.find("\r\n"));
    message.fields = head.substr(head.find("\r\n") + 2);
    const std::string length = field_of(message.fields, "Content-Length");
    if (has_no_body) {
        bytes = rest;
        return message;
    }
    if (field_of(message.fields, "Transfer-Encoding") == "chunked") {
        const auto body = take_chunks(rest);
        if (!body.has_value()) {
            return std::nullopt;
        }
        message.body = *body;
    } else if (!length.empty()) {
        const auto size = static_cast<std::size_t>(std::stoul(length));
        if (rest.size() < size) {
            return std::nullopt;
        }
        message.body = rest.substr(0, size);
        rest.erase(0, size);
    }
    bytes = rest;
    return message;
}

std::string make_message(const std::string& line, const std::string& fields,
                         const std::string& body, body_form form,
                         std::size_t chunk) {
    std::string bytes = absl::StrCat(line, "\r\n", fields);
    switch (form) {
    case body_form::none:
        return bytes + "\r\n";
    case body_form::until_close:
        return absl::StrCat(bytes, "\r\n", body);
    case body_form::length:
        return absl::StrCat(bytes, "Content-Length: ", body.size(), "\r\n\r\n",
                            body);
    case body_form::chunked:
        break;
    }
    bytes += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += chunk) {
        const std::string piece = body.substr(at, chunk);
        absl::StrAppend(&bytes, absl::Hex(piece.size()), ";x=\"y\"\r\n", piece,
                        "\r\n");
    }
    return bytes + "0\r\nTrailer-Field: 1\r\n\r\n";
}

} // namespace request_test
