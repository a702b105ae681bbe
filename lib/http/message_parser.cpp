#include "message_parser.hpp"

#include <guavastair/http.hpp>

#include <utility>

namespace guavastair::http {

static message_parser* owner_of(http_parser* parser) {
    return static_cast<message_parser*>(parser->data);
}

message_parser::message_parser(side parsed_side) : message_side(parsed_side) {
    this->restart();
}

void message_parser::restart() {
    http_parser_init(&this->parser, this->message_side == side::request
                                        ? HTTP_REQUEST
                                        : HTTP_RESPONSE);
    this->parser.data = this;
    this->target_text.clear();
    this->body_text.clear();
    this->done = false;
    this->keep_alive = false;
}

int message_parser::on_target(http_parser* parser, const char* at,
                              size_t size) {
    owner_of(parser)->target_text.append(at, size);
    return 0;
}

int message_parser::on_body(http_parser* parser, const char* at, size_t size) {
    std::string& body = owner_of(parser)->body_text;
    if (body.size() + size > max_body_size) {
        return 1;
    }
    body.append(at, size);
    return 0;
}

int message_parser::on_complete(http_parser* parser) {
    message_parser* self = owner_of(parser);
    self->done = true;
    self->keep_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

message_parser::state message_parser::feed(absl::string_view bytes,
                                           std::size_t& consumed) {
    static const http_parser_settings settings = [] {
        http_parser_settings calls{};
        calls.on_url = on_target;
        calls.on_body = on_body;
        calls.on_message_complete = on_complete;
        return calls;
    }();
    consumed += http_parser_execute(&this->parser, &settings, bytes.data(),
                                    bytes.size());
    if (this->done) {
        return state::complete;
    }
    const auto error = static_cast<enum http_errno>(this->parser.http_errno);
    return error == HPE_OK ? state::incomplete : state::malformed;
}

int message_parser::status() const {
    return static_cast<int>(this->parser.status_code);
}

std::string message_parser::method() const {
    return http_method_str(static_cast<enum http_method>(this->parser.method));
}

const std::string& message_parser::target() const {
    return this->target_text;
}

std::string message_parser::release_body() {
    return std::exchange(this->body_text, {});
}

bool message_parser::should_keep_alive() const {
    return this->keep_alive;
}

} // namespace guavastair::http
