/// A bounded map with 64-bit keys, such as a caller's endpoint, that evicts the
/// least recently used entries.

#ifndef GUAVASTAIR_RECENT_MAP_HPP
#define GUAVASTAIR_RECENT_MAP_HPP

#include <guavastair/support.hpp>

#include <absl/hash/hash.h>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <cstdint>

namespace guavastair::cache {

/// Key of a recent_map: an endpoint, a member id or a hash.
using map_key = std::uint64_t;

/// Packs an endpoint into a key.
inline map_key pack(support::endpoint at) noexcept {
    constexpr int port_bits = 16;
    return (map_key{at.address.value} << port_bits) | at.port;
}

/// Holds at most `capacity` entries in least recently used order.
template <typename Value> class recent_map {
public:
    recent_map(std::size_t capacity, support::duration timeout)
        : capacity(capacity), timeout(timeout) {}

    /// The entry of `key`, or null. Does not count as a use: the entry's expiry
    /// is not postponed.
    Value* find(map_key key) const {
        const auto it = this->entries.find(key);
        return it == this->entries.end() ? nullptr : &it->value;
    }

    /// Marks the entry of `key` as used now. The entry must exist.
    void touch(map_key key, support::instant now) {
        const auto it = this->entries.find(key);
        it->last_used = now;
        auto& by_use = this->entries.template get<1>();
        by_use.relocate(by_use.end(), this->entries.template project<1>(it));
    }

    /// Sets the entry of `key` and marks it as used now. If the map is full,
    /// the least recently used entry is evicted.
    void put(map_key key, Value value, support::instant now) {
        if (Value* existing = this->find(key)) {
            *existing = value;
            this->touch(key, now);
            return;
        }
        if (this->capacity == 0) {
            return;
        }
        if (this->entries.size() >= this->capacity) {
            this->entries.template get<1>().pop_front();
        }
        this->entries.insert({key, value, now});
    }

    void erase(map_key key) {
        this->entries.erase(key);
    }

    /// Evicts the entries that have not been used for the timeout.
    void expire(support::instant now) {
        auto& by_use = this->entries.template get<1>();
        while (!by_use.empty() &&
               now - by_use.front().last_used >= this->timeout) {
            by_use.pop_front();
        }
    }

    /// Erases the entries whose value satisfies `condition`.
    template <typename Condition> void erase_if(Condition condition) {
        this->entries.template get<1>().remove_if(
            [&condition](const entry& e) { return condition(e.value); });
    }

    bool full() const {
        return this->entries.size() >= this->capacity;
    }
    std::size_t size() const {
        return this->entries.size();
    }

private:
    struct entry {
        map_key key;
        // Mutable because no index is keyed by these two members.
        mutable Value value;
        mutable support::instant last_used;
    };

    using by_key = boost::multi_index::hashed_unique<
        boost::multi_index::member<entry, map_key, &entry::key>,
        absl::Hash<map_key>>;
    using by_use = boost::multi_index::sequenced<>;

    boost::multi_index_container<entry,
                                 boost::multi_index::indexed_by<by_key, by_use>>
        entries;
    std::size_t capacity;
    support::duration timeout;
};

} // namespace guavastair::cache

#endif
