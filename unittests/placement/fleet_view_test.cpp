#include <guavastair/placement.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace placement = guavastair::placement;

static placement::service_members make_service(std::uint32_t number,
                                               std::uint32_t member_count) {
    placement::service_members service;
    service.name = {"service-" + std::to_string(number)};
    service.address = {{0xc0000000U + number}, 443};
    for (std::uint32_t i = 0; i < member_count; ++i) {
        placement::member m;
        m.id = {number * 1000ULL + i};
        m.data = {{0x0a000000U + number * 1000 + i}, 7000};
        service.members.push_back(m);
    }
    return service;
}

static std::shared_ptr<const placement::fleet_view>
make_view(std::uint32_t services) {
    std::vector<placement::service_members> list;
    for (std::uint32_t i = 0; i < services; ++i) {
        list.push_back(make_service(i, 3));
    }
    return placement::fleet_view().with_services(std::move(list));
}

TEST_CASE("a view finds services by address and by name") {
    const auto view = make_view(20);
    CHECK(view->size() == 20);
    for (std::uint32_t i = 0; i < 20; ++i) {
        const auto* table = view->find({{0xc0000000U + i}, 443});
        REQUIRE(table != nullptr);
        CHECK(table->name().value == "service-" + std::to_string(i));
        CHECK(view->find_by_name(table->name()).get() == table);
    }
    CHECK(view->find({{0xc0000000U}, 80}) == nullptr);
    CHECK(view->find_by_name({"absent"}) == nullptr);
}

TEST_CASE("a changed service leaves the tables of other services shared") {
    const auto before = make_view(20);
    const auto after = before->with_service(make_service(7, 4));
    for (std::uint32_t i = 0; i < 20; ++i) {
        const guavastair::support::endpoint address{{0xc0000000U + i}, 443};
        CHECK((before->find(address) == after->find(address)) == (i != 7));
    }
    CHECK(before->find({{0xc0000007U}, 443})->source().members.size() == 3);
    CHECK(after->find({{0xc0000007U}, 443})->source().members.size() == 4);
}

TEST_CASE("an unchanged service is not recomputed") {
    const auto before = make_view(3);
    auto same = make_service(1, 3);
    std::reverse(same.members.begin(), same.members.end());
    const auto after = before->with_service(std::move(same));
    const guavastair::support::endpoint address{{0xc0000001U}, 443};
    CHECK(before->find(address) == after->find(address));
}

TEST_CASE("removing a service affects only the new view") {
    const auto before = make_view(3);
    const auto after = before->without_service({"service-1"});
    CHECK(after->size() == 2);
    CHECK(after->find({{0xc0000001U}, 443}) == nullptr);
    CHECK(before->find({{0xc0000001U}, 443}) != nullptr);
    CHECK(after->without_service({"service-1"})->size() == 2);
}

TEST_CASE("a service with a new address is not found at its old address") {
    auto moved = make_service(1, 3);
    moved.address.port = 8443;
    const auto view = make_view(3)->with_service(std::move(moved));
    CHECK(view->find({{0xc0000001U}, 443}) == nullptr);
    CHECK(view->find({{0xc0000001U}, 8443}) != nullptr);
}

TEST_CASE("the first service by name wins if two share an address") {
    auto rival = make_service(1, 3);
    rival.name = {"another"};
    const auto view = make_view(3);
    const auto contested = view->with_service(std::move(rival));
    const guavastair::support::endpoint address{{0xc0000001U}, 443};
    CHECK(contested->find(address)->name().value == "another");
    const auto resolved = contested->without_service({"another"});
    CHECK(resolved->find(address) == view->find(address));
}

TEST_CASE("a service without members has no candidates") {
    const auto view = placement::fleet_view().with_service(make_service(0, 0));
    const auto* table = view->find({{0xc0000000U}, 443});
    REQUIRE(table != nullptr);
    CHECK(placement::candidates(*table, 42).empty());
    CHECK(table->full_order(42).empty());
}
