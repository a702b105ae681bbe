#include <guavastair/registry.hpp>

namespace guavastair::registry {

follower::follower(follower_settings wanted, std::uint64_t seed)
    : chosen(std::move(wanted)),
      pause(this->chosen.shortest_pause, this->chosen.longest_pause, seed),
      random(static_cast<std::minstd_rand::result_type>(seed)) {}

std::optional<follower_call> follower::next_call(support::instant now) {
    if (this->under_way || now < this->not_before) {
        return std::nullopt;
    }
    this->under_way = true;
    if (this->must_list) {
        return list_call{this->list_after};
    }
    std::uniform_int_distribution<std::int64_t> choose(
        this->chosen.watch_time.ms / 2, this->chosen.watch_time.ms);
    return watch_call{this->complete_up_to, {choose(this->random)}};
}

support::instant follower::wake_at() const {
    return this->not_before;
}

bool follower::on_page(const page& got) {
    this->under_way = false;
    this->failing = false;
    this->pause.succeed();
    if (this->list_after.empty()) {
        this->listing.clear();
        // Later pages may hold later changes; the watch brings them again.
        this->list_as_of = got.as_of;
    }
    for (const entry& each : got.entries) {
        this->listing[each.key] = each;
    }
    if (got.has_more && !got.entries.empty()) {
        this->list_after = got.entries.back().key;
        return false;
    }
    this->list_after.clear();
    this->held = std::move(this->listing);
    this->listing.clear();
    this->complete_up_to = this->list_as_of;
    this->must_list = false;
    this->complete = true;
    return true;
}

bool follower::on_changes(support::instant now, const changes& got) {
    this->under_way = false;
    this->failing = false;
    this->pause.succeed();
    if (got.history_lost) {
        this->must_list = true;
        this->list_after.clear();
        return false;
    }
    for (const change& each : got.events) {
        if (each.deleted) {
            this->held.erase(each.what.key);
        } else {
            this->held[each.what.key] = each.what;
        }
    }
    if (got.as_of < this->complete_up_to) {
        // Never go back: ask again a little later.
        this->not_before = now + this->pause.next();
        return false;
    }
    this->complete_up_to = got.as_of;
    return true;
}

void follower::on_failure(support::instant now) {
    this->under_way = false;
    this->failing = true;
    // A watch that was cut may have missed changes that the store has
    // forgotten since.
    this->must_list = true;
    this->list_after.clear();
    this->not_before = now + this->pause.next();
}

bool follower::is_complete() const {
    return this->complete;
}

const std::map<std::string, entry>& follower::entries() const {
    return this->held;
}

support::revision follower::as_of() const {
    return this->complete_up_to;
}

const follower_settings& follower::settings() const {
    return this->chosen;
}

bool follower::is_failing() const {
    return this->failing;
}

} // namespace guavastair::registry
