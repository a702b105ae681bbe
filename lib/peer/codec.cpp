#include "peer.capnp.h"

#include <guavastair/peer.hpp>

#include <absl/strings/str_cat.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <array>
#include <cassert>
#include <cstring>

namespace guavastair::peer {

/// Most words read from one message. Lists count each time they are read.
static constexpr std::uint64_t max_words = 2 * max_message_size;
static constexpr int max_depth = 6;
/// Words of the builder's first segment, which holds a whole message.
static constexpr std::size_t first_segment_words = max_message_size / 8;

static constexpr std::array<absl::string_view, 5> condition_names{
    "unknown", "ready", "draining", "silent", "gone"};
static constexpr std::array<absl::string_view, 3> carry_names{"open", "deliver",
                                                              "locate"};

absl::string_view to_string(server_condition condition) {
    return condition_names[static_cast<std::size_t>(condition)];
}

absl::string_view to_string(carry_kind kind) {
    return carry_names[static_cast<std::size_t>(kind)];
}

// -------------------------------------------------------------- encode

static std::uint64_t pack(support::endpoint at) {
    return (std::uint64_t{at.address.value} << 16) | at.port;
}

static support::endpoint unpack(std::uint64_t value) {
    return {{static_cast<std::uint32_t>(value >> 16)},
            static_cast<std::uint16_t>(value)};
}

template <typename List>
static void write_list(List to, std::span<const support::endpoint> from) {
    for (unsigned i = 0; i < to.size(); ++i) {
        to.set(i, pack(from[i]));
    }
}

static unsigned bounded_size(std::span<const support::endpoint> from) {
    return static_cast<unsigned>(std::min(from.size(), max_listed_endpoints));
}

static void write_key(schema::FlowKey::Builder to, const flow::flow_key& key) {
    to.setCaller(pack(key.caller));
    to.setService(pack(key.service));
}

static void write_view(schema::View::Builder to, const view_summary& view) {
    to.setAsOf(view.as_of.value);
    to.setDigest(view.digest);
    to.setConfigRevision(view.config_revision.value);
}

static capnp::Data::Reader to_data(std::span<const std::byte> bytes) {
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

static void write_body(schema::Message::Builder root, const ping& body) {
    auto to = root.initPing();
    to.setSequence(body.sequence);
    to.setListed(static_cast<std::uint8_t>(body.listed));
    to.setIntroduces(body.introduces);
    to.setAgents(body.agents);
    to.setRun(body.run);
    write_view(to.initView(), body.view);
    write_list(to.initBalancers(bounded_size(body.balancers)), body.balancers);
}

static void write_report(schema::Report::Builder to, const agent_report& from) {
    to.setAgent(pack(from.agent));
    to.setService(from.service.value);
    to.setDataCentre(from.data_centre.value);
    to.setCondition(static_cast<std::uint8_t>(from.condition));
    to.setTakesOpenings(from.takes_openings);
    to.setOpeningBudget(from.opening_budget);
    to.setSlots(from.load.slots);
    to.setInProgress(from.load.in_progress);
    to.setMeanInProgress(from.load.mean_in_progress);
    to.setFlows(from.load.flows);
    to.setRun(from.run);
    to.setRestarting(from.restarting);
    to.setStarting(from.starting);
}

static void write_body(schema::Message::Builder root, const pong& body) {
    auto to = root.initPong();
    to.setSequence(body.sequence);
    write_view(to.initView(), body.view);
    write_report(to.initReport(), body.report);
    write_list(to.initBalancers(bounded_size(body.balancers)), body.balancers);
}

static void write_body(schema::Message::Builder root,
                       const carried_packet& body) {
    auto to = root.initCarry();
    to.setKind(static_cast<std::uint8_t>(body.kind));
    to.setBalancer(pack(body.balancer));
    write_list(to.initCandidates(bounded_size(body.candidates)),
               body.candidates);
    write_list(to.initWilling(bounded_size(body.willing)), body.willing);
    to.setIsLastOffer(body.is_last_offer);
    to.setConfigRevision(body.config_revision.value);
    to.setPacket(to_data(body.packet));
}

static void write_body(schema::Message::Builder root, const flow_owned& body) {
    auto to = root.initOwned();
    write_key(to.initKey(), body.key);
    to.setAgent(pack(body.agent));
}

static void write_body(schema::Message::Builder root, const flow_absent& body) {
    auto to = root.initAbsent();
    write_key(to.initKey(), body.key);
    to.setAgent(pack(body.agent));
    to.setLost(body.lost);
    to.setCertain(body.certain);
    to.setPacket(to_data(body.packet));
}

static void write_flows(capnp::List<schema::ListedFlow>::Builder to,
                        const std::vector<listed_flow>& flows) {
    for (unsigned i = 0; i < to.size(); ++i) {
        to[i].setCaller(pack(flows[i].key.caller));
        to[i].setService(pack(flows[i].key.service));
        to[i].setAcknowledged(flows[i].acknowledged);
    }
}

static void write_body(schema::Message::Builder root, const held_flows& body) {
    assert(body.flows.size() <= max_flows_per_message &&
           "the flows fit into a datagram");
    auto to = root.initHeld();
    to.setAgent(pack(body.agent));
    const auto size = static_cast<unsigned>(
        std::min(body.flows.size(), max_flows_per_message));
    write_flows(to.initFlows(size), body.flows);
}

std::size_t encode(const message& body,
                   std::span<std::byte, max_message_size> out) {
    std::array<capnp::word, first_segment_words> scratch{};
    capnp::MallocMessageBuilder builder(
        kj::arrayPtr(scratch.data(), scratch.size()));
    const auto root = builder.initRoot<schema::Message>();
    std::visit([&root](const auto& each) { write_body(root, each); }, body);

    const std::size_t size =
        capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
    assert(size <= out.size() && "a valid message fits");
    kj::ArrayOutputStream stream(
        kj::arrayPtr(reinterpret_cast<kj::byte*>(out.data()), out.size()));
    capnp::writeMessage(stream, builder);
    return size;
}

// -------------------------------------------------------------- decode

static absl::Status malformed(absl::string_view why) {
    return support::make_error(support::error_kind::invalid_input,
                               absl::StrCat("malformed peer message: ", why));
}

template <typename List>
static bool read_list(List from, std::vector<support::endpoint>& to) {
    if (from.size() > max_listed_endpoints) {
        return false;
    }
    for (const std::uint64_t value : from) {
        to.push_back(unpack(value));
    }
    return true;
}

static flow::flow_key read_key(schema::FlowKey::Reader from) {
    return {unpack(from.getCaller()), unpack(from.getService())};
}

static view_summary read_view(schema::View::Reader from) {
    return {{from.getAsOf()}, {from.getConfigRevision()}, from.getDigest()};
}

static std::span<const std::byte> read_data(capnp::Data::Reader from) {
    return {reinterpret_cast<const std::byte*>(from.begin()), from.size()};
}

static absl::StatusOr<message> read_body(schema::Ping::Reader from) {
    if (from.getListed() > static_cast<std::uint8_t>(listing::present)) {
        return malformed("unknown value of listed");
    }
    ping body;
    body.sequence = from.getSequence();
    body.view = read_view(from.getView());
    body.listed = static_cast<listing>(from.getListed());
    body.introduces = from.getIntroduces();
    body.agents = from.getAgents();
    body.run = from.getRun();
    if (!read_list(from.getBalancers(), body.balancers)) {
        return malformed("more than 16 balancers");
    }
    return body;
}

static absl::StatusOr<message> read_body(schema::Pong::Reader from) {
    const auto report = from.getReport();
    if (report.getCondition() >= condition_names.size()) {
        return malformed("unknown server condition");
    }
    if (report.getService().size() > max_name_size ||
        report.getDataCentre().size() > max_name_size) {
        return malformed("service or data centre name longer than 128 bytes");
    }
    pong body;
    body.sequence = from.getSequence();
    body.view = read_view(from.getView());
    body.report.agent = unpack(report.getAgent());
    body.report.service.value = report.getService().cStr();
    body.report.data_centre.value = report.getDataCentre().cStr();
    body.report.condition =
        static_cast<server_condition>(report.getCondition());
    body.report.takes_openings = report.getTakesOpenings();
    body.report.opening_budget = report.getOpeningBudget();
    body.report.load = {report.getSlots(), report.getInProgress(),
                        report.getMeanInProgress(), report.getFlows()};
    body.report.run = report.getRun();
    body.report.restarting = report.getRestarting();
    body.report.starting = report.getStarting();
    if (!read_list(from.getBalancers(), body.balancers)) {
        return malformed("more than 16 balancers");
    }
    return body;
}

static absl::StatusOr<message> read_body(schema::Carry::Reader from) {
    if (from.getKind() >= carry_names.size()) {
        return malformed("unknown kind of carried packet");
    }
    if (from.getPacket().size() > max_carried_size) {
        return malformed("packet longer than 1500 bytes");
    }
    carried_packet body;
    body.kind = static_cast<carry_kind>(from.getKind());
    body.balancer = unpack(from.getBalancer());
    if (!read_list(from.getCandidates(), body.candidates)) {
        return malformed("more than 16 candidates");
    }
    if (!read_list(from.getWilling(), body.willing)) {
        return malformed("more than 16 willing agents");
    }
    body.is_last_offer = from.getIsLastOffer();
    body.config_revision = {from.getConfigRevision()};
    body.packet = read_data(from.getPacket());
    return body;
}

static absl::StatusOr<message> read_body(schema::Owned::Reader from) {
    return flow_owned{read_key(from.getKey()), unpack(from.getAgent())};
}

static absl::StatusOr<message> read_body(schema::Absent::Reader from) {
    if (from.getPacket().size() > max_carried_size) {
        return malformed("packet longer than 1500 bytes");
    }
    return flow_absent{read_key(from.getKey()), unpack(from.getAgent()),
                       from.getLost(), from.getCertain(),
                       read_data(from.getPacket())};
}

static std::vector<listed_flow>
read_flows(capnp::List<schema::ListedFlow>::Reader from) {
    std::vector<listed_flow> flows;
    for (const auto each : from) {
        flows.push_back({{unpack(each.getCaller()), unpack(each.getService())},
                         each.getAcknowledged()});
    }
    return flows;
}

static absl::StatusOr<message> read_body(schema::Held::Reader from) {
    if (from.getFlows().size() > max_flows_per_message) {
        return malformed("more than 48 flows");
    }
    return held_flows{unpack(from.getAgent()), read_flows(from.getFlows())};
}

static absl::StatusOr<message> read_root(schema::Message::Reader root) {
    switch (root.which()) {
    case schema::Message::PING:
        return read_body(root.getPing());
    case schema::Message::PONG:
        return read_body(root.getPong());
    case schema::Message::CARRY:
        return read_body(root.getCarry());
    case schema::Message::OWNED:
        return read_body(root.getOwned());
    case schema::Message::ABSENT:
        return read_body(root.getAbsent());
    case schema::Message::HELD:
        return read_body(root.getHeld());
    }
    return malformed("unknown kind of message");
}

absl::StatusOr<message> decode(std::span<const std::byte> data) {
    if (data.size() % sizeof(capnp::word) != 0 || data.empty()) {
        return malformed("size is not a positive multiple of 8 bytes");
    }
    const capnp::ReaderOptions limits{max_words, max_depth};
    try {
        capnp::FlatArrayMessageReader reader(
            kj::arrayPtr(reinterpret_cast<const capnp::word*>(data.data()),
                         data.size() / sizeof(capnp::word)),
            limits);
        return read_root(reader.getRoot<schema::Message>());
    } catch (const kj::Exception& error) {
        return malformed(error.getDescription().cStr());
    }
}

// ----------------------------------------------------------- flow list

std::string encode_flow_list(const flow_list& list) {
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::FlowList>();
    root.setServerBorn(list.server_born);
    root.setServerId(list.server_id);
    const auto size =
        static_cast<unsigned>(std::min(list.flows.size(), max_listed_flows));
    write_flows(root.initFlows(size), list.flows);
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    const kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

static absl::StatusOr<flow_list> read_flow_list(schema::FlowList::Reader from) {
    if (from.getFlows().size() > max_listed_flows) {
        return malformed("more than 4096 flows");
    }
    flow_list list;
    list.server_born = from.getServerBorn();
    list.server_id = from.getServerId().cStr();
    list.flows = read_flows(from.getFlows());
    return list;
}

absl::StatusOr<flow_list> decode_flow_list(absl::string_view data) {
    if (data.size() % sizeof(capnp::word) != 0 || data.empty()) {
        return malformed("size is not a positive multiple of 8 bytes");
    }
    std::vector<capnp::word> words(data.size() / sizeof(capnp::word));
    std::memcpy(words.data(), data.data(), data.size());
    // Twice the words of the largest valid list, because a list counts each
    // time it is read.
    const capnp::ReaderOptions limits{8 * max_listed_flows, max_depth};
    try {
        capnp::FlatArrayMessageReader reader(
            kj::arrayPtr(words.data(), words.size()), limits);
        return read_flow_list(reader.getRoot<schema::FlowList>());
    } catch (const kj::Exception& error) {
        return malformed(error.getDescription().cStr());
    }
}

} // namespace guavastair::peer
