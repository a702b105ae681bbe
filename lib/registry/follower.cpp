#include <guavastair/registry.hpp>

namespace guavastair::registry {

follower::follower(follower_settings new_options, std::uint64_t seed)
    : options(std::move(new_options)),
      retry_backoff(this->options.shortest_pause, this->options.longest_pause,
                    seed),
      random(static_cast<std::minstd_rand::result_type>(seed)) {}

std::optional<follower_call> follower::next_call(support::instant now) {
    if (this->call_in_flight || now < this->next_call_at) {
        return std::nullopt;
    }
    this->call_in_flight = true;
    if (this->needs_list) {
        return list_call{this->list_after_key};
    }
    std::uniform_int_distribution<std::int64_t> distribution(
        this->options.watch_time.ms / 2, this->options.watch_time.ms);
    return watch_call{this->complete_up_to, {distribution(this->random)}};
}

support::instant follower::wake_at() const {
    return this->next_call_at;
}

bool follower::on_page(const page& result) {
    this->call_in_flight = false;
    this->last_call_failed = false;
    this->retry_backoff.on_success();
    if (this->list_after_key.empty()) {
        this->pending_entries.clear();
        // Later pages may include later changes. The watch from the first
        // page's revision delivers them again.
        this->list_as_of = result.as_of;
    }
    for (const entry& each : result.entries) {
        this->pending_entries[each.key] = each;
    }
    if (result.has_more && !result.entries.empty()) {
        this->list_after_key = result.entries.back().key;
        return false;
    }
    this->list_after_key.clear();
    this->current_entries = std::move(this->pending_entries);
    this->pending_entries.clear();
    this->complete_up_to = this->list_as_of;
    this->needs_list = false;
    this->has_listed = true;
    return true;
}

bool follower::on_changes(support::instant now, const changes& result) {
    this->call_in_flight = false;
    this->last_call_failed = false;
    this->retry_backoff.on_success();
    if (result.history_lost) {
        this->needs_list = true;
        this->list_after_key.clear();
        return false;
    }
    for (const change& each : result.events) {
        if (each.deleted) {
            this->current_entries.erase(each.item.key);
        } else {
            this->current_entries[each.item.key] = each.item;
        }
    }
    if (result.as_of < this->complete_up_to) {
        // The store is behind the local copy, which must not go back to an
        // older revision. Retry after a delay.
        this->next_call_at = now + this->retry_backoff.next();
        return false;
    }
    this->complete_up_to = result.as_of;
    return true;
}

void follower::on_failure(support::instant now) {
    this->call_in_flight = false;
    this->last_call_failed = true;
    // An interrupted watch may have missed changes that the store no longer
    // has.
    this->needs_list = true;
    this->list_after_key.clear();
    this->next_call_at = now + this->retry_backoff.next();
}

bool follower::is_complete() const {
    return this->has_listed;
}

const std::map<std::string, entry>& follower::entries() const {
    return this->current_entries;
}

support::revision follower::as_of() const {
    return this->complete_up_to;
}

const follower_settings& follower::settings() const {
    return this->options;
}

bool follower::is_failing() const {
    return this->last_call_failed;
}

} // namespace guavastair::registry
