#include <guavastair/ownership.hpp>

#include <doctest/doctest.h>

namespace flow = guavastair::flow;
namespace ownership = guavastair::ownership;
namespace peer = guavastair::peer;
namespace support = guavastair::support;

static peer::listed_flow listed(std::uint16_t port, std::uint32_t ack = 0) {
    return {{{{0x64400001}, port}, {{0xc6120001}, 443}}, ack};
}

static ownership::server_report server(std::int64_t start_time_ms) {
    ownership::server_report report;
    report.id = "i-1";
    report.start_time_ms = start_time_ms;
    return report;
}

static peer::flow_list stored_list() {
    return {7, "i-1", {listed(1), listed(2), listed(3)}};
}

TEST_CASE("a changed list is written once the write interval has passed") {
    ownership::flow_ledger ledger({}, {0});
    CHECK_FALSE(ledger.next_write({2000}, {listed(1)}, server(7)).has_value());
    const auto first = ledger.next_write({3000}, {listed(1)}, server(7));
    REQUIRE(first.has_value());
    CHECK(first->server_born == 7);
    CHECK(first->flows.size() == 1);
    CHECK_FALSE(ledger.next_write({7000}, {listed(1)}, server(7)).has_value());
    CHECK(ledger.next_write({8000}, {listed(2)}, server(7)).has_value());
    CHECK_FALSE(ledger.next_write({9000}, {listed(1)}, server(7)).has_value());
    CHECK(ledger.next_write({11000}, {listed(1)}, server(7)).has_value());
}

TEST_CASE(
    "a list is rewritten when an acknowledgement exceeds the allowed drift") {
    ownership::flow_ledger ledger({}, {0});
    REQUIRE(ledger.next_write({3000}, {listed(1, 100)}, server(7)));
    CHECK_FALSE(ledger.next_write({7000}, {listed(1, 20'000)}, server(7)));
    CHECK(ledger.next_write({11000}, {listed(1, 30'000)}, server(7)));
}

TEST_CASE("no list is written before the server's first report") {
    ownership::flow_ledger ledger({}, {0});
    CHECK_FALSE(ledger.next_write({3000}, {listed(1)}, std::nullopt));
}

TEST_CASE("a report of another server start proves the stored flows lost") {
    ownership::flow_ledger ledger({}, {0});
    ledger.on_stored_list({10}, stored_list());
    CHECK(ledger.on_report({20}, server(8)).size() == 3);
    CHECK(ledger.on_report({30}, server(9)).empty());
}

TEST_CASE("a report of the same server start keeps the stored flows") {
    ownership::flow_ledger ledger({}, {0});
    ledger.on_stored_list({10}, stored_list());
    CHECK(ledger.on_report({20}, server(7)).empty());
    CHECK(ledger.on_report({30}, server(8)).empty());
}

TEST_CASE(
    "two returned flows prove the loss, one flow returned twice does not") {
    ownership::flow_ledger ledger({}, {0});
    ledger.on_stored_list({10}, stored_list());
    CHECK(ledger.on_returned({20}, listed(1).key).empty());
    CHECK(ledger.on_returned({30}, listed(1).key).empty());
    CHECK(ledger.on_returned({40}, listed(9).key).empty());
    CHECK(ledger.on_returned({50}, listed(2).key).size() == 3);
}

TEST_CASE("a server packet on a stored flow keeps all stored flows") {
    ownership::flow_ledger ledger({}, {0});
    SUBCASE("before the list was read") {
        ledger.on_server_packet(listed(2).key);
        ledger.on_stored_list({10}, stored_list());
    }
    SUBCASE("after the list was read") {
        ledger.on_stored_list({10}, stored_list());
        ledger.on_server_packet(listed(2).key);
    }
    CHECK(ledger.on_returned({20}, listed(1).key).empty());
    CHECK(ledger.on_returned({30}, listed(3).key).empty());
    CHECK(ledger.on_server_down({40}).empty());
}

TEST_CASE("a server that is down has lost its stored flows") {
    ownership::flow_ledger ledger({}, {0});
    ledger.on_stored_list({10}, stored_list());
    CHECK(ledger.on_server_down({20}).size() == 3);
}

TEST_CASE("a stored list is ignored after its maximum age") {
    ownership::flow_ledger ledger({}, {0});
    SUBCASE("list read late") {
        ledger.on_stored_list({11'000}, stored_list());
    }
    SUBCASE("loss proved late") {
        ledger.on_stored_list({10}, stored_list());
    }
    CHECK(ledger.on_server_down({12'000}).empty());
}

// The flows of every agent change all the time, in fleets of various sizes.
TEST_CASE("the write rate of all agents together is bounded") {
    const ownership::ledger_settings settings;
    for (const std::size_t agents : {10U, 40U, 225U, 2000U}) {
        ownership::flow_ledger ledger(settings, {0});
        ledger.set_fleet_size(agents);
        int writes = 0;
        std::uint16_t port = 0;
        const std::int64_t seconds = 600;
        for (std::int64_t now = 0; now < seconds * 1000; now += 100) {
            const bool wrote =
                ledger.next_write({now}, {listed(++port)}, server(7))
                    .has_value();
            writes += wrote ? 1 : 0;
        }
        CAPTURE(agents);
        CHECK(writes > 0);
        CHECK(static_cast<double>(writes) * static_cast<double>(agents) <=
              settings.fleet_writes_per_second * static_cast<double>(seconds));
        CHECK(writes <= seconds * 1000 / settings.write_interval.ms);
    }
}

TEST_CASE("stored flows are presumed open until they are proved lost") {
    ownership::flow_ledger lost({}, {0});
    CHECK(lost.presumed_open_flows().empty());
    lost.on_stored_list({10}, stored_list());
    CHECK(lost.presumed_open_flows().size() == 3);
    CHECK(lost.on_report({20}, server(8)).size() == 3);
    CHECK(lost.presumed_open_flows().empty());

    ownership::flow_ledger kept({}, {0});
    kept.on_stored_list({10}, stored_list());
    kept.on_server_packet(listed(2).key);
    CHECK(kept.presumed_open_flows().size() == 3);
    CHECK(kept.on_returned({20}, listed(1).key).empty());
    CHECK(kept.presumed_open_flows().size() == 3);
}
