#include "../../lib/control/peer_server.hpp"
#include "../../lib/control/puller.hpp"
#include "planes.hpp"

#include <doctest/doctest.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>

namespace guavastair::control {

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
const support::endpoint client_address{{loopback}, 1};
const wire::shared_key key{std::string(test_key)};

/// Starts `server` on a free loopback port. Retries because another process may
/// take the port after the probe has closed it.
support::endpoint start_anywhere(peer_server& server) {
    support::endpoint at{{loopback}, 0};
    absl::Status started = absl::UnknownError("not tried");
    for (int i = 0; !started.ok() && i < 16; ++i) {
        const Poco::Net::ServerSocket probe(
            Poco::Net::SocketAddress("127.0.0.1", 0));
        at.port = probe.address().port();
        Poco::Net::ServerSocket(probe).close();
        started = server.start(at);
    }
    REQUIRE(started.ok());
    return at;
}

std::optional<support::endpoint> find_client(support::member_id id) {
    if (id.value != 1) {
        return std::nullopt;
    }
    return client_address;
}

} // namespace

TEST_CASE("a peer pulls the documents that it lacks") {
    documents held;
    held.apply(change_at(0, 7));
    peer_server server(key, {{2}, 1}, held, find_client);
    const support::endpoint at = start_anywhere(server);
    std::atomic<std::int64_t> received = 0;
    puller client(key, {{1}, 1}, client_address,
                  [&](const config::change_set& changes) {
                      received = changes.to.value;
                  });
    CHECK(client.pull(at, {0}));
    CHECK(eventually([&] { return received == 7; }));
    CHECK(server.count().answered.messages == 1);
    server.stop();
}

TEST_CASE("unknown senders and senders with a different key get no documents") {
    documents held;
    held.apply(change_at(0, 7));
    peer_server server(key, {{2}, 1}, held, find_client);
    const support::endpoint at = start_anywhere(server);
    std::atomic<int> delivered = 0;
    const auto deliver = [&](const config::change_set&) { ++delivered; };
    puller unknown_client(key, {{9}, 1}, client_address, deliver);
    puller wrong_key_client({"another key for the tests"}, {{1}, 1},
                            client_address, deliver);
    unknown_client.pull(at, {0});
    wrong_key_client.pull(at, {0});
    CHECK(eventually([&] {
        return unknown_client.count().failed == 1 &&
               wrong_key_client.count().failed == 1;
    }));
    CHECK(delivered == 0);
    CHECK(server.count().forged == 1);
    // Responses are authenticated but not encrypted, so none may be sent.
    CHECK(server.count().answered.messages == 0);
}

TEST_CASE("a pull from an unresponsive peer times out and another can start") {
    const Poco::Net::ServerSocket silent(
        Poco::Net::SocketAddress("127.0.0.1", 0));
    const support::endpoint at{{loopback}, silent.address().port()};
    puller client(key, {{1}, 1}, client_address, [](const auto&) {});
    client.pull(at, {0});
    CHECK(eventually([&] { return client.count().failed == 1; }));
    CHECK(client.pull(at, {0}));
}

TEST_CASE("the server keeps serving after invalid bytes") {
    documents held;
    held.apply(change_at(0, 7));
    peer_server server(key, {{2}, 1}, held, find_client);
    const support::endpoint at = start_anywhere(server);
    {
        Poco::Net::StreamSocket raw_client(
            Poco::Net::SocketAddress("127.0.0.1", at.port));
        const std::string invalid_bytes(4000, '\xff');
        raw_client.sendBytes(invalid_bytes.data(),
                             static_cast<int>(invalid_bytes.size()));
    }
    std::atomic<std::int64_t> received = 0;
    puller client(key, {{1}, 1}, client_address,
                  [&](const config::change_set& changes) {
                      received = changes.to.value;
                  });
    client.pull(at, {0});
    CHECK(eventually([&] { return received == 7; }));
}

} // namespace guavastair::control
