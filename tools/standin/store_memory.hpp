/// An in-memory key-value store with etcd's semantics: one revision per write,
/// compare-and-swap, leases and a history that can be watched.

#ifndef GUAVASTAIR_TOOLS_STANDIN_STORE_MEMORY_HPP
#define GUAVASTAIR_TOOLS_STANDIN_STORE_MEMORY_HPP

#include <guavastair/store.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace guavastair::standin {

/// The keys from `first` (inclusive) to `end` (exclusive); only `first` if
/// `end` is empty.
struct key_range {
    std::string first;
    std::string end;

    bool contains(const std::string& key) const;
};

struct comparison {
    key_range keys;
    store::condition_kind kind = store::condition_kind::equals;
    support::revision revision;
};

struct transaction {
    std::vector<comparison> comparisons;
    std::vector<store::operation> operations;
    std::vector<key_range> reads_if_failed;
};

struct transaction_result {
    bool succeeded = false;
    support::revision revision;
    std::vector<std::vector<store::key_value>> reads;
};

/// The store. Keeps at most max_history events. Thread-safe.
class memory_store {
public:
    static constexpr std::size_t max_history = 100'000;

    explicit memory_store(const support::clock& time);

    store::range_result range(const key_range& keys,
                              support::revision min_mod_revision);
    transaction_result run(const transaction& request_body);

    store::lease_id grant(support::duration ttl);
    /// Renews the lease. Returns its remaining time; 0 if it has expired.
    support::duration keep_alive(store::lease_id lease);
    void revoke(store::lease_id lease);

    /// Discards events older than `revision`.
    void compact(support::revision revision);

    /// Waits at most `limit` for events at revision `from` or later.
    store::watch_message wait_for_events(const key_range& keys,
                                         support::revision from,
                                         support::duration limit);

    support::revision revision();

    /// Wakes every wait_for_events() and ends later ones immediately.
    void stop();

private:
    struct lease_state {
        support::duration ttl;
        support::instant expires;
        std::set<std::string> keys;
    };

    bool is_satisfied(const comparison& item) const;
    std::vector<store::key_value> read(const key_range& keys,
                                       support::revision min) const;
    void put(const store::operation& item, support::revision at);
    void remove(const std::string& key, support::revision at);
    void drop_lease(std::int64_t id);
    void drop_expired_leases();
    void record(store::watch_event event);
    store::watch_message events_since(const key_range& keys,
                                      support::revision from) const;

    const support::clock& time;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopped = false;
    support::revision current{1};
    /// The oldest revision that can be watched.
    support::revision history_from{1};
    std::map<std::string, store::key_value> entries;
    std::map<std::int64_t, lease_state> leases;
    std::int64_t last_lease = 0;
    std::deque<store::watch_event> history;
};

} // namespace guavastair::standin

#endif
