/// RapidCheck generators of the messages between guavastair processes.

#ifndef GUAVASTAIR_UNITTESTS_WIRE_GENERATORS_HPP
#define GUAVASTAIR_UNITTESTS_WIRE_GENERATORS_HPP

#include <guavastair/wire.hpp>

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace guavastair::wire {

template <typename Name> rc::Gen<Name> any_name() {
    const auto letter = rc::gen::inRange('a', static_cast<char>('z' + 1));
    return rc::gen::map(
        rc::gen::resize(support::max_name_size - 1,
                        rc::gen::container<std::string>(letter)),
        [](std::string text) {
            text.resize(std::min(text.size(), support::max_name_size - 1));
            return Name{"n" + text};
        });
}

inline support::endpoint any_endpoint() {
    return {{*rc::gen::arbitrary<std::uint32_t>()},
            *rc::gen::arbitrary<std::uint16_t>()};
}

inline membership::node_record any_record() {
    membership::node_record record;
    record.id = {*rc::gen::nonZero<std::uint64_t>()};
    record.name = *any_name<support::node_name>();
    record.data_centre = *any_name<support::data_centre_name>();
    record.control = any_endpoint();
    record.data = any_endpoint();
    record.incarnation = *rc::gen::arbitrary<std::uint32_t>();
    record.weight = *rc::gen::arbitrary<std::uint32_t>();
    record.applied = {*rc::gen::arbitrary<std::int64_t>()};
    record.may_watch_store = *rc::gen::arbitrary<bool>();
    record.role =
        *rc::gen::element(membership::role::balancer, membership::role::agent);
    record.state =
        static_cast<membership::member_state>(*rc::gen::inRange(0, 4));
    if (record.role == membership::role::agent) {
        record.service = *any_name<support::service_name>();
    }
    const int unreachable_count = *rc::gen::inRange(0, 3);
    for (int i = 0; i < unreachable_count; ++i) {
        record.unreachable.push_back(*any_name<support::data_centre_name>());
    }
    return record;
}

/// A message with an arbitrary combination of contents.
inline membership::message any_message() {
    membership::message body;
    body.kind = static_cast<membership::message_kind>(
        *rc::gen::inRange<std::size_t>(0, membership::message_kind_count));
    body.sender = {*rc::gen::arbitrary<std::uint64_t>()};
    body.revision = {*rc::gen::arbitrary<std::int64_t>()};
    body.sequence = *rc::gen::arbitrary<std::uint32_t>();
    body.target = {*rc::gen::arbitrary<std::uint64_t>()};
    body.bucket_count = *rc::gen::arbitrary<std::uint16_t>();
    const int records = *rc::gen::inRange(0, 3);
    for (int i = 0; i < records; ++i) {
        body.records.push_back(any_record());
    }
    const int verdicts = *rc::gen::inRange(0, 5);
    for (int i = 0; i < verdicts; ++i) {
        body.verdicts.push_back(
            {{*rc::gen::arbitrary<std::uint64_t>()},
             *rc::gen::arbitrary<std::uint32_t>(),
             static_cast<membership::liveness>(*rc::gen::inRange(0, 3)),
             {*rc::gen::arbitrary<std::uint64_t>()}});
    }
    body.bucket_hashes = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
    body.buckets = *rc::gen::arbitrary<std::vector<std::uint16_t>>();
    for (const auto id : *rc::gen::arbitrary<std::vector<std::uint64_t>>()) {
        body.versions.push_back({{id}, *rc::gen::arbitrary<std::uint32_t>()});
        body.wanted.push_back({id});
    }
    return body;
}

} // namespace guavastair::wire

#endif
