#include <guavastair/ownership.hpp>

#include <doctest/doctest.h>

namespace ownership = guavastair::ownership;
namespace peer = guavastair::peer;
namespace support = guavastair::support;

using ownership::report_effect;
using peer::server_condition;

static ownership::server_report report(std::int64_t start_time_ms,
                                       std::int64_t sequence,
                                       bool draining = false) {
    return {"i-1", start_time_ms, sequence, draining, 4, {}};
}

struct monitor_fixture {
    ownership::server_monitor monitor{{}, {0}};
    support::instant now{0};

    void wait(std::int64_t ms) {
        this->now = this->now + support::duration{ms};
    }
};

TEST_CASE("a report makes the server ready or draining") {
    monitor_fixture m;
    CHECK(m.monitor.condition() == server_condition::unknown);
    CHECK(m.monitor.on_report(m.now, report(5, 1)) == report_effect::first);
    CHECK(m.monitor.condition() == server_condition::ready);
    CHECK(m.monitor.slots() == 4);
    CHECK(m.monitor.on_report(m.now, report(5, 2, true)) ==
          report_effect::updated);
    CHECK(m.monitor.condition() == server_condition::draining);
}

TEST_CASE("an outdated report changes nothing") {
    monitor_fixture m;
    m.monitor.on_report(m.now, report(5, 7, true));
    CHECK(m.monitor.on_report(m.now, report(5, 6)) == report_effect::outdated);
    CHECK(m.monitor.on_report(m.now, report(5, 7)) == report_effect::outdated);
    CHECK(m.monitor.on_report(m.now, report(4, 99)) == report_effect::outdated);
    CHECK(m.monitor.condition() == server_condition::draining);
}

TEST_CASE(
    "a later start counts as a restart although its sequence starts over") {
    monitor_fixture m;
    m.monitor.on_report(m.now, report(5, 700, true));
    CHECK(m.monitor.on_report(m.now, report(6, 1)) == report_effect::restarted);
    CHECK(m.monitor.condition() == server_condition::ready);
}

TEST_CASE("a server without reports is probed, then silent, then gone") {
    monitor_fixture m;
    m.monitor.on_report(m.now, report(5, 1));
    CHECK_FALSE(m.monitor.start_probe(m.now));
    m.wait(1500);
    CHECK(m.monitor.start_probe(m.now));
    CHECK_FALSE(m.monitor.start_probe(m.now));
    m.monitor.on_probe_timeout(m.now);
    CHECK(m.monitor.condition() == server_condition::silent);
    m.wait(400);
    CHECK(m.monitor.start_probe(m.now));
    m.monitor.on_probe_timeout(m.now);
    CHECK(m.monitor.condition() == server_condition::gone);
}

TEST_CASE("a refused probe makes the server gone at once") {
    monitor_fixture m;
    m.monitor.on_report(m.now, report(5, 1));
    m.monitor.on_delivered(m.now);
    m.wait(300);
    CHECK(m.monitor.start_probe(m.now));
    m.monitor.on_probe_refused(m.now);
    CHECK(m.monitor.condition() == server_condition::gone);
    CHECK(m.monitor.on_report(m.now, report(9, 1)) == report_effect::restarted);
    CHECK(m.monitor.condition() == server_condition::ready);
}

TEST_CASE("a slow server that still accepts connections stays ready") {
    monitor_fixture m;
    m.monitor.on_report(m.now, report(5, 1));
    for (int i = 0; i < 10; ++i) {
        m.monitor.on_delivered(m.now);
        m.wait(300);
        CHECK(m.monitor.start_probe(m.now));
        m.monitor.on_probe_accepted(m.now);
        CHECK(m.monitor.condition() == server_condition::ready);
    }
}

TEST_CASE("timed-out probes alone do not make a reporting server gone") {
    monitor_fixture m;
    m.monitor.on_report(m.now, report(5, 1));
    m.monitor.on_delivered(m.now);
    m.wait(300);
    for (int i = 0; i < 5; ++i) {
        m.monitor.on_probe_timeout(m.now);
    }
    CHECK(m.monitor.condition() == server_condition::silent);
    CHECK(m.monitor.on_report(m.now, report(5, 2)) == report_effect::updated);
    CHECK(m.monitor.condition() == server_condition::ready);
}

TEST_CASE("a packet returns a silent server to its last reported condition") {
    monitor_fixture m;
    m.monitor.on_report(m.now, report(5, 1, true));
    m.monitor.on_probe_timeout(m.now);
    CHECK(m.monitor.condition() == server_condition::silent);
    m.monitor.on_server_packet(m.now);
    CHECK(m.monitor.condition() == server_condition::draining);
}

TEST_CASE("a server counts as cold until it reports that it is warm") {
    monitor_fixture m;
    CHECK(m.monitor.is_cold(m.now));
    auto warming = report(5, 1);
    warming.warm_up_left = support::milliseconds(500);
    m.monitor.on_report(m.now, warming);
    m.wait(500);
    CHECK(m.monitor.is_cold(m.now));
    m.wait(200);
    CHECK_FALSE(m.monitor.is_cold(m.now));
    m.monitor.assume_cold(m.now);
    CHECK(m.monitor.is_cold(m.now));
    m.monitor.on_report(m.now, report(5, 2));
    CHECK_FALSE(m.monitor.is_cold(m.now));
}

TEST_CASE(
    "after a pause of the agent process the server must be confirmed again") {
    monitor_fixture m;
    m.monitor.on_report(m.now, report(5, 1));
    m.wait(4000);
    m.monitor.on_resumed(m.now);
    CHECK(m.monitor.condition() == server_condition::unknown);
    CHECK(m.monitor.is_cold(m.now));
    CHECK(m.monitor.start_probe(m.now));
    m.monitor.on_probe_accepted(m.now);
    CHECK(m.monitor.condition() == server_condition::ready);
}

TEST_CASE("a server that deregisters is gone until it reports again") {
    ownership::server_monitor monitor({}, {0});
    monitor.on_report({10}, report(1, 1));
    CHECK_FALSE(monitor.on_deregistered("another"));
    CHECK_FALSE(monitor.has_left());
    CHECK(monitor.on_deregistered(report(1, 1).id));
    CHECK(monitor.condition() == server_condition::gone);
    CHECK(monitor.has_left());
    CHECK(monitor.on_report({20}, report(1, 2)) == report_effect::first);
    CHECK_FALSE(monitor.has_left());
}

// Guards against a store entry that is never removed: an agent that starts
// between the last report of its server and the server's shutdown receives no
// report, only the shutdown announcement.
TEST_CASE("a shutdown announced before any report counts as left, but keeps "
          "the flows") {
    ownership::server_monitor monitor({}, {0});
    monitor.on_probe_accepted({5});
    CHECK_FALSE(monitor.on_deregistered("unknown"));
    CHECK(monitor.has_left());
    CHECK(monitor.condition() == server_condition::ready);
    monitor.on_report({10}, report(1, 1));
    CHECK_FALSE(monitor.has_left());
}
