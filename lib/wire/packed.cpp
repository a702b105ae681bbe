#include "packed.hpp"

namespace guavastair::wire {

bytes pack(capnp::MessageBuilder& builder) {
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const kj::ArrayPtr<kj::byte> packed_bytes = stream.getArray();
    return {packed_bytes.begin(), packed_bytes.end()};
}

absl::Status malformed(absl::string_view message_name,
                       absl::string_view reason) {
    return support::make_error(
        support::error_kind::invalid_input,
        absl::StrCat("malformed ", message_name, ": ", reason));
}

} // namespace guavastair::wire
