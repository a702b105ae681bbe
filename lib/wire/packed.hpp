/// Packs and unpacks complete Cap'n Proto messages.

#ifndef GUAVASTAIR_LIB_WIRE_PACKED_HPP
#define GUAVASTAIR_LIB_WIRE_PACKED_HPP

#include <guavastair/wire.hpp>

#include <absl/strings/str_cat.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>

namespace guavastair::wire {

/// Returns the packed form of `builder`.
bytes pack(capnp::MessageBuilder& builder);

/// Makes the error_kind::invalid_input for data that Cap'n Proto or a field
/// check rejects.
absl::Status malformed(absl::string_view message_name,
                       absl::string_view reason);

/// Unpacks `data`, of at most `max_words` words once unpacked, and passes its
/// root to `read`, which returns a StatusOr. An exception of Cap'n Proto
/// becomes error_kind::invalid_input.
template <typename Root, typename Read>
auto unpack(byte_view data, std::size_t max_words,
            absl::string_view message_name, Read read)
    -> decltype(read(std::declval<typename Root::Reader>())) {
    constexpr int max_depth = 8;
    const capnp::ReaderOptions limits{max_words, max_depth};
    try {
        kj::ArrayInputStream stream(
            kj::ArrayPtr<const kj::byte>(data.data(), data.size()));
        capnp::PackedMessageReader reader(stream, limits);
        return read(reader.getRoot<Root>());
    } catch (const kj::Exception& error) {
        return malformed(message_name, error.getDescription().cStr());
    } catch (const std::exception& error) {
        return malformed(message_name, error.what());
    }
}

} // namespace guavastair::wire

#endif
