#include <guavastair/support.hpp>

#include <doctest/doctest.h>

namespace support = guavastair::support;

TEST_CASE("a manual clock moves only when advanced") {
    support::manual_clock clock;
    CHECK(clock.now().ms == 0);
    clock.advance(support::seconds(2));
    CHECK(clock.now() == support::instant{2000});
}

TEST_CASE("the steady clock never goes backwards") {
    const support::steady_clock clock;
    const support::instant first = clock.now();
    CHECK(clock.now() >= first);
}
