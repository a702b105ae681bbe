/// Conversion between support::endpoint and POCO's socket addresses.

#ifndef GUAVASTAIR_LIB_CONTROL_SOCKET_ADDRESS_HPP
#define GUAVASTAIR_LIB_CONTROL_SOCKET_ADDRESS_HPP

#include <guavastair/support.hpp>

#include <Poco/Net/SocketAddress.h>

#include <cstring>

namespace guavastair::control {

inline Poco::Net::SocketAddress to_poco(support::endpoint address) {
    sockaddr_in plain{};
    plain.sin_family = AF_INET;
    plain.sin_port = htons(address.port);
    plain.sin_addr.s_addr = htonl(address.address.value);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const auto* generic = reinterpret_cast<const sockaddr*>(&plain);
    return Poco::Net::SocketAddress(generic, sizeof plain);
}

inline support::endpoint from_poco(const Poco::Net::SocketAddress& address) {
    sockaddr_in plain{};
    std::memcpy(&plain, address.addr(), sizeof plain);
    return {{ntohl(plain.sin_addr.s_addr)}, ntohs(plain.sin_port)};
}

} // namespace guavastair::control

#endif
