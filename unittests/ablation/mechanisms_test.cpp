#include <guavastair/ablation.hpp>

#include <doctest/doctest.h>

namespace ablation = guavastair::ablation;
namespace support = guavastair::support;

using ablation::mechanism;
using ablation::mechanisms;

TEST_CASE("all mechanisms are enabled by default") {
    for (const absl::string_view list : {"", " ", ","}) {
        const auto all = mechanisms::without(list);
        REQUIRE(all.ok());
        for (std::size_t i = 0; i < ablation::mechanism_count; ++i) {
            CHECK(all->has(static_cast<mechanism>(i)));
        }
        CHECK(all->disabled_names().empty());
    }
}

TEST_CASE("each mechanism can be disabled individually by name") {
    for (std::size_t i = 0; i < ablation::mechanism_count; ++i) {
        const auto name = ablation::to_string(static_cast<mechanism>(i));
        const auto set = mechanisms::without(name);
        REQUIRE(set.ok());
        for (std::size_t j = 0; j < ablation::mechanism_count; ++j) {
            CHECK(set->has(static_cast<mechanism>(j)) == (i != j));
        }
        CHECK(set->disabled_names() == name);
    }
}

TEST_CASE("an unknown mechanism is rejected with its name") {
    const auto set = mechanisms::without("urgency,urgancy");
    REQUIRE_FALSE(set.ok());
    CHECK(support::kind_of(set.status()) == support::error_kind::invalid_input);
    CHECK(set.status().message().find("\"urgancy\"") !=
          absl::string_view::npos);
}
