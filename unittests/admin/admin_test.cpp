#include <guavastair/admin.hpp>

#include <doctest/doctest.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace admin = guavastair::admin;
namespace support = guavastair::support;

namespace {

constexpr support::ipv4_address loopback{0x7f000001};

admin::options test_options(const std::string& token) {
    admin::options options;
    options.listen = {loopback, 0};
    options.bearer_token = token;
    options.max_body_bytes = 16;
    return options;
}

void add_routes(admin::server& server) {
    server.add({admin::method::get, "/ready",
                [](const admin::request&) -> absl::StatusOr<admin::response> {
                    return admin::response{200, "text/plain", "yes"};
                }});
    server.add({admin::method::put, "/services/",
                [](const admin::request& r) -> absl::StatusOr<admin::response> {
                    return admin::response{200, "text/plain",
                                           r.rest_of_path + "|" + r.body + "|" +
                                               r.if_match};
                }});
    server.add({admin::method::get, "/conflict",
                [](const admin::request&) -> absl::StatusOr<admin::response> {
                    return support::make_error(
                        support::error_kind::revision_conflict, "r 5 not 4");
                }});
}

admin::response put(support::endpoint server, const std::string& body,
                    const std::string& authorization) {
    Poco::Net::HTTPClientSession session(support::to_string(server.address),
                                         server.port);
    Poco::Net::HTTPRequest request("PUT", "/services/stock", "HTTP/1.1");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    request.set("If-Match", "4");
    if (!authorization.empty()) {
        request.set("Authorization", authorization);
    }
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse head;
    admin::response answer;
    Poco::StreamCopier::copyToString(session.receiveResponse(head),
                                     answer.body);
    answer.status = static_cast<int>(head.getStatus());
    return answer;
}

} // namespace

TEST_CASE("GET needs no token, and errors are mapped by the error table") {
    admin::server server(test_options("secret"));
    add_routes(server);
    REQUIRE(server.start().ok());
    const support::endpoint at = server.address();
    const auto ready = admin::fetch(at, "/ready?x=1", support::seconds(10));
    REQUIRE(ready.ok());
    CHECK(ready->body == "yes");
    const auto conflict = admin::fetch(at, "/conflict", support::seconds(10));
    CHECK(conflict->status == 409);
    CHECK(conflict->body.find("\"error\":\"revision_conflict\"") !=
          std::string::npos);
    CHECK(admin::fetch(at, "/nothing", support::seconds(10))->status == 404);
}

TEST_CASE("PUT requires the token") {
    admin::server server(test_options("secret"));
    add_routes(server);
    REQUIRE(server.start().ok());
    const support::endpoint at = server.address();
    CHECK(put(at, "x", "").status == 401);
    CHECK(put(at, "x", "Bearer secre").status == 401);
    CHECK(put(at, "x", "Bearer secretsecret").status == 401);
    const admin::response accepted = put(at, "x", "Bearer secret");
    CHECK(accepted.status == 200);
    CHECK(accepted.body == "stock|x|4");
}

TEST_CASE("without a configured token loopback may PUT, and the body size is "
          "limited") {
    admin::server server(test_options(""));
    add_routes(server);
    REQUIRE(server.start().ok());
    CHECK(put(server.address(), "0123456789abcdef", "").status == 200);
    CHECK(put(server.address(), "0123456789abcdefg", "").status == 413);
}

TEST_CASE("the error for a port in use contains the address") {
    admin::server first(test_options(""));
    REQUIRE(first.start().ok());
    admin::options options = test_options("");
    options.listen = first.address();
    admin::server second(options);
    const absl::Status status = second.start();
    REQUIRE_FALSE(status.ok());
    CHECK(support::kind_of(status) == support::error_kind::address_in_use);
    CHECK(std::string(status.message())
              .find(support::to_string(options.listen)) != std::string::npos);
}

TEST_CASE("tokens are compared in their whole length") {
    CHECK(admin::equals_in_constant_time("abc", "abc"));
    CHECK_FALSE(admin::equals_in_constant_time("abc", "abd"));
    CHECK_FALSE(admin::equals_in_constant_time("abcabc", "abc"));
    CHECK_FALSE(admin::equals_in_constant_time("", "abc"));
    CHECK_FALSE(admin::equals_in_constant_time("abc", ""));
}
