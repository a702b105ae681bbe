#include "bucket_order.hpp"
#include "members.hpp"

#include <guavastair/placement.hpp>

#include <algorithm>

namespace guavastair::placement {

using bucket_row = std::array<std::uint16_t, max_candidates>;

struct service_table::impl {
    service_members source;
    /// Number of candidates listed in each bucket.
    std::size_t list_size = 0;
    std::vector<candidate> candidates;
    /// Indexes of the candidates of each bucket.
    std::vector<bucket_row> rows;
};

/// Returns a flow's bucket. Uses the high bits of the hash, because hash tables
/// use the low ones.
static std::uint32_t bucket_of(std::uint64_t flow_hash) noexcept {
    constexpr int low_bits = 32;
    return static_cast<std::uint32_t>(flow_hash >> low_bits) % bucket_count;
}

static std::vector<bucket_row> compute_rows(std::span<const member> members) {
    std::vector<bucket_row> rows(bucket_count);
    bucket_order order(members);
    for (std::uint32_t bucket = 0; bucket < bucket_count; ++bucket) {
        const auto indexes = order.listed_members(bucket);
        std::copy(indexes.begin(), indexes.end(), rows[bucket].begin());
    }
    return rows;
}

service_table::service_table(service_members service) {
    auto state = std::make_unique<impl>();
    keep_one_per_address(service.members);
    state->source = std::move(service);
    const auto& members = state->source.members;
    state->list_size = std::min(max_candidates, members.size());
    state->candidates.reserve(members.size());
    for (const member& m : members) {
        state->candidates.push_back({m.id, m.data});
    }
    if (!members.empty()) {
        state->rows = compute_rows(members);
    }
    this->self = std::move(state);
}

service_table::~service_table() = default;

const support::service_name& service_table::name() const noexcept {
    return this->self->source.name;
}

support::endpoint service_table::address() const noexcept {
    return this->self->source.address;
}

const service_members& service_table::source() const noexcept {
    return this->self->source;
}

bool service_table::contains(const candidate& wanted) const noexcept {
    const auto& all = this->self->candidates;
    const auto found =
        std::lower_bound(all.begin(), all.end(), wanted.data,
                         [](const candidate& c, support::endpoint data) {
                             return c.data < data;
                         });
    return found != all.end() && *found == wanted;
}

candidate_list
service_table::candidates(std::uint64_t flow_hash) const noexcept {
    const impl& state = *this->self;
    candidate_list result;
    if (state.rows.empty()) {
        return result;
    }
    const bucket_row& row = state.rows[bucket_of(flow_hash)];
    result.size = state.list_size;
    for (std::size_t i = 0; i < state.list_size; ++i) {
        result.items[i] = state.candidates[row[i]];
    }
    return result;
}

std::vector<candidate>
service_table::full_order(std::uint64_t flow_hash) const {
    const impl& state = *this->self;
    std::vector<candidate> result;
    if (state.candidates.empty()) {
        return result;
    }
    bucket_order order(state.source.members);
    for (const std::uint16_t index : order.all_members(bucket_of(flow_hash))) {
        result.push_back(state.candidates[index]);
    }
    return result;
}

std::size_t service_table::memory_bytes() const noexcept {
    const impl& state = *this->self;
    return sizeof(*this) + sizeof(impl) +
           state.source.members.capacity() * sizeof(member) +
           state.candidates.capacity() * sizeof(candidate) +
           state.rows.capacity() * sizeof(bucket_row);
}

} // namespace guavastair::placement
