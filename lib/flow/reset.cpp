#include "checksum.hpp"
#include "header_layout.hpp"

#include <guavastair/flow.hpp>

#include <algorithm>
#include <cassert>

namespace guavastair::flow {

static void write_ipv4(const packet& cause, std::byte* out) noexcept {
    constexpr std::byte version_and_size{0x45};
    constexpr std::byte initial_time_to_live{64};
    out[0] = version_and_size;
    store<std::uint16_t>(out + ipv4::total_length, reset_packet_size);
    out[ipv4::time_to_live] = initial_time_to_live;
    out[ipv4::protocol] = std::byte{tcp_protocol_number};
    store(out + ipv4::source, cause.key.service.address.value);
    store(out + ipv4::destination, cause.key.caller.address.value);
    const std::uint16_t sum =
        fold_sum(add_to_sum(0, {out, ipv4::min_header_size}));
    store(out + ipv4::checksum, sum);
}

/// Number of sequence numbers that `cause` occupies.
static std::uint32_t sequence_length_of(const packet& cause) noexcept {
    const std::uint32_t syn = cause.flags.syn() ? 1 : 0;
    const std::uint32_t fin = cause.flags.fin() ? 1 : 0;
    return cause.payload_size + syn + fin;
}

static void write_tcp(const packet& cause, std::byte* out) noexcept {
    constexpr std::byte header_words{0x50};
    store(out + tcp::source_port, cause.key.service.port);
    store(out + tcp::destination_port, cause.key.caller.port);
    out[tcp::data_offset] = header_words;
    // RFC 9293, 3.10.7.1: the caller accepts a reset only if it carries the
    // sequence number that the caller expects next. Without an ACK in `cause`
    // that number is unknown, and the reset acknowledges `cause` instead.
    if (cause.flags.ack()) {
        store(out + tcp::sequence, cause.acknowledgement);
        out[tcp::flags] = std::byte{tcp_flags::rst_bit};
        return;
    }
    store<std::uint32_t>(out + tcp::acknowledgement,
                         cause.sequence + sequence_length_of(cause));
    out[tcp::flags] = std::byte{tcp_flags::rst_bit | tcp_flags::ack_bit};
}

void encode_reset(const packet& cause,
                  std::span<std::byte, reset_packet_size> out) noexcept {
    assert(!cause.flags.rst() && "a reset must not be answered with a reset");
    std::fill(out.begin(), out.end(), std::byte{0});
    write_ipv4(cause, out.data());
    const auto segment = out.subspan(ipv4::min_header_size);
    write_tcp(cause, segment.data());
    const auto addresses = out.subspan(ipv4::source, ipv4::addresses_size);
    const std::uint16_t sum = fold_sum(sum_of_segment(addresses, segment));
    store(segment.data() + tcp::checksum, sum);
}

} // namespace guavastair::flow
