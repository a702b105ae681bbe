#include "update_queue.hpp"

#include <vector>

namespace guavastair::membership {

update_queue::rank update_queue::rank_of(support::member_id id,
                                         const queued_update& item) {
    return {item.sends, item.serial, id};
}

/// The update about `id`, added if there is none, with its send count reset.
update_queue::queued_update& update_queue::requeue(support::member_id id) {
    queued_update& item = this->updates[id];
    this->by_priority.erase(rank_of(id, item));
    item.sends = 0;
    item.serial = this->next_serial--;
    this->by_priority.insert(rank_of(id, item));
    return item;
}

void update_queue::add_record(support::member_id id) {
    queued_update& item = this->requeue(id);
    item.has_record = true;
    item.has_verdict = false;
}

void update_queue::add_verdict(const verdict& observed) {
    queued_update& item = this->requeue(observed.member);
    item.has_verdict = true;
    item.observed = observed;
}

bool update_queue::contains(support::member_id id) const {
    return this->updates.contains(id);
}

bool update_queue::empty() const {
    return this->updates.empty();
}

void update_queue::append(message& body, const queued_update& item,
                          const node_record& record) {
    if (item.has_record) {
        body.records.push_back(record);
    }
    if (item.has_verdict) {
        body.verdicts.push_back(item.observed);
    }
}

void update_queue::fill(message& body, const member_table& table,
                        std::size_t max_size, std::size_t max_sends) {
    std::vector<rank> selected;
    for (const rank& position : this->by_priority) {
        const support::member_id id = std::get<support::member_id>(position);
        const member_entry* entry = table.find(id);
        const bool is_self = id == table.self().id;
        selected.push_back(position);
        if (entry == nullptr && !is_self) {
            continue;
        }
        const std::size_t records = body.records.size();
        const std::size_t verdicts = body.verdicts.size();
        append(body, this->updates.at(id),
               is_self ? table.self() : entry->record);
        if (size_bound(body) > max_size) {
            body.records.resize(records);
            body.verdicts.resize(verdicts);
            selected.pop_back();
            break;
        }
    }
    for (const rank& position : selected) {
        const support::member_id id = std::get<support::member_id>(position);
        queued_update& item = this->updates.at(id);
        this->by_priority.erase(position);
        ++item.sends;
        if (item.sends >= max_sends ||
            (table.find(id) == nullptr && id != table.self().id)) {
            this->updates.erase(id);
            continue;
        }
        this->by_priority.insert(rank_of(id, item));
    }
}

} // namespace guavastair::membership
