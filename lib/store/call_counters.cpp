#include <guavastair/store.hpp>

namespace guavastair::store {

static constexpr std::array<absl::string_view, call_kind_count> kind_names{
    "range",           "write",        "lease_grant",
    "lease_keepalive", "lease_revoke", "watch"};

absl::string_view to_string(call_kind kind) {
    return kind_names[static_cast<std::size_t>(kind)];
}

void call_counters::count(call_kind kind) {
    const auto index = static_cast<std::size_t>(kind);
    this->counts[index].fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t call_counters::of(call_kind kind) const {
    const auto index = static_cast<std::size_t>(kind);
    return this->counts[index].load(std::memory_order_relaxed);
}

std::uint64_t call_counters::total() const {
    std::uint64_t sum = 0;
    for (const auto& counter : this->counts) {
        sum += counter.load(std::memory_order_relaxed);
    }
    return sum;
}

} // namespace guavastair::store
