#include <guavastair/config.hpp>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace config = guavastair::config;

static std::string read_page(const std::string& name) {
    std::ifstream file(
        absl::StrCat(GUAVASTAIR_SOURCE_DIR, "/docs/operating/", name));
    REQUIRE(file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST_CASE(
    "the operators' documentation lists the keys that the parsers accept") {
    const std::string documents = read_page("service-document.md");
    const auto services = config::to_markdown(config::service_document_keys());
    CHECK(documents.find(services) != std::string::npos);
    const auto data_centres =
        config::to_markdown(config::data_centre_document_keys());
    CHECK(documents.find(data_centres) != std::string::npos);

    const std::string settings = read_page("settings.md");
    const auto agents = config::to_markdown(config::agent_settings_keys());
    CHECK(settings.find(agents) != std::string::npos);
    for (const auto& row : config::balancer_settings_keys()) {
        CAPTURE(row.key);
        CHECK(agents.find(absl::StrCat("| `", row.key, "` |")) !=
              std::string::npos);
    }
}
