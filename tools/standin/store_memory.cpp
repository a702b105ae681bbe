#include "store_memory.hpp"

#include <algorithm>
#include <chrono>

namespace guavastair::standin {

bool key_range::contains(const std::string& key) const {
    return this->end.empty() ? key == this->first
                             : key >= this->first && key < this->end;
}

memory_store::memory_store(const support::clock& time) : time(time) {}

std::vector<store::key_value> memory_store::read(const key_range& keys,
                                                 support::revision min) const {
    std::vector<store::key_value> result;
    auto entry = this->entries.lower_bound(keys.first);
    for (; entry != this->entries.end(); ++entry) {
        if (!keys.contains(entry->first)) {
            break;
        }
        if (entry->second.mod_revision >= min) {
            result.push_back(entry->second);
        }
    }
    return result;
}

store::range_result memory_store::range(const key_range& keys,
                                        support::revision min_mod_revision) {
    const std::lock_guard lock(this->mutex);
    this->drop_expired_leases();
    return {this->current, this->read(keys, min_mod_revision)};
}

bool memory_store::is_satisfied(const comparison& item) const {
    std::vector<store::key_value> found = this->read(item.keys, {});
    if (found.empty()) {
        found.emplace_back();
    }
    return std::all_of(found.begin(), found.end(),
                       [&item](const store::key_value& entry) {
                           return item.kind == store::condition_kind::equals
                                      ? entry.mod_revision == item.revision
                                      : entry.mod_revision <= item.revision;
                       });
}

transaction_result memory_store::run(const transaction& request_body) {
    const std::lock_guard lock(this->mutex);
    this->drop_expired_leases();
    transaction_result result;
    result.succeeded = std::all_of(
        request_body.comparisons.begin(), request_body.comparisons.end(),
        [this](const comparison& item) { return this->is_satisfied(item); });
    if (!result.succeeded) {
        for (const key_range& keys : request_body.reads_if_failed) {
            result.reads.push_back(this->read(keys, {}));
        }
    } else if (!request_body.operations.empty()) {
        const support::revision at{this->current.value + 1};
        this->current = at;
        for (const store::operation& item : request_body.operations) {
            if (item.kind == store::operation_kind::put) {
                this->put(item, at);
            } else {
                this->remove(item.key, at);
            }
        }
        this->changed.notify_all();
    }
    result.revision = this->current;
    return result;
}

void memory_store::put(const store::operation& item, support::revision at) {
    store::key_value& entry = this->entries[item.key];
    if (entry.version == 0) {
        entry.key = item.key;
        entry.create_revision = at;
    }
    const auto old_lease = this->leases.find(entry.lease.value);
    if (old_lease != this->leases.end()) {
        old_lease->second.keys.erase(item.key);
    }
    entry.value = item.value;
    entry.mod_revision = at;
    entry.lease = item.lease;
    ++entry.version;
    const auto lease = this->leases.find(item.lease.value);
    if (lease != this->leases.end()) {
        lease->second.keys.insert(item.key);
    }
    this->record({entry, false});
}

void memory_store::remove(const std::string& key, support::revision at) {
    if (this->entries.erase(key) == 0) {
        return;
    }
    store::watch_event event;
    event.entry.key = key;
    event.entry.mod_revision = at;
    event.deleted = true;
    this->record(std::move(event));
}

void memory_store::record(store::watch_event event) {
    this->history.push_back(std::move(event));
    if (this->history.size() > max_history) {
        this->history_from = {this->history.front().entry.mod_revision.value +
                              1};
        this->history.pop_front();
    }
}

store::lease_id memory_store::grant(support::duration ttl) {
    const std::lock_guard lock(this->mutex);
    ++this->last_lease;
    this->leases[this->last_lease] = {ttl, this->time.now() + ttl, {}};
    return {this->last_lease};
}

support::duration memory_store::keep_alive(store::lease_id lease) {
    const std::lock_guard lock(this->mutex);
    this->drop_expired_leases();
    const auto found = this->leases.find(lease.value);
    if (found == this->leases.end()) {
        return {};
    }
    found->second.expires = this->time.now() + found->second.ttl;
    return found->second.ttl;
}

void memory_store::revoke(store::lease_id lease) {
    const std::lock_guard lock(this->mutex);
    this->drop_lease(lease.value);
}

void memory_store::drop_lease(std::int64_t id) {
    const auto found = this->leases.find(id);
    if (found == this->leases.end()) {
        return;
    }
    const std::set<std::string> keys = found->second.keys;
    this->leases.erase(found);
    if (keys.empty()) {
        return;
    }
    this->current = {this->current.value + 1};
    for (const std::string& key : keys) {
        this->remove(key, this->current);
    }
    this->changed.notify_all();
}

void memory_store::drop_expired_leases() {
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : this->leases) {
        if (lease.expires <= this->time.now()) {
            expired.push_back(id);
        }
    }
    for (const std::int64_t id : expired) {
        this->drop_lease(id);
    }
}

void memory_store::compact(support::revision revision) {
    const std::lock_guard lock(this->mutex);
    this->history_from = std::max(this->history_from, revision);
    while (!this->history.empty() &&
           this->history.front().entry.mod_revision < revision) {
        this->history.pop_front();
    }
}

store::watch_message memory_store::events_since(const key_range& keys,
                                                support::revision from) const {
    store::watch_message result;
    result.store_revision = this->current;
    result.compacted = from < this->history_from;
    if (result.compacted) {
        return result;
    }
    for (const store::watch_event& event : this->history) {
        if (event.entry.mod_revision >= from &&
            keys.contains(event.entry.key)) {
            result.events.push_back(event);
        }
    }
    return result;
}

store::watch_message memory_store::wait_for_events(const key_range& keys,
                                                   support::revision from,
                                                   support::duration limit) {
    std::unique_lock lock(this->mutex);
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(limit.ms);
    while (true) {
        this->drop_expired_leases();
        store::watch_message message = this->events_since(keys, from);
        if (this->stopped || message.compacted || !message.events.empty() ||
            this->changed.wait_until(lock, deadline) ==
                std::cv_status::timeout) {
            return message;
        }
    }
}

support::revision memory_store::revision() {
    const std::lock_guard lock(this->mutex);
    return this->current;
}

void memory_store::stop() {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
    this->changed.notify_all();
}

} // namespace guavastair::standin
