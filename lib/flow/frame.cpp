#include "byte_order.hpp"
#include "header_layout.hpp"

#include <guavastair/flow.hpp>

#include <cassert>

namespace guavastair::flow {

// Layout of a GUE variant 0 header:
//   byte 0: variant (2 bits), control flag (1 bit), and header length in
//           4-byte words without the first word (5 bits);
//   byte 1: protocol;
//   bytes 2 and 3: flags.
// No flag is set, so that the rest of the header is private data:
//   1 byte each: format version (4 bits) and extended (4 bits); hop; number of
//           candidates; passes;
//   for each candidate: id (8 bytes), address (4 bytes) and port (2 bytes);
//   zero padding to a multiple of 4 bytes.
static constexpr std::size_t gue_size = 4;
static constexpr std::size_t gue_protocol = 1;
static constexpr std::size_t gue_flags = 2;
static constexpr std::uint8_t gue_length_mask = 0x1f;
static constexpr std::uint8_t ipv4_protocol_number = 4;

static constexpr std::size_t fixed_private_size = 4;
static constexpr std::size_t version_offset = gue_size;
static constexpr std::size_t hop_offset = gue_size + 1;
static constexpr std::size_t count_offset = gue_size + 2;
static constexpr std::size_t passes_offset = gue_size + 3;
static constexpr std::uint8_t format_version = 1;
static constexpr int version_shift = 4;

static constexpr std::size_t address_offset = 8;
static constexpr std::size_t port_offset = 12;
static constexpr std::size_t candidate_size = 14;

static constexpr std::size_t header_size_for(std::size_t candidates) {
    const std::size_t size =
        gue_size + fixed_private_size + candidates * candidate_size;
    return (size + word_size - 1) / word_size * word_size;
}

static_assert(header_size_for(max_frame_candidates) == max_frame_header_size);
static_assert(header_size_for(max_frame_candidates) / word_size - 1 <=
              gue_length_mask);

std::size_t
encode_frame_header(const frame_header& header,
                    std::span<std::byte, max_frame_header_size> out) noexcept {
    const std::size_t count = header.candidates.size;
    assert(count > 0 && count <= max_frame_candidates &&
           "the number of candidates is out of range");
    assert(header.hop < count && "the hop is not the index of a candidate");
    const std::size_t size = header_size_for(count);
    out[0] = static_cast<std::byte>(size / word_size - 1);
    out[gue_protocol] = std::byte{ipv4_protocol_number};
    store<std::uint16_t>(&out[gue_flags], 0);
    out[version_offset] = static_cast<std::byte>(
        (format_version << version_shift) | (header.extended ? 1 : 0));
    out[hop_offset] = std::byte{header.hop};
    out[count_offset] = static_cast<std::byte>(count);
    out[passes_offset] = std::byte{header.passes};
    // The padding. The last candidate overwrites it if none is needed.
    store<std::uint16_t>(&out[size - sizeof(std::uint16_t)], 0);
    std::byte* to = out.data() + gue_size + fixed_private_size;
    for (const placement::candidate& candidate : header.candidates) {
        store(to, candidate.id.value);
        store(to + address_offset, candidate.data.address.value);
        store(to + port_offset, candidate.data.port);
        to += candidate_size;
    }
    return size;
}

/// Size in bytes of the frame header at the start of `bytes`, or the reason why
/// it is invalid.
static parse_result<std::size_t>
check_header(std::span<const std::byte> bytes) noexcept {
    if (bytes.size() < gue_size + fixed_private_size) {
        return {drop_reason::frame_truncated};
    }
    const auto first_byte = std::to_integer<std::uint8_t>(bytes[0]);
    const bool has_flags = load<std::uint16_t>(&bytes[gue_flags]) != 0;
    if ((first_byte & ~gue_length_mask) != 0 || has_flags) {
        return {drop_reason::frame_not_gue};
    }
    if (std::to_integer<std::uint8_t>(bytes[gue_protocol]) !=
        ipv4_protocol_number) {
        return {drop_reason::frame_bad_protocol};
    }
    const auto version = std::to_integer<std::uint8_t>(bytes[version_offset]);
    if ((version >> version_shift) != format_version || (version & 0x0e) != 0) {
        return {drop_reason::frame_bad_version};
    }
    const auto count = std::to_integer<std::size_t>(bytes[count_offset]);
    if (count == 0 || count > max_frame_candidates) {
        return {drop_reason::frame_bad_candidates};
    }
    const std::size_t size = header_size_for(count);
    if ((first_byte + std::size_t{1}) * word_size != size) {
        return {drop_reason::frame_bad_length};
    }
    if (bytes.size() < size) {
        return {drop_reason::frame_truncated};
    }
    const std::size_t end =
        gue_size + fixed_private_size + count * candidate_size;
    if (end < size && load<std::uint16_t>(&bytes[end]) != 0) {
        return {drop_reason::frame_bad_candidates};
    }
    return {drop_reason::none, size};
}

static placement::candidate load_candidate(const std::byte* from) noexcept {
    const support::member_id id{load<std::uint64_t>(from)};
    const support::ipv4_address address{
        load<std::uint32_t>(from + address_offset)};
    return {id, {address, load<std::uint16_t>(from + port_offset)}};
}

parse_result<frame> parse_frame(std::span<const std::byte> bytes) noexcept {
    const parse_result<std::size_t> size = check_header(bytes);
    if (!size.ok()) {
        return {size.reason};
    }
    parse_result<frame> result;
    frame_header& header = result.value.header;
    header.hop = std::to_integer<std::uint8_t>(bytes[hop_offset]);
    header.passes = std::to_integer<std::uint8_t>(bytes[passes_offset]);
    header.extended = (bytes[version_offset] & std::byte{1}) != std::byte{0};
    header.candidates.size = std::to_integer<std::size_t>(bytes[count_offset]);
    const bool is_hop_valid = header.hop < header.candidates.size;
    if (!is_hop_valid || header.passes < header.hop ||
        header.passes > max_passes) {
        return {drop_reason::frame_bad_hop};
    }
    const std::byte* from = bytes.data() + gue_size + fixed_private_size;
    for (std::size_t i = 0; i < header.candidates.size; ++i) {
        header.candidates.items[i] = load_candidate(from);
        if (header.candidates.items[i].data.port == 0) {
            return {drop_reason::frame_bad_candidates};
        }
        from += candidate_size;
    }
    result.value.packet = bytes.subspan(size.value);
    if (result.value.packet.size() > max_packet_size) {
        return {drop_reason::oversized};
    }
    return result;
}

} // namespace guavastair::flow
