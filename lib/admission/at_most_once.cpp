#include <guavastair/admission.hpp>

#include <absl/container/node_hash_map.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <deque>
#include <utility>

namespace guavastair::admission {

namespace {

constexpr std::array<absl::string_view, 6> verdict_names{
    "run", "replay", "wait", "unknown", "mismatch", "full"};

enum class operation_stage : std::uint8_t {
    claimed,
    started,
    completed,
    outcome_unknown
};

struct operation {
    fingerprint content;
    operation_stage stage = operation_stage::claimed;
    // On the clock of state::active_time.
    support::duration expires;
    stored_response response;
    std::vector<std::uint64_t> waiters;
};

using operation_table = absl::node_hash_map<operation_key, operation>;

std::size_t key_bytes(const operation_key& key) {
    return sizeof(operation_table::value_type) + key.service.value.size() +
           key.key.size();
}

std::size_t response_bytes(const stored_response& response) {
    return response.head.size() + response.body.size();
}

} // namespace

absl::string_view to_string(claim_verdict verdict) {
    return verdict_names[static_cast<std::size_t>(verdict)];
}

struct at_most_once::state {
    claim_verdict claim_existing(operation& entry, fingerprint content,
                                 std::uint64_t owner);
    void advance_clock(support::instant now);
    bool may_have_run(support::instant now, absl::string_view key) const;
    support::duration retention() const;
    void evict_expired();
    void evict_bodies(std::size_t needed_bytes);
    bool add(const operation_key& key, fingerprint content);
    void finalize(operation& entry, operation_stage stage);
    void wake_waiters(operation& entry);
    void erase(operation_table::iterator it);
    operation* find_in_progress(const operation_key& key);

