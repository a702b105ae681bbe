#include "control.capnp.h"
#include "packed.hpp"

#include <utility>

namespace guavastair::wire {

namespace {

using membership::message;
using membership::node_record;

constexpr absl::string_view message_name = "membership message";
/// Bound of an unpacked message, in words of 8 bytes. A valid message is
/// smaller unpacked than its size_bound(). The limit counts every traversal, so
/// it also bounds forged messages with several lists that share bytes.
constexpr std::size_t max_words = 512;
constexpr std::size_t first_segment_words = 512;
constexpr std::uint8_t max_role = 1;
constexpr std::uint8_t max_state = 3;
constexpr std::uint8_t max_liveness = 2;

void write_record(schema::NodeRecord::Builder to, const node_record& record) {
    to.setId(record.id.value);
    to.setIncarnation(record.incarnation);
    to.setWeight(record.weight);
    to.setControlAddress(record.control.address.value);
    to.setControlPort(record.control.port);
    to.setDataAddress(record.data.address.value);
    to.setDataPort(record.data.port);
    to.setRole(static_cast<std::uint8_t>(record.role));
    to.setState(static_cast<std::uint8_t>(record.state));
    to.setMayWatchStore(record.may_watch_store);
    to.setApplied(record.applied.value);
    to.setName(record.name.value);
    to.setDataCentre(record.data_centre.value);
    if (!record.service.value.empty()) {
        to.setService(record.service.value);
    }
    if (record.unreachable.empty()) {
        return;
    }
    const auto size = static_cast<unsigned>(record.unreachable.size());
    auto names = to.initUnreachable(size);
    for (unsigned i = 0; i < size; ++i) {
        names.set(i, record.unreachable[i].value);
    }
}

template <typename Tag>
bool read_name(capnp::Text::Reader from, support::name<Tag>& to) {
    to.value.assign(from.begin(), from.end());
    return support::is_valid_name(to.value);
}

absl::StatusOr<node_record> read_record(schema::NodeRecord::Reader from) {
    node_record record;
    record.id = {from.getId()};
    record.incarnation = from.getIncarnation();
    record.weight = from.getWeight();
    record.control = {{from.getControlAddress()}, from.getControlPort()};
    record.data = {{from.getDataAddress()}, from.getDataPort()};
    record.may_watch_store = from.getMayWatchStore();
    record.applied = {from.getApplied()};
    if (from.getRole() > max_role || from.getState() > max_state) {
        return malformed(message_name, "unknown role or state");
    }
    record.role = static_cast<membership::role>(from.getRole());
    record.state = static_cast<membership::member_state>(from.getState());
    if (record.id.value == 0) {
        return malformed(message_name, "record with id 0");
    }
    if (!read_name(from.getName(), record.name) ||
        !read_name(from.getDataCentre(), record.data_centre)) {
        return malformed(message_name, "invalid name or data centre");
    }
    if (from.hasService() && !read_name(from.getService(), record.service)) {
        return malformed(message_name, "invalid service");
    }
    for (const auto text : from.getUnreachable()) {
        support::data_centre_name name;
        if (!read_name(text, name)) {
            return malformed(message_name, "invalid data centre");
        }
        record.unreachable.push_back(std::move(name));
    }
    return record;
}

void write_verdict(schema::Verdict::Builder to,
                   const membership::verdict& observed) {
    to.setMember(observed.member.value);
    to.setAccuser(observed.accuser.value);
    to.setIncarnation(observed.incarnation);
    to.setLiveness(static_cast<std::uint8_t>(observed.liveness));
}

/// Writes the lists that only digest and repair messages use.
void write_synchronisation(schema::MembershipMessage::Builder root,
                           const message& body) {
    const auto count = [](const auto& list) {
        return static_cast<unsigned>(list.size());
    };
    if (!body.bucket_hashes.empty()) {
        auto hashes = root.initBucketHashes(count(body.bucket_hashes));
        for (unsigned i = 0; i < hashes.size(); ++i) {
            hashes.set(i, body.bucket_hashes[i]);
        }
    }
    if (!body.buckets.empty()) {
        auto buckets = root.initBuckets(count(body.buckets));
        for (unsigned i = 0; i < buckets.size(); ++i) {
            buckets.set(i, body.buckets[i]);
        }
    }
    if (!body.versions.empty()) {
        auto members = root.initVersionMembers(count(body.versions));
        auto numbers = root.initVersionIncarnations(count(body.versions));
        for (unsigned i = 0; i < members.size(); ++i) {
            members.set(i, body.versions[i].member.value);
            numbers.set(i, body.versions[i].incarnation);
        }
    }
    if (!body.wanted.empty()) {
        auto wanted = root.initWanted(count(body.wanted));
        for (unsigned i = 0; i < wanted.size(); ++i) {
            wanted.set(i, body.wanted[i].value);
        }
    }
}

absl::Status read_synchronisation(schema::MembershipMessage::Reader root,
                                  message& body) {
    for (const std::uint32_t hash : root.getBucketHashes()) {
        body.bucket_hashes.push_back(hash);
    }
    for (const std::uint16_t bucket : root.getBuckets()) {
        body.buckets.push_back(bucket);
    }
    for (const std::uint64_t id : root.getWanted()) {
        body.wanted.push_back({id});
    }
    const auto members = root.getVersionMembers();
    const auto numbers = root.getVersionIncarnations();
    if (members.size() != numbers.size()) {
        return malformed(message_name,
                         "version members and incarnations differ in number");
    }
    for (unsigned i = 0; i < members.size(); ++i) {
        body.versions.push_back({{members[i]}, numbers[i]});
    }
    return absl::OkStatus();
}

absl::StatusOr<message> read_message(schema::MembershipMessage::Reader root) {
    message body;
    if (root.getKind() >= membership::message_kind_count) {
        return malformed(message_name, "unknown kind");
    }
    body.kind = static_cast<membership::message_kind>(root.getKind());
    body.sender = {root.getSender()};
    body.revision = {root.getRevision()};
    body.target = {root.getTarget()};
    body.sequence = root.getSequence();
    body.bucket_count = root.getBucketCount();
    for (const auto from : root.getRecords()) {
        auto record = read_record(from);
        if (!record.ok()) {
            return record.status();
        }
        body.records.push_back(*std::move(record));
    }
    for (const auto from : root.getVerdicts()) {
        if (from.getLiveness() > max_liveness) {
            return malformed(message_name, "unknown liveness");
        }
        body.verdicts.push_back(
            {{from.getMember()},
             from.getIncarnation(),
             static_cast<membership::liveness>(from.getLiveness()),
             {from.getAccuser()}});
    }
    const absl::Status lists_status = read_synchronisation(root, body);
    if (!lists_status.ok()) {
        return lists_status;
    }
    return body;
}

} // namespace

bytes encode(const message& body) {
    capnp::MallocMessageBuilder builder(first_segment_words);
    auto root = builder.initRoot<schema::MembershipMessage>();
    root.setKind(static_cast<std::uint8_t>(body.kind));
    root.setSender(body.sender.value);
    root.setRevision(body.revision.value);
    root.setTarget(body.target.value);
    root.setSequence(body.sequence);
    root.setBucketCount(body.bucket_count);
    if (!body.records.empty()) {
        const auto size = static_cast<unsigned>(body.records.size());
        auto records = root.initRecords(size);
        for (unsigned i = 0; i < size; ++i) {
            write_record(records[i], body.records[i]);
        }
    }
    if (!body.verdicts.empty()) {
        const auto size = static_cast<unsigned>(body.verdicts.size());
        auto verdicts = root.initVerdicts(size);
        for (unsigned i = 0; i < size; ++i) {
            write_verdict(verdicts[i], body.verdicts[i]);
        }
    }
    write_synchronisation(root, body);
    return pack(builder);
}

absl::StatusOr<message> decode_membership(byte_view data) {
    if (data.size() > membership::max_datagram_size) {
        return support::make_error(support::error_kind::too_large,
                                   absl::StrCat("membership message of ",
                                                data.size(), " bytes; at most ",
                                                membership::max_datagram_size));
    }
    return unpack<schema::MembershipMessage>(data, max_words, message_name,
                                             read_message);
}

} // namespace guavastair::wire
