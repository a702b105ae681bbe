#include <guavastair/commands.hpp>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <fake_client.hpp>

#include <sstream>

namespace commands = guavastair::commands;
namespace store = guavastair::store;
namespace support = guavastair::support;

using commands::output_format;
using support::error_kind;

namespace {

std::string example(const std::string& name) {
    return absl::StrCat(GUAVASTAIR_SOURCE_DIR, "/examples/", name);
}

/// Runs commands against an in-memory store and captures their output.
struct shell {
    store::fake_client client;
    store::editor editor{
        client, {}, std::mt19937_64(1), [](support::duration) {}};
    std::string printed;

    template <typename Command>
    absl::Status run(const Command& command,
                     output_format format = output_format::text) {
        std::ostringstream stream;
        absl::Status status =
            commands::run(command, this->editor, {stream, format});
        this->printed = stream.str();
        return status;
    }
};

error_kind kind_of(const absl::Status& status) {
    REQUIRE_FALSE(status.ok());
    return support::kind_of(status);
}

} // namespace

TEST_CASE("a service can be put, shown, listed and deleted") {
    shell sh;
    const commands::service_put put{example("thai/order-portal.json"), {0}};
    REQUIRE(sh.run(put).ok());
    CHECK(sh.printed == "document: guavastair/services/order-portal\n"
                        "result: accepted\nrevision: 2\n");
    REQUIRE(sh.run(put, output_format::json).ok());
    CHECK(sh.printed == R"({"document":"guavastair/services/order-portal",)"
                        R"("result":"unchanged","revision":2})"
                        "\n");
    REQUIRE(sh.run(commands::service_get{{"order-portal"}}).ok());
    CHECK(sh.printed.find("// revision 2\n{\"name\":\"order-portal\"") == 0);
    REQUIRE(sh.run(commands::service_list{}).ok());
    CHECK(sh.printed ==
          "name          address          protocol  slots  max_connections  "
          "revision  \n"
          "order-portal  10.20.0.10:8080  http      5      2000             "
          "2         \n");
    CHECK(kind_of(sh.run(commands::service_delete{{"order-portal"}, {1}})) ==
          error_kind::revision_conflict);
    REQUIRE(sh.run(commands::service_delete{{"order-portal"}, {2}}).ok());
    REQUIRE(sh.run(commands::service_list{}, output_format::json).ok());
    CHECK(sh.printed == "[]\n");
    CHECK(kind_of(sh.run(commands::service_get{{"order-portal"}})) ==
          error_kind::not_found);
    CHECK(sh.printed.empty());
}

TEST_CASE("a data centre can be created, withdrawn and returned") {
    shell sh;
    CHECK(kind_of(sh.run(commands::data_centre_set{{"giza"}, true, {}})) ==
          error_kind::not_found);
    REQUIRE(sh.run(commands::data_centre_set{{"giza"}, false, {{0}}}).ok());
    REQUIRE(sh.run(commands::data_centre_set{{"giza"}, true, {}}).ok());
    REQUIRE(sh.run(commands::data_centre_list{}, output_format::json).ok());
    CHECK(sh.printed == R"([{"name":"giza","withdrawn":true,"revision":3}])"
                        "\n");
    REQUIRE(sh.run(commands::data_centre_set{{"giza"}, false, {}}).ok());
    REQUIRE(sh.run(commands::data_centre_list{}).ok());
    CHECK(sh.printed == "name  withdrawn  revision  \n"
                        "giza  false      4         \n");
}

TEST_CASE("an edit with an unknown outcome is reported as such") {
    shell sh;
    sh.client.decide = [](store::call_kind kind) {
        return kind == store::call_kind::write ? store::call_fate::request_lost
                                               : store::call_fate::answered;
    };
    const auto status =
        sh.run(commands::data_centre_set{{"giza"}, true, {{0}}});
    CHECK(kind_of(status) == error_kind::write_outcome_unknown);
    CHECK(sh.printed.empty());
    CHECK(commands::exit_code(status) == 6);
    std::ostringstream stream;
    commands::write_failure(status, {stream, output_format::json});
    CHECK(stream.str().find(R"({"error":"write_outcome_unknown",)"
                            R"("outcome":"unknown","message":")") == 0);
}

TEST_CASE("check reports all problems of all files") {
    std::ostringstream stream;
    const commands::output out{stream, output_format::text};
    const commands::check good{
        commands::file_kind::service,
        {example("thai/order-portal.json"), example("thai/drawings.json")}};
    CHECK(commands::run(good, out).ok());
    CHECK(stream.str().find("drawings.json") != std::string::npos);

    commands::check bad{commands::file_kind::agent,
                        {example("thai/balancer.json"), "no-such-file.json"}};
    const absl::Status status = commands::run(bad, out);
    CHECK(kind_of(status) == error_kind::invalid_input);
    CHECK(commands::exit_code(status) == 2);
    const std::string message(status.message());
    for (const char* expected :
         {"balancer.json: agent.service", "balancer.json: agent.server",
          "no-such-file.json: allowed is a file"}) {
        CAPTURE(expected);
        CHECK(message.find(expected) != std::string::npos);
    }
    bad = {commands::file_kind::service,
           {example("thai/drawings.json"), example("thai/drawings.json")}};
    CHECK(commands::run(bad, out).ok());
}

TEST_CASE("names of output formats and file kinds are parsed") {
    CHECK(*commands::parse_output_format("json") == output_format::json);
    CHECK_FALSE(commands::parse_output_format("yaml").ok());
    CHECK(*commands::parse_file_kind("data-centre") ==
          commands::file_kind::data_centre);
    CHECK_FALSE(commands::parse_file_kind("server").ok());
    CHECK(commands::exit_code(absl::OkStatus()) == 0);
}
