/// A simple reference model of the store's history, for differential tests.

#ifndef GUAVASTAIR_UNITTESTS_CONFIG_WRITE_LOG_HPP
#define GUAVASTAIR_UNITTESTS_CONFIG_WRITE_LOG_HPP

#include "generators.hpp"

#include <guavastair/config.hpp>

#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace guavastair::config {

/// Keeps every write and computes each result from the complete history.
class write_log {
public:
    void append(change item) {
        // Writes of unrelated keys also increase the store's revision.
        this->head.value += *rc::gen::inRange(1, 3);
        item.revision = this->head;
        this->writes.push_back(std::move(item));
    }

    support::revision last() const {
        return this->head;
    }

    /// Returns the latest version of each key as of `to`, including deletions.
    std::map<document_key, change> as_of(support::revision to) const {
        std::map<document_key, change> result;
        for (const change& item : this->writes) {
            if (item.revision <= to) {
                result[item.key] = item;
            }
        }
        return result;
    }

    /// Returns the changes after `from`, up to and including `to`.
    change_set between(support::revision from, support::revision to) const {
        change_set result{from, to, false, {}};
        for (const auto& [key, item] : this->as_of(to)) {
            if (item.revision > from) {
                result.entries.push_back(item);
            }
        }
        const auto by_revision = [](const auto& left, const auto& right) {
            return left.revision < right.revision;
        };
        std::sort(result.entries.begin(), result.entries.end(), by_revision);
        return result;
    }

private:
    std::vector<change> writes;
    support::revision head;
};

/// Generates a write of one of a few documents. The services share a few
/// addresses, so that some addresses are used twice.
inline change any_change() {
    constexpr int documents = 6;
    const std::string name = absl::StrCat("d", *rc::gen::inRange(0, documents));
    change item;
    item.key.name = name;
    item.deleted = *rc::gen::inRange(0, 3) == 0;
    const bool is_service = *rc::gen::arbitrary<bool>();
    item.key.kind =
        is_service ? document_kind::service : document_kind::data_centre;
    if (item.deleted) {
        return item;
    }
    if (is_service) {
        service_document document = any_service();
        document.name.value = name;
        document.address = {
            {1}, static_cast<std::uint16_t>(*rc::gen::inRange(1, documents))};
        item.text = to_json(document);
    } else {
        item.text =
            to_json(data_centre_document{{name}, *rc::gen::arbitrary<bool>()});
    }
    return item;
}

/// Checks that `set` equals the state of `log` at the revision of the set.
inline void check_same(const document_set& set, const write_log& log) {
    std::vector<service_document> services;
    std::vector<support::data_centre_name> withdrawn;
    std::set<support::endpoint> addresses;
    std::size_t size = 0;
    for (const auto& [key, item] : log.as_of(set.complete_up_to())) {
        const auto held = set.revision_of(key);
        RC_ASSERT(held.has_value() == !item.deleted);
        if (item.deleted) {
            continue;
        }
        ++size;
        RC_ASSERT(*held == item.revision);
        if (key.kind == document_kind::data_centre) {
            if (parse_data_centre_document("", item.text).value.withdrawn) {
                withdrawn.push_back({key.name});
            }
            continue;
        }
        const auto document = parse_service_document("", item.text).value;
        RC_ASSERT(*set.find({key.name}) == document);
        if (addresses.insert(document.address).second) {
            services.push_back(document);
        }
    }
    RC_ASSERT(set.size() == size);
    RC_ASSERT(set.withdrawn_data_centres() == withdrawn);
    std::vector<service_document> listed;
    for (const auto& document : set.services()) {
        listed.push_back(*document);
    }
    RC_ASSERT(listed == services);
}

inline support::revision any_revision(support::revision last) {
    return {*rc::gen::inRange<std::int64_t>(0, last.value + 1)};
}

} // namespace guavastair::config

#endif
