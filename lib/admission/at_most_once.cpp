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

enum class progress : std::uint8_t { claimed, offered, done, lost };

struct operation {
    fingerprint content;
    progress stage = progress::claimed;
    // On the table's own time, see state::up.
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
    claim_verdict claim_known(operation& known, fingerprint content,
                              std::uint64_t owner);
    void pass_time(support::instant now);
    bool could_have_run(support::instant now, absl::string_view key) const;
    support::duration retention() const;
    void forget_expired();
    void drop_bodies(std::size_t wanted);
    bool add(const operation_key& key, fingerprint content);
    void settle(operation& known, progress stage);
    void wake(operation& known);
    void erase(operation_table::iterator at);
    operation* find_open(const operation_key& key);

    settings limits;
    support::instant start;
    wall_time start_wall;
    support::instant latest;
    // Time since the start, less the pauses.
    support::duration up;
    operation_table table;
    // Keys by the time of their latest settlement, and keys whose response is
    // kept, oldest first. May name keys that are gone.
    std::deque<std::pair<support::duration, operation_key>> expiry;
    std::deque<operation_key> kept;
    std::vector<std::uint64_t> woken;
    std::size_t bytes = 0;
};

claim_verdict at_most_once::state::claim_known(operation& known,
                                               fingerprint content,
                                               std::uint64_t owner) {
    if (known.content != content) {
        return claim_verdict::mismatch;
    }
    switch (known.stage) {
    case progress::claimed:
    case progress::offered:
        known.waiters.push_back(owner);
        return claim_verdict::wait;
    case progress::done:
        return claim_verdict::replay;
    case progress::lost:
        return claim_verdict::unknown;
    }
    return claim_verdict::unknown;
}

// Whether a key that is not in the table may have been run before this agent
// started, or so long ago that it was forgotten.
bool at_most_once::state::could_have_run(support::instant now,
                                         absl::string_view key) const {
    const std::int64_t skew = this->limits.clock_skew.ms;
    const std::int64_t wall_now = this->start_wall.ms + (now - this->start).ms;
    const auto made = creation_time(key);
    if (!made.has_value() || made->ms > wall_now + skew) {
        return this->up < this->limits.key_lifetime + this->limits.longest_step;
    }
    const bool before_start = made->ms < this->start_wall.ms + skew;
    const bool forgotten =
        made->ms + this->limits.key_lifetime.ms + skew < wall_now;
    return before_start || forgotten;
}

void at_most_once::state::pass_time(support::instant now) {
    const support::duration gap = now - this->latest;
    assert(gap.ms >= 0 && "time goes back");
    this->up = this->up + std::min(gap, this->limits.longest_step);
    this->latest = now;
}

// A key may be first seen as early as its creation less the clocks' skew, and
// counts as forgotten only once it is older than its lifetime and the skew.
support::duration at_most_once::state::retention() const {
    return this->limits.key_lifetime + this->limits.clock_skew * 2 +
           this->limits.longest_step;
}

void at_most_once::state::erase(operation_table::iterator at) {
    this->bytes -= key_bytes(at->first);
    this->bytes -= response_bytes(at->second.response);
    this->table.erase(at);
}

void at_most_once::state::forget_expired() {
    while (!this->expiry.empty() && this->expiry.front().first <= this->up) {
        const auto at = this->table.find(this->expiry.front().second);
        this->expiry.pop_front();
        if (at == this->table.end()) {
            continue;
        }
        const bool open = at->second.stage == progress::claimed ||
                          at->second.stage == progress::offered;
        if (!open && at->second.expires <= this->up) {
            this->erase(at);
        }
    }
}

// Forgetting an operation could run it twice; forgetting its answer cannot.
void at_most_once::state::drop_bodies(std::size_t wanted) {
    while (!this->kept.empty() &&
           this->bytes + wanted > this->limits.max_bytes) {
        const auto at = this->table.find(this->kept.front());
        this->kept.pop_front();
        if (at == this->table.end()) {
            continue;
        }
        stored_response& response = at->second.response;
        this->bytes -= response.body.size();
        response.body_stored = response.body_stored && response.body.empty();
        response.body.clear();
        response.body.shrink_to_fit();
    }
}

