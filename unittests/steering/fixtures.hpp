/// Agents, routes and packets shared by the tests of this library.

#ifndef GUAVASTAIR_UNITTESTS_STEERING_FIXTURES_HPP
#define GUAVASTAIR_UNITTESTS_STEERING_FIXTURES_HPP

#include <guavastair/steering.hpp>

namespace guavastair::steering_test {

inline const support::endpoint address{{0xc6120001}, 443};

/// The address at which agent `number` receives messages.
inline support::endpoint agent_at(std::uint32_t number) {
    return {{0x0a000000U + number}, 7000};
}

inline peer::agent_report report_of(std::uint32_t number,
                                    const std::string& data_centre = "a",
                                    const std::string& service = "portal") {
    peer::agent_report report;
    report.agent = agent_at(number);
    report.service = {service};
    report.data_centre = {data_centre};
    report.condition = peer::server_condition::ready;
    report.takes_openings = true;
    report.load.slots = 2;
    return report;
}

inline routing::operator_view view_of(std::int64_t revision,
                                      const std::string& service = "portal") {
    routing::operator_view view;
    view.as_of = {revision};
    view.config_revision = {revision};
    view.config.version = revision;
    view.config_text = std::to_string(revision);
    routing::route route;
    route.address = address;
    route.services = {{{service}, 1}};
    view.config.routes = {route};
    return view;
}

inline flow::packet packet_of(std::uint16_t port, std::uint8_t flags,
                              std::uint32_t acknowledgement = 0,
                              std::uint16_t size = 0) {
    return {
        {{{0x64400001}, port}, address}, {flags}, 500, acknowledgement, size};
}

} // namespace guavastair::steering_test

#endif
