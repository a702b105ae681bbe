#include <guavastair/support.hpp>

#include <doctest/doctest.h>

#include <array>

namespace support = guavastair::support;

TEST_CASE("the nearest candidate is suggested for a typo") {
    constexpr std::array<absl::string_view, 3> candidates{"listen", "store",
                                                          "log"};
    CHECK(support::nearest_name("lisen", candidates) == "listen");
    CHECK(support::nearest_name("stor", candidates) == "store");
    CHECK_FALSE(support::nearest_name("temperature", candidates).has_value());
}

TEST_CASE("valid names are short and lower-case") {
    CHECK(support::is_valid_name("order-portal"));
    CHECK_FALSE(support::is_valid_name(""));
    CHECK_FALSE(support::is_valid_name("Order"));
    CHECK_FALSE(support::is_valid_name("7up"));
    CHECK_FALSE(support::is_valid_name(std::string(64, 'a')));
}
