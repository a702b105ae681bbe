/// An in-memory store with keys, revisions and leases that never expire.

#ifndef GUAVASTAIR_UNITTESTS_CONTROL_FAKE_STORE_HPP
#define GUAVASTAIR_UNITTESTS_CONTROL_FAKE_STORE_HPP

#include <guavastair/store.hpp>

#include <map>
#include <mutex>

namespace guavastair::control {

class fake_store final : public store::client {
public:
    absl::StatusOr<store::range_result>
    range(const store::range_request& request) override;
    absl::StatusOr<store::write_result>
    write(const store::write_request& request) override;
    absl::StatusOr<store::lease_id> grant_lease(support::duration ttl) override;
    absl::Status keep_alive(store::lease_id lease) override;
    absl::Status revoke(store::lease_id lease) override;
    /// Always fails, so that watchers rely on periodic reads.
    absl::StatusOr<std::unique_ptr<store::watch_stream>>
    watch(const store::watch_request& request) override;
    const store::call_counters& counters() const override;

    /// Number of keys that start with `prefix`.
    std::size_t count_keys(absl::string_view prefix);

    /// Writes a document as an operator would.
    support::revision put(const std::string& key, const std::string& value);

private:
    void put_locked(const std::string& key, const std::string& value,
                    store::lease_id lease);

    std::mutex mutex;
    std::map<std::string, store::key_value> entries;
    std::int64_t revision = 1;
    std::int64_t next_lease = 1;
    store::call_counters calls;
};

} // namespace guavastair::control

#endif
