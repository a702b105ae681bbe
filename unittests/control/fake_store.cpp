#include "fake_store.hpp"

#include <absl/strings/match.h>

namespace guavastair::control {

absl::StatusOr<store::range_result>
fake_store::range(const store::range_request& request) {
    const std::lock_guard lock(this->mutex);
    this->calls.count(store::call_kind::range);
    store::range_result result;
    result.store_revision = {this->revision};
    for (const auto& [key, entry] : this->entries) {
        const bool matches = request.is_prefix
                                 ? absl::StartsWith(key, request.key)
                                 : key == request.key;
        if (matches && entry.mod_revision >= request.min_mod_revision) {
            result.entries.push_back(entry);
        }
    }
    return result;
}

void fake_store::put_locked(const std::string& key, const std::string& value,
                            store::lease_id lease) {
    store::key_value& entry = this->entries[key];
    entry.key = key;
    entry.value = value;
    entry.lease = lease;
    entry.mod_revision = {++this->revision};
    ++entry.version;
}

absl::StatusOr<store::write_result>
fake_store::write(const store::write_request& request) {
    const std::lock_guard lock(this->mutex);
    this->calls.count(store::call_kind::write);
    for (const store::operation& item : request.operations) {
        this->put_locked(item.key, item.value, item.lease);
    }
    store::write_result result;
    result.succeeded = true;
    result.store_revision = {this->revision};
    return result;
}

absl::StatusOr<store::lease_id>
fake_store::grant_lease(support::duration /*ttl*/) {
    const std::lock_guard lock(this->mutex);
    this->calls.count(store::call_kind::lease_grant);
    return store::lease_id{this->next_lease++};
}

absl::Status fake_store::keep_alive(store::lease_id /*lease*/) {
    this->calls.count(store::call_kind::lease_keepalive);
    return absl::OkStatus();
}

absl::Status fake_store::revoke(store::lease_id lease) {
    const std::lock_guard lock(this->mutex);
    this->calls.count(store::call_kind::lease_revoke);
    std::erase_if(this->entries, [lease](const auto& item) {
        return item.second.lease == lease;
    });
    return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<store::watch_stream>>
fake_store::watch(const store::watch_request& /*ask*/) {
    this->calls.count(store::call_kind::watch);
    return support::make_error(support::error_kind::store_unavailable,
                               "no watches here");
}

const store::call_counters& fake_store::counters() const {
    return this->calls;
}

std::size_t fake_store::count_keys(absl::string_view prefix) {
    const std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const auto& [key, entry] : this->entries) {
        count += absl::StartsWith(key, prefix) ? 1 : 0;
    }
    return count;
}

support::revision fake_store::put(const std::string& key,
                                  const std::string& value) {
    const std::lock_guard lock(this->mutex);
    this->put_locked(key, value, {});
    return {this->revision};
}

} // namespace guavastair::control
