#include "packet_builder.hpp"

namespace builder {

namespace flow = guavastair::flow;

static void put16(bytes& out, std::size_t offset, std::uint32_t value) {
    out[offset] = static_cast<std::byte>(value >> 8);
    out[offset + 1] = static_cast<std::byte>(value);
}

static void put32(bytes& out, std::size_t offset, std::uint32_t value) {
    put16(out, offset, value >> 16);
    put16(out, offset + 2, value & 0xffff);
}

/// The checksum of RFC 1071, computed over 16-bit words with end-around carry.
static std::uint32_t checksum(const bytes& data) {
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < data.size(); ++i) {
        const auto value = std::to_integer<std::uint32_t>(data[i]);
        sum += i % 2 == 0 ? value << 8 : value;
        sum = (sum & 0xffff) + (sum >> 16);
    }
    return ~sum & 0xffff;
}

static std::size_t ip_size_of(const bytes& packet) {
    return std::to_integer<std::size_t>(packet[0] & std::byte{15}) * 4;
}

void fix_ip_checksum(bytes& packet) {
    const auto size = static_cast<std::ptrdiff_t>(ip_size_of(packet));
    put16(packet, 10, 0);
    put16(packet, 10, checksum(bytes(packet.begin(), packet.begin() + size)));
}

void fix_checksums(bytes& packet) {
    fix_ip_checksum(packet);
    const std::size_t ip_size = ip_size_of(packet);
    put16(packet, ip_size + 16, 0);
    bytes checksum_input(packet.begin() + 12, packet.begin() + 20);
    checksum_input.resize(12);
    checksum_input[9] = std::byte{6};
    put16(checksum_input, 10,
          static_cast<std::uint32_t>(packet.size() - ip_size));
    checksum_input.insert(checksum_input.end(),
                          packet.begin() + static_cast<std::ptrdiff_t>(ip_size),
                          packet.end());
    put16(packet, ip_size + 16, checksum(checksum_input));
}

bytes make_packet(const flow::packet& headers, std::size_t ip_option_words,
                  std::size_t tcp_option_words) {
    const std::size_t ip_size = 20 + ip_option_words * 4;
    const std::size_t tcp_size = 20 + tcp_option_words * 4;
    bytes out(ip_size + tcp_size + headers.payload_size, std::byte{0x5a});
    std::fill_n(out.begin(), ip_size + tcp_size, std::byte{1});
    out[0] = static_cast<std::byte>(0x40 + ip_size / 4);
    put16(out, 2, static_cast<std::uint32_t>(out.size()));
    put16(out, 6, 0x4000);
    out[8] = std::byte{61};
    out[9] = std::byte{6};
    put32(out, 12, headers.key.caller.address.value);
    put32(out, 16, headers.key.service.address.value);
    put16(out, ip_size, headers.key.caller.port);
    put16(out, ip_size + 2, headers.key.service.port);
    put32(out, ip_size + 4, headers.sequence);
    put32(out, ip_size + 8, headers.acknowledgement);
    out[ip_size + 12] = static_cast<std::byte>(tcp_size / 4 << 4);
    out[ip_size + 13] = std::byte{headers.flags.bits};
    fix_checksums(out);
    return out;
}

} // namespace builder
