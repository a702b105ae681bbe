#include <guavastair/support.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace support = guavastair::support;

TEST_CASE("a formatted endpoint parses to the same endpoint") {
    CHECK(rc::check("round trip", [](std::uint32_t value) {
        const auto port = *rc::gen::inRange<std::uint32_t>(1, 65536);
        const support::endpoint original{support::ipv4_address{value},
                                         static_cast<std::uint16_t>(port)};
        const auto parsed =
            support::parse_endpoint(support::to_string(original));
        RC_ASSERT(parsed.ok());
        RC_ASSERT(*parsed == original);
    }));
}

TEST_CASE("an invalid address is rejected") {
    for (const char* text : {"", "1.2.3", "1.2.3.4.5", "1.2.3.256", "a.b.c.d",
                             "1.2.3.-4", "1.2.3.0004"}) {
        const auto result = support::parse_ipv4_address(text);
        REQUIRE_FALSE(result.ok());
        CHECK(support::kind_of(result.status()) ==
              support::error_kind::invalid_input);
    }
    for (const char* text :
         {"1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", ":80"}) {
        CHECK_FALSE(support::parse_endpoint(text).ok());
    }
}
