#include <guavastair/net.hpp>

#include <doctest/doctest.h>
#include <poll.h>

#include <string>
#include <vector>

namespace net = guavastair::net;
namespace support = guavastair::support;

static constexpr support::ipv4_address loopback{0x7f000001};

static net::udp_socket open_socket(std::size_t batch = 8) {
    auto opened =
        net::udp_socket::open({.local = {loopback, 0}, .batch = batch});
    REQUIRE(opened.ok());
    return *std::move(opened);
}

static std::span<const std::byte> bytes_of(const std::string& text) {
    return std::as_bytes(std::span(text));
}

static std::vector<std::string> receive_all(net::udp_socket& socket,
                                            std::size_t expected) {
    std::vector<std::string> texts;
    constexpr int timeout_ms = 5000;
    while (texts.size() < expected) {
        pollfd waiting{socket.descriptor(), POLLIN, 0};
        REQUIRE(poll(&waiting, 1, timeout_ms) == 1);
        for (const net::datagram& item : socket.receive()) {
            texts.emplace_back(
                reinterpret_cast<const char*>(item.payload.data()),
                item.payload.size());
        }
    }
    return texts;
}

TEST_CASE("more datagrams than a batch arrive intact and in order") {
    net::udp_socket sender = open_socket();
    net::udp_socket receiver = open_socket();
    std::vector<std::string> sent;
    constexpr int count = 20;
    sent.reserve(count);
    for (int i = 0; i < count; ++i) {
        sent.push_back("head" + std::to_string(i));
    }
    for (const std::string& text : sent) {
        sender.queue(receiver.local(), bytes_of(text).first(4),
                     bytes_of(text).subspan(4));
    }
    sender.flush();
    CHECK(receive_all(receiver, sent.size()) == sent);
    CHECK(sender.counters().sent == sent.size());
    CHECK(sender.counters().send_calls == 3);
}

TEST_CASE("queue_copy does not depend on the buffer after the call") {
    net::udp_socket sender = open_socket();
    net::udp_socket receiver = open_socket();
    std::string text = "first";
    sender.queue_copy(receiver.local(), bytes_of(text));
    text = "other";
    sender.queue({receiver.local()}, {}, bytes_of(text));
    sender.flush();
    CHECK(receive_all(receiver, 2) ==
          std::vector<std::string>{"first", "other"});
}

TEST_CASE("a datagram above the maximum size is counted and dropped") {
    net::udp_socket sender = open_socket();
    net::udp_socket receiver = open_socket();
    const std::string large(net::max_datagram_size + 1, 'x');
    const std::string fits(net::max_datagram_size, 'y');
    sender.queue(receiver.local(), {}, bytes_of(large));
    sender.queue(receiver.local(), {}, bytes_of(fits));
    sender.flush();
    CHECK(receive_all(receiver, 1) == std::vector<std::string>{fits});
    CHECK(receiver.counters().truncated == 1);
}

TEST_CASE("an address in use and a non-local address are rejected") {
    const net::udp_socket holder = open_socket();
    const auto in_use = net::udp_socket::open({.local = holder.local()});
    REQUIRE_FALSE(in_use.ok());
    CHECK(support::kind_of(in_use.status()) ==
          support::error_kind::address_in_use);
    const std::string name = support::to_string(holder.local());
    CHECK(std::string(in_use.status().message()).find(name) !=
          std::string::npos);

    const support::endpoint non_local_address{{0xc0000201}, 4000};
    const auto non_local = net::udp_socket::open({.local = non_local_address});
    REQUIRE_FALSE(non_local.ok());
    CHECK(support::kind_of(non_local.status()) ==
          support::error_kind::invalid_input);
}
