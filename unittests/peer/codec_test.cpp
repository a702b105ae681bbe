#include <guavastair/peer.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <cstring>

namespace flow = guavastair::flow;
namespace peer = guavastair::peer;
namespace support = guavastair::support;

namespace {

struct encoded {
    alignas(8) std::array<std::byte, peer::max_message_size> bytes{};
    std::size_t size = 0;

    std::span<const std::byte> view() const {
        return std::span(this->bytes).first(this->size);
    }
};

encoded encode(const peer::message& body) {
    encoded result;
    result.size = peer::encode(body, result.bytes);
    return result;
}

support::endpoint endpoint() {
    return {{*rc::gen::arbitrary<std::uint32_t>()},
            *rc::gen::arbitrary<std::uint16_t>()};
}

std::vector<support::endpoint> endpoints() {
    std::vector<support::endpoint> list(
        static_cast<std::size_t>(*rc::gen::inRange(0, 17)));
    for (support::endpoint& each : list) {
        each = endpoint();
    }
    return list;
}

std::string text() {
    return *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
}

} // namespace

TEST_CASE("pings and pongs survive a round trip") {
    CHECK(rc::check("round trip", [] {
        peer::ping ping;
        ping.sequence = *rc::gen::arbitrary<std::uint32_t>();
        ping.view = {{*rc::gen::arbitrary<std::int64_t>()},
                     {*rc::gen::arbitrary<std::int64_t>()},
                     *rc::gen::arbitrary<std::uint64_t>()};
        ping.listed = peer::listing::present;
        ping.run = *rc::gen::arbitrary<std::uint64_t>();
        ping.agents = *rc::gen::arbitrary<std::uint32_t>();
        ping.introduces = *rc::gen::arbitrary<bool>();
        ping.balancers = endpoints();
        const encoded first = encode(ping);
        const auto read = peer::decode(first.view());
        RC_ASSERT(read.ok());
        RC_ASSERT(std::get<peer::ping>(*read) == ping);

        peer::pong pong;
        pong.sequence = ping.sequence;
        pong.view = ping.view;
        pong.balancers = endpoints();
        pong.report.agent = endpoint();
        pong.report.service = {text().substr(0, 60)};
        pong.report.data_centre = {text().substr(0, 60)};
        pong.report.condition = peer::server_condition::draining;
        pong.report.takes_openings = *rc::gen::arbitrary<bool>();
        pong.report.opening_budget = *rc::gen::arbitrary<std::uint32_t>();
        pong.report.load = {3, 4, 5'000, 6};
        pong.report.run = *rc::gen::arbitrary<std::uint64_t>();
        pong.report.starting = *rc::gen::arbitrary<bool>();
        pong.report.restarting = *rc::gen::arbitrary<bool>();
        const encoded second = encode(pong);
        const auto again = peer::decode(second.view());
        RC_ASSERT(again.ok());
        RC_ASSERT(std::get<peer::pong>(*again) == pong);
    }));
}

TEST_CASE("the largest carried packet fits and survives a round trip") {
    std::array<std::byte, 1232> packet;
    for (std::size_t i = 0; i < packet.size(); ++i) {
        packet[i] = static_cast<std::byte>(i * 7);
    }
    peer::carried_packet body;
    body.kind = peer::carry_kind::locate;
    body.balancer = {{1}, 2};
    body.candidates.assign(peer::max_listed_endpoints, {{3}, 4});
    body.willing.assign(peer::max_listed_endpoints, {{5}, 6});
    body.is_last_offer = true;
    body.config_revision = {INT64_MAX};
    body.packet = packet;
    const encoded sent = encode(body);
    const auto read = peer::decode(sent.view());
    REQUIRE(read.ok());
    const auto& got = std::get<peer::carried_packet>(*read);
    CHECK(got.kind == body.kind);
    CHECK(got.balancer == body.balancer);
    CHECK(got.candidates == body.candidates);
    CHECK(got.willing == body.willing);
    CHECK(got.is_last_offer);
    CHECK(got.config_revision == body.config_revision);
    REQUIRE(got.packet.size() == packet.size());
    CHECK(std::memcmp(got.packet.data(), packet.data(), packet.size()) == 0);
}

TEST_CASE("the largest held_flows message fits and survives a round trip") {
    peer::held_flows body;
    body.agent = {{9}, 8};
    for (std::uint32_t i = 0; i < peer::max_flows_per_message; ++i) {
        body.flows.push_back({{{{i}, 2}, {{3}, 4}}, i * 1000});
    }
    const encoded sent = encode(body);
    const auto read = peer::decode(sent.view());
    REQUIRE(read.ok());
    CHECK(std::get<peer::held_flows>(*read) == body);
}

TEST_CASE("flow_owned and flow_absent survive a round trip") {
    const flow::flow_key key{{{1}, 2}, {{3}, 4}};
    const peer::flow_owned owned{key, {{5}, 6}};
    const encoded first = encode(owned);
    CHECK(std::get<peer::flow_owned>(*peer::decode(first.view())) == owned);

    const std::array<std::byte, 3> packet{};
    peer::flow_absent absent;
    absent.key = key;
    absent.certain = true;
    absent.packet = packet;
    const encoded second = encode(absent);
    const auto read = peer::decode(second.view());
    REQUIRE(read.ok());
    const auto& got = std::get<peer::flow_absent>(*read);
    CHECK(got.key == key);
    CHECK(got.certain);
    CHECK_FALSE(got.lost);
    CHECK(got.packet.size() == 3);
}

TEST_CASE("truncated and corrupted messages are errors, never crashes") {
    peer::pong pong;
    pong.report.service = {"portal"};
    pong.balancers.assign(5, {{1}, 2});
    const encoded sent = encode(pong);
    for (std::size_t size = 0; size < sent.size; ++size) {
        CHECK_FALSE(peer::decode(sent.view().first(size)).ok());
    }
    for (std::size_t at = 0; at < sent.size; ++at) {
        encoded changed = sent;
        changed.bytes[at] ^= std::byte{0xff};
        // Decoding may succeed or fail; a decoded list must be within its
        // bound.
        const auto read = peer::decode(changed.view());
        if (read.ok()) {
            const auto* body = std::get_if<peer::pong>(&*read);
            CHECK((body == nullptr ||
                   body->balancers.size() <= peer::max_listed_endpoints));
        }
    }
}

TEST_CASE("a list of flows survives a round trip and is bounded") {
    peer::flow_list list{77, "i-7f", {}};
    for (std::uint16_t port = 0; port < 2000; ++port) {
        list.flows.push_back({{{{1}, port}, {{2}, 443}}, port * 40U});
    }
    const auto read = peer::decode_flow_list(peer::encode_flow_list(list));
    REQUIRE(read.ok());
    CHECK(*read == list);

    list.flows.resize(peer::max_listed_flows + 100);
    const auto cut = peer::decode_flow_list(peer::encode_flow_list(list));
    REQUIRE(cut.ok());
    CHECK(cut->flows.size() == peer::max_listed_flows);
    CHECK_FALSE(peer::decode_flow_list("").ok());
    CHECK_FALSE(peer::decode_flow_list("1234567").ok());
    CHECK_FALSE(peer::decode_flow_list(std::string(64, '\xff')).ok());
}