    settings options;
    support::instant start_time;
    wall_time start_wall_time;
    support::instant last_call;
    // Time since the start, less the pauses of this process.
    support::duration active_time;
    operation_table table;
    // Ended operations by expiry time, and completed operations with a stored
    // response, both oldest first. Either queue may contain keys that are no
    // longer in the table.
    std::deque<std::pair<support::duration, operation_key>> expiry_queue;
    std::deque<operation_key> body_eviction_queue;
    std::vector<std::uint64_t> woken;
    std::size_t bytes = 0;
};

claim_verdict at_most_once::state::claim_existing(operation& entry,
                                                  fingerprint content,
                                                  std::uint64_t owner) {
    if (entry.content != content) {
        return claim_verdict::mismatch;
    }
    switch (entry.stage) {
    case operation_stage::claimed:
    case operation_stage::started:
        entry.waiters.push_back(owner);
        return claim_verdict::wait;
    case operation_stage::completed:
        return claim_verdict::replay;
    case operation_stage::outcome_unknown:
        return claim_verdict::unknown;
    }
    return claim_verdict::unknown;
}

// True if the operation of a key that is not in the table may have run, either
// before this agent started or so long ago that its entry was evicted.
bool at_most_once::state::may_have_run(support::instant now,
                                       absl::string_view key) const {
    const std::int64_t skew = this->options.clock_skew.ms;
    const std::int64_t wall_now =
        this->start_wall_time.ms + (now - this->start_time).ms;
    const auto created_at = creation_time(key);
    if (!created_at.has_value() || created_at->ms > wall_now + skew) {
        return this->active_time <
               this->options.key_lifetime + this->options.max_clock_step;
    }
    const bool is_before_start =
        created_at->ms < this->start_wall_time.ms + skew;
    const bool is_expired =
        created_at->ms + this->options.key_lifetime.ms + skew < wall_now;
    return is_before_start || is_expired;
}

void at_most_once::state::advance_clock(support::instant now) {
    const support::duration elapsed = now - this->last_call;
    assert(elapsed.ms >= 0 && "`now` is before the previous call");
    this->active_time =
        this->active_time + std::min(elapsed, this->options.max_clock_step);
    this->last_call = now;
}

// A caller whose clock is ahead sends a key up to clock_skew before the key's
// creation time. may_have_run() treats the key as evicted only when it is older
// than its lifetime plus clock_skew. The entry must outlast both, hence twice
// the skew.
support::duration at_most_once::state::retention() const {
    return this->options.key_lifetime + this->options.clock_skew * 2 +
           this->options.max_clock_step;
}

void at_most_once::state::erase(operation_table::iterator it) {
    this->bytes -= key_bytes(it->first);
    this->bytes -= response_bytes(it->second.response);
    this->table.erase(it);
}

void at_most_once::state::evict_expired() {
    while (!this->expiry_queue.empty() &&
           this->expiry_queue.front().first <= this->active_time) {
        const auto it = this->table.find(this->expiry_queue.front().second);
        this->expiry_queue.pop_front();
        if (it == this->table.end()) {
            continue;
        }
        const bool is_in_progress =
            it->second.stage == operation_stage::claimed ||
            it->second.stage == operation_stage::started;
        if (!is_in_progress && it->second.expires <= this->active_time) {
            this->erase(it);
        }
    }
}

// Evicts response bodies only. Without its entry an operation could run twice.
void at_most_once::state::evict_bodies(std::size_t needed_bytes) {
    while (!this->body_eviction_queue.empty() &&
           this->bytes + needed_bytes > this->options.max_bytes) {
        const auto it = this->table.find(this->body_eviction_queue.front());
        this->body_eviction_queue.pop_front();
        if (it == this->table.end()) {
            continue;
        }
        stored_response& response = it->second.response;
        this->bytes -= response.body.size();
        response.body_stored = response.body_stored && response.body.empty();
        response.body.clear();
        response.body.shrink_to_fit();
    }
}

bool at_most_once::state::add(const operation_key& key, fingerprint content) {
    this->evict_expired();
    const std::size_t size = key_bytes(key);
    this->evict_bodies(size);
    const bool has_room = this->table.size() < this->options.max_entries &&
                          this->bytes + size <= this->options.max_bytes;
    if (!has_room) {
        return false;
    }
    operation new_operation;
    new_operation.content = content;
    this->table.emplace(key, std::move(new_operation));
    this->bytes += size;
    return true;
}

operation* at_most_once::state::find_in_progress(const operation_key& key) {
    const auto it = this->table.find(key);
    if (it == this->table.end()) {
        return nullptr;
    }
    const bool is_in_progress = it->second.stage == operation_stage::claimed ||
                                it->second.stage == operation_stage::started;
    return is_in_progress ? &it->second : nullptr;
}

void at_most_once::state::wake_waiters(operation& entry) {
    this->woken.insert(this->woken.end(), entry.waiters.begin(),
                       entry.waiters.end());
    entry.waiters.clear();
    entry.waiters.shrink_to_fit();
}

void at_most_once::state::finalize(operation& entry, operation_stage stage) {
    entry.stage = stage;
    entry.expires = this->active_time + this->retention();
    this->wake_waiters(entry);
}

at_most_once::at_most_once(settings options, support::instant now,
                           wall_time wall)
    : self(std::make_unique<state>()) {
    this->self->options = options;
    this->self->start_time = now;
    this->self->start_wall_time = wall;
    this->self->last_call = now;
}
at_most_once::~at_most_once() = default;
at_most_once::at_most_once(at_most_once&&) noexcept = default;
at_most_once& at_most_once::operator=(at_most_once&&) noexcept = default;

void at_most_once::tick(support::instant now) {
    this->self->advance_clock(now);
    this->self->evict_expired();
}

claim_verdict at_most_once::claim(support::instant now,
                                  const operation_key& key, fingerprint content,
                                  std::uint64_t owner) {
    state& s = *this->self;
    s.advance_clock(now);
    const auto it = s.table.find(key);
    if (it != s.table.end()) {
        return s.claim_existing(it->second, content, owner);
    }
    if (s.may_have_run(now, key.key)) {
        return claim_verdict::unknown;
    }
    return s.add(key, content) ? claim_verdict::run : claim_verdict::full;
}

void at_most_once::mark_started(support::instant /*now*/,
                                const operation_key& key) {
    operation* const entry = this->self->find_in_progress(key);
    if (entry != nullptr) {
        entry->stage = operation_stage::started;
    }
}

void at_most_once::release(support::instant /*now*/, const operation_key& key) {
    state& s = *this->self;
    operation* const entry = s.find_in_progress(key);
    if (entry == nullptr) {
        return;
    }
    s.wake_waiters(*entry);
    s.erase(s.table.find(key));
}

void at_most_once::complete(support::instant now, const operation_key& key,
                            stored_response response) {
    state& s = *this->self;
    s.advance_clock(now);
    operation* const entry = s.find_in_progress(key);
    if (entry == nullptr) {
        return;
    }
    if (response_bytes(response) > s.options.max_response_bytes) {
        response.body.clear();
        response.body_stored = false;
    }
    s.evict_bodies(response_bytes(response));
    entry->response = std::move(response);
    s.bytes += response_bytes(entry->response);
    s.finalize(*entry, operation_stage::completed);
    s.body_eviction_queue.push_back(key);
    s.expiry_queue.emplace_back(entry->expires, key);
}

void at_most_once::mark_outcome_unknown(support::instant now,
                                        const operation_key& key) {
    state& s = *this->self;
    s.advance_clock(now);
    operation* const entry = s.find_in_progress(key);
    if (entry == nullptr) {
        return;
    }
    s.finalize(*entry, operation_stage::outcome_unknown);
    s.expiry_queue.emplace_back(entry->expires, key);
}

void at_most_once::stop_waiting(const operation_key& key, std::uint64_t owner) {
    state& s = *this->self;
    const auto it = s.table.find(key);
    if (it != s.table.end()) {
        std::erase(it->second.waiters, owner);
    }
    std::erase(s.woken, owner);
}

const stored_response* at_most_once::find(const operation_key& key) const {
    const auto it = this->self->table.find(key);
    if (it == this->self->table.end()) {
        return nullptr;
    }
    const bool completed = it->second.stage == operation_stage::completed;
    return completed ? &it->second.response : nullptr;
}

std::vector<std::uint64_t> at_most_once::take_woken_owners() {
    return std::exchange(this->self->woken, {});
}

std::size_t at_most_once::entries() const {
    return this->self->table.size();
}

std::size_t at_most_once::bytes() const {
    return this->self->bytes;
}

} // namespace guavastair::admission
