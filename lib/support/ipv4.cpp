#include <guavastair/support.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <limits>
#include <vector>

namespace guavastair::support {

static constexpr std::size_t octets_per_address = 4;
static constexpr std::uint32_t bits_per_octet = 8;
static constexpr std::uint32_t max_octet = 255;

absl::StatusOr<ipv4_address> parse_ipv4_address(absl::string_view text) {
    const auto invalid = [text] {
        return make_error(
            error_kind::invalid_input,
            absl::StrCat("\"", text, "\" is not an IPv4 address (a.b.c.d)"));
    };
    const std::vector<absl::string_view> octets = absl::StrSplit(text, '.');
    if (octets.size() != octets_per_address) {
        return invalid();
    }
    ipv4_address result;
    for (const absl::string_view octet : octets) {
        std::uint32_t number = 0;
        const bool is_number = absl::SimpleAtoi(octet, &number);
        if (!is_number || number > max_octet || octet.size() > 3) {
            return invalid();
        }
        result.value = (result.value << bits_per_octet) | number;
    }
    return result;
}

absl::StatusOr<endpoint> parse_endpoint(absl::string_view text) {
    const auto invalid = [text] {
        return make_error(
            error_kind::invalid_input,
            absl::StrCat("\"", text,
                         "\" is not an address with a port from 1 to 65535 "
                         "(a.b.c.d:port)"));
    };
    const std::size_t colon = text.find(':');
    if (colon == absl::string_view::npos) {
        return invalid();
    }
    const auto address = parse_ipv4_address(text.substr(0, colon));
    std::uint32_t port = 0;
    const bool is_number = absl::SimpleAtoi(text.substr(colon + 1), &port);
    constexpr std::uint32_t max_port =
        std::numeric_limits<std::uint16_t>::max();
    if (!address.ok() || !is_number || port == 0 || port > max_port) {
        return invalid();
    }
    return endpoint{*address, static_cast<std::uint16_t>(port)};
}

std::string to_string(ipv4_address address) {
    const auto octet = [address](std::uint32_t index) {
        return (address.value >> (index * bits_per_octet)) & max_octet;
    };
    return absl::StrCat(octet(3), ".", octet(2), ".", octet(1), ".", octet(0));
}

std::string to_string(endpoint address) {
    return absl::StrCat(to_string(address.address), ":", address.port);
}

} // namespace guavastair::support
