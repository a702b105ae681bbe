#include <guavastair/registry.hpp>

#include <doctest/doctest.h>

namespace registry = guavastair::registry;
namespace support = guavastair::support;

static registry::registrar make_registrar() {
    registry::registrar_settings settings;
    settings.key = "agents/a";
    return {settings, 7};
}

static std::string value_of(const std::optional<registry::registrar_call>& c) {
    const auto* put =
        c.has_value() ? std::get_if<registry::put_call>(&*c) : nullptr;
    return put == nullptr ? "" : put->value;
}

TEST_CASE("an entry is written once") {
    auto registrar = make_registrar();
    CHECK_FALSE(registrar.next_call({0}).has_value());
    registrar.set_wanted("x");
    CHECK(value_of(registrar.next_call({0})) == "x");
    CHECK_FALSE(registrar.next_call({0}).has_value());
    CHECK_FALSE(registrar.is_settled());
    registrar.on_done();
    CHECK(registrar.is_settled());
    CHECK_FALSE(registrar.next_call({100'000}).has_value());
}

TEST_CASE("a write with an unknown outcome is retried") {
    auto registrar = make_registrar();
    registrar.set_wanted("x");
    registrar.next_call({0});
    registrar.on_failure({10});
    CHECK_FALSE(registrar.is_settled());
    CHECK_FALSE(registrar.next_call({11}).has_value());
    CHECK(value_of(registrar.next_call(registrar.wake_at())) == "x");
}

TEST_CASE("the wanted value may change while a write is in flight") {
    auto registrar = make_registrar();
    registrar.set_wanted("x");
    registrar.next_call({0});
    registrar.set_wanted("y");
    registrar.on_done();
    CHECK_FALSE(registrar.is_settled());
    CHECK(value_of(registrar.next_call({1})) == "y");
}

TEST_CASE("an entry that is reported missing is written again") {
    auto registrar = make_registrar();
    registrar.set_wanted("x");
    registrar.next_call({0});
    registrar.on_done();
    registrar.on_missing();
    CHECK(value_of(registrar.next_call({1})) == "x");
}

TEST_CASE("an entry whose write may have taken effect is removed") {
    auto registrar = make_registrar();
    registrar.set_wanted("x");
    registrar.next_call({0});
    registrar.on_failure({0});
    registrar.set_wanted(std::nullopt);
    const auto call = registrar.next_call(registrar.wake_at());
    REQUIRE(call.has_value());
    CHECK(std::holds_alternative<registry::remove_call>(*call));
    CHECK_FALSE(registrar.is_settled());
    registrar.on_done();
    CHECK(registrar.is_settled());
}

TEST_CASE("a store that fails for a minute receives few calls") {
    auto registrar = make_registrar();
    registrar.set_wanted("x");
    int calls = 0;
    for (support::instant now{0}; now < support::instant{60'000};
         now = now + support::milliseconds(1)) {
        if (registrar.next_call(now).has_value()) {
            ++calls;
            registrar.on_failure(now);
        }
    }
    CHECK(calls <= 85);
}