bool at_most_once::state::add(const operation_key& key, fingerprint content) {
    this->forget_expired();
    const std::size_t size = key_bytes(key);
    this->drop_bodies(size);
    const bool fits = this->table.size() < this->limits.max_entries &&
                      this->bytes + size <= this->limits.max_bytes;
    if (!fits) {
        return false;
    }
    operation fresh;
    fresh.content = content;
    this->table.emplace(key, std::move(fresh));
    this->bytes += size;
    return true;
}

operation* at_most_once::state::find_open(const operation_key& key) {
    const auto at = this->table.find(key);
    if (at == this->table.end()) {
        return nullptr;
    }
    const bool open = at->second.stage == progress::claimed ||
                      at->second.stage == progress::offered;
    return open ? &at->second : nullptr;
}

void at_most_once::state::wake(operation& known) {
    this->woken.insert(this->woken.end(), known.waiters.begin(),
                       known.waiters.end());
    known.waiters.clear();
    known.waiters.shrink_to_fit();
}

void at_most_once::state::settle(operation& known, progress stage) {
    known.stage = stage;
    known.expires = this->up + this->retention();
    this->wake(known);
}

at_most_once::at_most_once(settings chosen, support::instant now,
                           wall_time wall)
    : self(std::make_unique<state>()) {
    this->self->limits = chosen;
    this->self->start = now;
    this->self->start_wall = wall;
    this->self->latest = now;
}
at_most_once::~at_most_once() = default;
at_most_once::at_most_once(at_most_once&&) noexcept = default;
at_most_once& at_most_once::operator=(at_most_once&&) noexcept = default;

void at_most_once::tick(support::instant now) {
    this->self->pass_time(now);
    this->self->forget_expired();
}

claim_verdict at_most_once::claim(support::instant now,
                                  const operation_key& key, fingerprint content,
                                  std::uint64_t owner) {
    state& s = *this->self;
    s.pass_time(now);
    const auto at = s.table.find(key);
    if (at != s.table.end()) {
        return s.claim_known(at->second, content, owner);
    }
    if (s.could_have_run(now, key.key)) {
        return claim_verdict::unknown;
    }
    return s.add(key, content) ? claim_verdict::run : claim_verdict::full;
}

void at_most_once::mark_started(support::instant /*now*/,
                                const operation_key& key) {
    operation* const known = this->self->find_open(key);
    if (known != nullptr) {
        known->stage = progress::offered;
    }
}

void at_most_once::release(support::instant /*now*/, const operation_key& key) {
    state& s = *this->self;
    operation* const known = s.find_open(key);
    if (known == nullptr) {
        return;
    }
    s.wake(*known);
    s.erase(s.table.find(key));
}

void at_most_once::complete(support::instant now, const operation_key& key,
                            stored_response response) {
    state& s = *this->self;
    s.pass_time(now);
    operation* const known = s.find_open(key);
    if (known == nullptr) {
        return;
    }
    if (response_bytes(response) > s.limits.max_response_bytes) {
        response.body.clear();
        response.body_stored = false;
    }
    s.drop_bodies(response_bytes(response));
    known->response = std::move(response);
    s.bytes += response_bytes(known->response);
    s.settle(*known, progress::done);
    s.kept.push_back(key);
    s.expiry.emplace_back(known->expires, key);
}

void at_most_once::mark_outcome_unknown(support::instant now,
                                        const operation_key& key) {
    state& s = *this->self;
    s.pass_time(now);
    operation* const known = s.find_open(key);
    if (known == nullptr) {
        return;
    }
    s.settle(*known, progress::lost);
    s.expiry.emplace_back(known->expires, key);
}

void at_most_once::stop_waiting(const operation_key& key, std::uint64_t owner) {
    state& s = *this->self;
    const auto at = s.table.find(key);
    if (at != s.table.end()) {
        std::erase(at->second.waiters, owner);
    }
    std::erase(s.woken, owner);
}

const stored_response* at_most_once::find(const operation_key& key) const {
    const auto at = this->self->table.find(key);
    if (at == this->self->table.end()) {
        return nullptr;
    }
    const bool done = at->second.stage == progress::done;
    return done ? &at->second.response : nullptr;
}

std::vector<std::uint64_t> at_most_once::take_woken() {
    return std::exchange(this->self->woken, {});
}

std::size_t at_most_once::entries() const {
    return this->self->table.size();
}

std::size_t at_most_once::bytes() const {
    return this->self->bytes;
}

} // namespace guavastair::admission
