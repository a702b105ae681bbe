#include <guavastair/http.hpp>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <optional>

namespace http = guavastair::http;
namespace net = guavastair::net;
namespace support = guavastair::support;

namespace {

/// A loopback address with a port that nothing listens on.
support::endpoint free_address() {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) ==
            0);
    close(probe);
    return {{INADDR_LOOPBACK}, ntohs(address.sin_port)};
}

struct http_fixture {
    void run_until(const std::function<bool()>& done) {
        // Far longer than needed; reached only on a fault.
        for (int i = 0; i < 20'000 && !done(); ++i) {
            this->loop.run_once(support::milliseconds(1));
        }
        REQUIRE(done());
    }

    http::client::outcome exchange(http::client& client,
                                   const http::request& message,
                                   support::duration timeout) {
        std::optional<http::client::outcome> outcome_received;
        client.send(message, timeout,
                    [&outcome_received](http::client::outcome outcome) {
                        outcome_received = std::move(outcome);
                    });
        this->run_until(
            [&outcome_received] { return outcome_received.has_value(); });
        return *std::move(outcome_received);
    }

    support::steady_clock clock;
    net::event_loop loop{clock};
};

/// Accepts connections and never responds.
struct unresponsive_listener {
    unresponsive_listener() : at(free_address()) {
        this->socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(this->at.port);
        address.sin_addr.s_addr = htonl(this->at.address.value);
        REQUIRE(bind(this->socket, reinterpret_cast<sockaddr*>(&address),
                     sizeof address) == 0);
        REQUIRE(listen(this->socket, 8) == 0);
    }
    ~unresponsive_listener() {
        close(this->socket);
    }

    support::endpoint at;
    int socket = -1;
};

} // namespace

TEST_CASE("requests on one connection are answered in order") {
    http_fixture w;
    const support::endpoint at = free_address();
    int calls = 0;
    http::server server(w.loop, [&calls](const http::request& exchange) {
        ++calls;
        return http::response{exchange.target == "/missing" ? 404 : 200,
                              exchange.method + " " + exchange.target + " " +
                                  exchange.body};
    });
    REQUIRE(server.listen(at).ok());
    http::client client(w.loop, at);
    const auto first =
        w.exchange(client, {"GET", "/a?b=c", ""}, support::seconds(20));
    REQUIRE(first.result.ok());
    CHECK(first.result->status == 200);
    CHECK(first.result->body == "GET /a?b=c ");
    const auto second =
        w.exchange(client, {"POST", "/x", "{\"y\":1}"}, support::seconds(20));
    CHECK(second.result->body == "POST /x {\"y\":1}");
    const auto third =
        w.exchange(client, {"GET", "/missing", ""}, support::seconds(20));
    CHECK(third.result->status == 404);
    CHECK(calls == 3);
}

TEST_CASE("a body of 500 kB is transferred in both directions") {
    http_fixture w;
    const support::endpoint at = free_address();
    http::server server(w.loop, [](const http::request& exchange) {
        return http::response{200, exchange.body};
    });
    REQUIRE(server.listen(at).ok());
    http::client client(w.loop, at);
    const std::string large(500'000, 'x');
    const auto outcome_received =
        w.exchange(client, {"POST", "/", large}, support::seconds(20));
    REQUIRE(outcome_received.result.ok());
    CHECK(outcome_received.result->body == large);
}

TEST_CASE(
    "a refused connection or a missing response is reported as an error") {
    http_fixture w;
    SUBCASE("refused") {
        http::client client(w.loop, free_address());
        const auto outcome_received =
            w.exchange(client, {"GET", "/", ""}, support::seconds(20));
        CHECK(support::kind_of(outcome_received.result.status()) ==
              support::error_kind::peer_unreachable);
        CHECK_FALSE(outcome_received.request_sent);
    }
    SUBCASE("silent") {
        const unresponsive_listener unresponsive;
        http::client client(w.loop, unresponsive.at);
        const auto outcome_received =
            w.exchange(client, {"GET", "/", ""}, support::milliseconds(50));
        CHECK_FALSE(outcome_received.result.ok());
        CHECK(outcome_received.request_sent);
        CHECK_FALSE(client.busy());
    }
}

TEST_CASE("a connection closed by the server is reopened") {
    http_fixture w;
    const support::endpoint at = free_address();
    const auto answer = [](const http::request&) {
        return http::response{200, "ok"};
    };
    http::client client(w.loop, at);
    for (int i = 0; i < 2; ++i) {
        http::server server(w.loop, answer);
        REQUIRE(server.listen(at).ok());
        const auto outcome_received =
            w.exchange(client, {"GET", "/", ""}, support::seconds(20));
        CHECK(outcome_received.result.ok());
    }
}

TEST_CASE("invalid HTTP on one connection does not affect another") {
    http_fixture w;
    const support::endpoint at = free_address();
    http::server server(w.loop, [](const http::request&) {
        return http::response{200, "ok"};
    });
    REQUIRE(server.listen(at).ok());
    const int raw = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    address.sin_addr.s_addr = htonl(at.address.value);
    REQUIRE(connect(raw, reinterpret_cast<sockaddr*>(&address),
                    sizeof address) == 0);
    REQUIRE(send(raw, "nonsense\r\n\r\n", 12, 0) == 12);
    http::client client(w.loop, at);
    CHECK(
        w.exchange(client, {"GET", "/", ""}, support::seconds(20)).result.ok());
    close(raw);
}

TEST_CASE("a probe distinguishes accepting and refusing addresses") {
    http_fixture w;
    http::connect_probe probe(w.loop);
    std::optional<http::connect_probe::answer> outcome_received;
    const auto record_result =
        [&outcome_received](http::connect_probe::answer answer) {
            outcome_received = answer;
        };
    const unresponsive_listener unresponsive;
    probe.start(unresponsive.at, support::seconds(20), record_result);
    w.run_until([&outcome_received] { return outcome_received.has_value(); });
    CHECK(*outcome_received == http::connect_probe::answer::accepted);
    outcome_received.reset();
    probe.start(free_address(), support::seconds(20), record_result);
    w.run_until([&outcome_received] { return outcome_received.has_value(); });
    CHECK(*outcome_received == http::connect_probe::answer::refused);
    CHECK_FALSE(probe.busy());
}
