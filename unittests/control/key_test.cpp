#include <guavastair/control.hpp>

#include <doctest/doctest.h>
#include <Poco/TemporaryFile.h>

#include <fstream>

namespace guavastair::control {

static std::string file_with(const std::string& text) {
    std::string path = Poco::TemporaryFile::tempName();
    Poco::TemporaryFile::registerForDeletion(path);
    std::ofstream(path) << text;
    return path;
}

TEST_CASE("the key is the trimmed first line of the file") {
    const auto key = load_key(file_with("sixteen or more characters \nrest\n"));
    REQUIRE(key.ok());
    CHECK(key->value == "sixteen or more characters");
}

TEST_CASE("a short key is an error that names the file, and a missing file "
          "is an error") {
    const std::string path = file_with("short\n");
    const auto key = load_key(path);
    REQUIRE_FALSE(key.ok());
    CHECK(support::kind_of(key.status()) == support::error_kind::invalid_input);
    CHECK(std::string(key.status().message()).find(path) != std::string::npos);
    CHECK_FALSE(load_key("/nonexistent/key").ok());
}

} // namespace guavastair::control
