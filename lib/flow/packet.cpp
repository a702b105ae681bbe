#include "checksum.hpp"
#include "header_layout.hpp"

#include <guavastair/flow.hpp>

namespace guavastair::flow {

using bytes_view = std::span<const std::byte>;

static constexpr unsigned ipv4_version = 4;
static constexpr int nibble_bits = 4;
static constexpr unsigned nibble_mask = 0x0f;

/// Size of the IPv4 header at the start of `bytes`, or the reason why the
/// packet is not forwarded.
static parse_result<std::size_t> check_ipv4(bytes_view bytes) noexcept {
    if (bytes.size() > max_packet_size) {
        return {drop_reason::oversized};
    }
    if (bytes.size() < ipv4::min_header_size) {
        return {drop_reason::truncated};
    }
    const auto first_byte = std::to_integer<unsigned>(bytes[0]);
    if ((first_byte >> nibble_bits) != ipv4_version) {
        return {drop_reason::not_ipv4};
    }
    const std::size_t size = (first_byte & nibble_mask) * word_size;
    if (size < ipv4::min_header_size) {
        return {drop_reason::bad_header_length};
    }
    if (size > bytes.size()) {
        return {drop_reason::truncated};
    }
    const auto total = load<std::uint16_t>(bytes.data() + ipv4::total_length);
    if (total > bytes.size()) {
        return {drop_reason::truncated};
    }
    if (total < bytes.size()) {
        return {drop_reason::bad_total_length};
    }
    if (fold_sum(add_to_sum(0, bytes.first(size))) != 0) {
        return {drop_reason::bad_header_checksum};
    }
    const auto fragment = load<std::uint16_t>(bytes.data() + ipv4::fragment);
    if ((fragment & ipv4::fragment_mask) != 0) {
        return {drop_reason::fragment};
    }
    if (std::to_integer<std::uint8_t>(bytes[ipv4::protocol]) !=
        tcp_protocol_number) {
        return {drop_reason::not_tcp};
    }
    return {drop_reason::none, size};
}

/// Whether a conforming TCP implementation can send this combination of flags.
static bool is_valid_combination(tcp_flags flags) noexcept {
    if (flags.syn()) {
        return !flags.fin() && !flags.rst();
    }
    return flags.ack() || flags.rst();
}

static support::endpoint load_endpoint(const std::byte* address,
                                       const std::byte* port) noexcept {
    return {{load<std::uint32_t>(address)}, load<std::uint16_t>(port)};
}

parse_result<packet> parse_packet(bytes_view bytes,
                                  parse_options options) noexcept {
    const parse_result<std::size_t> ip = check_ipv4(bytes);
    if (!ip.ok()) {
        return {ip.reason};
    }
    const bytes_view segment = bytes.subspan(ip.value);
    if (segment.size() < tcp::min_header_size) {
        return {drop_reason::truncated};
    }
    const std::byte* tcp = segment.data();
    const std::size_t tcp_size =
        std::to_integer<std::size_t>(tcp[tcp::data_offset] >> nibble_bits) *
        word_size;
    if (tcp_size < tcp::min_header_size || tcp_size > segment.size()) {
        return {drop_reason::bad_tcp_header};
    }
    const tcp_flags flags{std::to_integer<std::uint8_t>(tcp[tcp::flags])};
    if (!is_valid_combination(flags)) {
        return {drop_reason::bad_tcp_header};
    }
    if (options.verify_tcp_checksum) {
        const bytes_view addresses =
            bytes.subspan(ipv4::source, ipv4::addresses_size);
        if (fold_sum(sum_of_segment(addresses, segment)) != 0) {
            return {drop_reason::bad_tcp_checksum};
        }
    }
    packet result;
    result.key.caller =
        load_endpoint(bytes.data() + ipv4::source, tcp + tcp::source_port);
    result.key.service = load_endpoint(bytes.data() + ipv4::destination,
                                       tcp + tcp::destination_port);
    result.flags = flags;
    result.sequence = load<std::uint32_t>(tcp + tcp::sequence);
    result.acknowledgement = load<std::uint32_t>(tcp + tcp::acknowledgement);
    result.payload_size = static_cast<std::uint16_t>(segment.size() - tcp_size);
    return {drop_reason::none, result};
}

} // namespace guavastair::flow
