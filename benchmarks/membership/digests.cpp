// Compares the size of three digests for anti-entropy between two members, in
// sync and after a partition: hashes of buckets, a plain list of versions, and
// version vectors. Prints a Markdown table.

#include "../../lib/membership/member_table.hpp"

#include <guavastair/wire.hpp>

#include <cstdio>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace guavastair::membership {

namespace {

constexpr std::size_t versions_per_message = 60;
constexpr std::size_t records_per_message = 7;
constexpr std::size_t members_per_bucket = 16;
constexpr std::size_t max_digest_buckets = 128;

std::size_t sealed_size(const message& body) {
    return wire::encode(body).size() + wire::seal_size;
}

node_record record_of(std::uint64_t id, std::uint32_t incarnation) {
    node_record record;
    record.id = {id};
    record.name = {"node-" + std::to_string(id % 100'000)};
    record.data_centre = {"dc-" + std::to_string(id % 11)};
    record.service = {"order-portal"};
    record.control = {{static_cast<std::uint32_t>(id)}, 4000};
    record.data = {{static_cast<std::uint32_t>(id)}, 4001};
    record.state = member_state::ready;
    record.incarnation = incarnation;
    return record;
}

/// The tables of two members after a partition.
struct partitioned_tables {
    member_table left;
    member_table right;
    std::vector<node_record> only_left;
    std::vector<node_record> only_right;
};

partitioned_tables make_partitioned_tables(std::size_t size,
                                           std::size_t changes) {
    constexpr std::uint32_t start = 1'700'000'000;
    std::mt19937_64 random(1);
    const node_record self = record_of(random(), start);
    partitioned_tables tables{member_table(self), member_table(self), {}, {}};
    for (std::size_t i = 1; i < size; ++i) {
        const std::uint64_t id = random();
        tables.left.merge(record_of(id, start), {});
        tables.right.merge(record_of(id, start), {});
        if (i > changes * 2) {
            continue;
        }
        const node_record changed = record_of(id, start + 1);
        if (i % 2 == 0) {
            tables.left.merge(changed, {});
            tables.only_left.push_back(changed);
        } else {
            tables.right.merge(changed, {});
            tables.only_right.push_back(changed);
        }
    }
    return tables;
}

std::size_t records_cost(const std::vector<node_record>& records) {
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < records.size(); i += records_per_message) {
        message body;
        body.kind = message_kind::records;
        const std::size_t end =
            std::min(records.size(), i + records_per_message);
        for (std::size_t j = i; j < end; ++j) {
            body.records.push_back(records[j]);
        }
        bytes += sealed_size(body);
    }
    return bytes;
}

std::size_t pull_cost(const std::vector<node_record>& records) {
    if (records.empty()) {
        return 0;
    }
    message body;
    body.kind = message_kind::pull;
    for (const node_record& record : records) {
        body.wanted.push_back(record.id);
    }
    return sealed_size(body);
}

std::size_t versions_cost(const std::vector<record_version>& versions) {
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < versions.size(); i += versions_per_message) {
        message body;
        body.kind = message_kind::versions;
        const std::size_t end =
            std::min(versions.size(), i + versions_per_message);
        for (std::size_t j = i; j < end; ++j) {
            body.versions.push_back(versions[j]);
        }
        bytes += sealed_size(body);
    }
    return bytes;
}

/// Bytes of the records that each side lacks. They are sent with any digest.
std::size_t exchange_cost(const partitioned_tables& tables) {
    return records_cost(tables.only_left) + records_cost(tables.only_right) +
           pull_cost(tables.only_right);
}

std::size_t buckets_for(std::size_t size) {
    std::size_t count = 1;
    while (count < size / members_per_bucket + 1 &&
           count < max_digest_buckets) {
        count *= 2;
    }
    return count;
}

/// Bytes of the bucket hashes and of the versions in the buckets that differ.
std::size_t bucket_cost(const partitioned_tables& tables, std::size_t size) {
    const std::size_t count = buckets_for(size);
    message digest;
    digest.kind = message_kind::digest;
    digest.bucket_hashes = tables.left.bucket_hashes(count);
    std::vector<record_version> versions;
    const auto other = tables.right.bucket_hashes(count);
    for (std::size_t i = 0; i < count; ++i) {
        if (digest.bucket_hashes[i] != other[i]) {
            const auto more = tables.right.versions_in(i, count);
            versions.insert(versions.end(), more.begin(), more.end());
        }
    }
    message in_sync;
    in_sync.kind = message_kind::versions;
    const std::size_t answer =
        versions.empty() ? sealed_size(in_sync) : versions_cost(versions);
    return sealed_size(digest) + answer;
}

/// Bytes of a plain list of versions. Only the owner writes a record, so a
/// version vector also has one entry per member, with the incarnation as its
/// update count. Both are the same message.
std::size_t list_cost(const partitioned_tables& tables) {
    return versions_cost(tables.left.versions_in(0, 1));
}

/// Bytes of a version vector keyed by observer, in which a failure counts as an
/// update by its accuser. It has one more entry per accuser.
std::size_t observer_vector_cost(const partitioned_tables& tables,
                                 std::size_t accusers) {
    std::vector<record_version> vector = tables.left.versions_in(0, 1);
    vector.resize(vector.size() + accusers);
    return versions_cost(vector);
}

void print(std::size_t size, std::size_t changes) {
    const partitioned_tables tables = make_partitioned_tables(size, changes);
    const std::size_t records = exchange_cost(tables);
    std::printf("| %zu | %zu | %zu | %zu | %zu | %zu |\n", size, changes * 2,
                bucket_cost(tables, size), list_cost(tables),
                observer_vector_cost(tables, changes), records);
}

} // namespace

} // namespace guavastair::membership

int main() {
    using namespace guavastair::membership;
    std::printf("| members | changed | bucket hashes, bytes | plain list = "
                "vector of owners, bytes | vector of observers, bytes | "
                "records and pull, bytes |\n|---|---|---|---|---|---|\n");
    for (const std::size_t size : {20U, 500U, 17'000U}) {
        print(size, 0);
        print(size, 2);
        print(size, size / 20);
    }
    return 0;
}
