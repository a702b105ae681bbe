#include <guavastair/membership.hpp>

namespace guavastair::membership {

namespace {

/// Size of a Cap'n Proto word in bytes. All sizes here are upper bounds in
/// bytes after packing.
constexpr std::size_t word_size = 8;

/// Fixed fields, list pointers and their tags.
constexpr std::size_t message_overhead = 112;
constexpr std::size_t record_overhead = 88;
constexpr std::size_t verdict_size = 30;
constexpr std::size_t version_size = 16;
constexpr std::size_t id_size = 10;
constexpr std::size_t bucket_hash_size = 5;
constexpr std::size_t bucket_size = 3;
/// Pointer and packing of one string.
constexpr std::size_t text_overhead = 8;

template <typename Tag> std::size_t text_size(const support::name<Tag>& text) {
    const std::size_t word_count = (text.value.size() + word_size) / word_size;
    return word_count * (word_size + 1) + text_overhead;
}

std::size_t record_size(const node_record& record) {
    std::size_t size = record_overhead + text_size(record.name) +
                       text_size(record.data_centre) +
                       text_size(record.service);
    for (const support::data_centre_name& name : record.unreachable) {
        size += text_size(name) + text_overhead;
    }
    return size;
}

} // namespace

std::size_t size_bound(const message& body) {
    std::size_t size = message_overhead;
    for (const node_record& record : body.records) {
        size += record_size(record);
    }
    size += body.verdicts.size() * verdict_size;
    size += body.bucket_hashes.size() * bucket_hash_size;
    size += body.buckets.size() * bucket_size;
    size += body.versions.size() * version_size;
    size += body.wanted.size() * id_size;
    return size;
}

} // namespace guavastair::membership
