#include <guavastair/admission.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

namespace admission = guavastair::admission;
namespace support = guavastair::support;

using admission::claim_verdict;

namespace {

constexpr support::duration lifetime = support::seconds(30);
constexpr support::duration skew = support::seconds(2);
constexpr std::int64_t first_wall_ms = 1'700'000'000'000;

admission::operation_key key_of(const std::string& text) {
    return {{"orders"}, text};
}

admission::at_most_once table_at(support::instant now,
                                 std::int64_t wall_ms = first_wall_ms) {
    return {{}, now, {wall_ms}};
}

// A version 7 UUID made at `wall_ms`.
std::string uuid_v7(std::int64_t wall_ms, unsigned number) {
    const std::string time = absl::StrFormat("%012x", wall_ms);
    return absl::StrFormat("%s-%s-7%03x-8000-%012x", time.substr(0, 8),
                           time.substr(8, 4), number % 4096, number);
}

admission::stored_response response_of(const std::string& body) {
    return {"HTTP/1.1 201 Created\r\n\r\n", body, true};
}

// A minute after the start every key may be new.
constexpr support::instant later{60'000};

// Lets a table live through the time from `from` to `to`.
void live(admission::at_most_once& table, support::instant from,
          support::instant to) {
    for (; from < to; from = from + support::seconds(1)) {
        table.tick(from);
    }
    table.tick(to);
}

admission::at_most_once old_table(admission::at_most_once::settings chosen) {
    admission::at_most_once table(chosen, {}, {first_wall_ms - later.ms});
    live(table, {}, later);
    return table;
}

} // namespace

TEST_CASE("a repeat gets the first outcome") {
    auto table = old_table({});
    const auto key = key_of("a");
    CHECK(table.claim(later, key, {1}, 7) == claim_verdict::run);
    CHECK(table.claim(later, key, {1}, 8) == claim_verdict::wait);
    CHECK(table.claim(later, key, {2}, 9) == claim_verdict::mismatch);
    table.mark_started(later, key);
    table.complete(later, key, response_of("order 1"));
    CHECK(table.take_woken() == std::vector<std::uint64_t>{8});
    CHECK(table.take_woken().empty());
    CHECK(table.claim(later, key, {1}, 8) == claim_verdict::replay);
    REQUIRE(table.find(key) != nullptr);
    CHECK(table.find(key)->body == "order 1");
}

TEST_CASE("what was not run may run, what was lost may not") {
    auto table = old_table({});
    const auto key = key_of("a");
    CHECK(table.claim(later, key, {1}, 1) == claim_verdict::run);
    table.release(later, key);
    CHECK(table.claim(later, key, {1}, 2) == claim_verdict::run);
    table.mark_started(later, key);
    table.mark_outcome_unknown(later, key);
    CHECK(table.claim(later, key, {1}, 3) == claim_verdict::unknown);
}

TEST_CASE("after a restart keys from before are unknown") {
    auto table = table_at(later);
    CHECK(table.claim(later, key_of("a"), {1}, 1) == claim_verdict::unknown);
    const auto old = key_of(uuid_v7(first_wall_ms - 1000, 1));
    CHECK(table.claim(later, old, {1}, 1) == claim_verdict::unknown);
    // Made after the start, but by a clock that may be ahead.
    const auto ahead = key_of(uuid_v7(first_wall_ms + skew.ms - 1, 3));
    CHECK(table.claim(later + support::seconds(3), ahead, {1}, 1) ==
          claim_verdict::unknown);
    const auto fresh = key_of(uuid_v7(first_wall_ms + skew.ms + 1000, 2));
    CHECK(table.claim(later + support::seconds(3), fresh, {1}, 1) ==
          claim_verdict::run);
    live(table, later + support::seconds(4), later + lifetime);
    CHECK(table.claim(later + lifetime, key_of("a"), {1}, 1) ==
          claim_verdict::unknown);
    const support::instant settled = later + lifetime + support::seconds(4);
    live(table, later + lifetime + support::seconds(1), settled);
    CHECK(table.claim(settled, key_of("a"), {1}, 1) == claim_verdict::run);
}

TEST_CASE("a key from the future counts as one without a time") {
    auto table = table_at(later);
    const auto key = key_of(uuid_v7(first_wall_ms + 3'600'000, 1));
    CHECK(table.claim(later, key, {1}, 1) == claim_verdict::unknown);
}

TEST_CASE("the table is bounded in entries, bytes and age") {
    admission::at_most_once::settings settings;
    settings.max_entries = 100;
    settings.max_bytes = 60'000;
    settings.max_response_bytes = 1000;
    auto table = old_table(settings);
    const std::string body(900, 'x');
    for (int i = 0; i < 100; ++i) {
        const auto key = key_of(absl::StrCat("k", i));
        REQUIRE(table.claim(later, key, {1}, 1) == claim_verdict::run);
        table.mark_started(later, key);
        table.complete(later, key, response_of(body));
        CHECK(table.bytes() <= settings.max_bytes);
    }
    CHECK(table.entries() == 100);
    CHECK(table.claim(later, key_of("more"), {1}, 1) == claim_verdict::full);
    // The oldest lost their bodies, not their outcome.
    CHECK(table.claim(later, key_of("k0"), {1}, 1) == claim_verdict::replay);
    CHECK_FALSE(table.find(key_of("k0"))->body_stored);
    CHECK(table.find(key_of("k99"))->body_stored);
    const support::instant expired =
        later + lifetime + skew * 2 + support::seconds(1);
    // A pause makes nobody forget.
    CHECK(table.claim(expired, key_of("more"), {1}, 1) == claim_verdict::full);
    live(table, expired, expired + (expired - later));
    const support::instant after = expired + (expired - later);
    CHECK(table.claim(after, key_of("more"), {1}, 1) == claim_verdict::run);
    CHECK(table.entries() == 1);
    table.release(after, key_of("more"));
    CHECK(table.bytes() == 0);
}

TEST_CASE("a response beyond the bound is done without its body") {
    admission::at_most_once::settings settings;
    settings.max_response_bytes = 100;
    auto table = old_table(settings);
    const auto key = key_of("a");
    table.claim(later, key, {1}, 1);
    table.mark_started(later, key);
    table.complete(later, key, response_of(std::string(200, 'x')));
    CHECK(table.claim(later, key, {1}, 2) == claim_verdict::replay);
    CHECK_FALSE(table.find(key)->body_stored);
    CHECK(table.find(key)->body.empty());
}

namespace {

// What happens to requests, with one global record of what the server ran.
struct schedule {
    std::mt19937_64 random;
    support::instant now = later;
    std::int64_t wall_ms = first_wall_ms;
    admission::at_most_once table = old_table({});
    // Requests on their way, late or duplicated: when they arrive, and which.
    std::multimap<std::int64_t, std::string> arriving;
    // Offered operations and when their answer is due; no answer if lost.
    std::multimap<std::int64_t, std::string> answering;
    std::map<std::string, int> runs;
    std::set<std::string> finished;
    unsigned made = 0;

    int below(int bound) {
        return static_cast<int>(this->random() %
                                static_cast<std::uint64_t>(bound));
    }

    void advance(std::int64_t ms) {
        this->now = this->now + support::milliseconds(ms);
        this->wall_ms += ms;
    }

    void make_operation() {
        ++this->made;
        const bool timed = this->below(2) == 0;
        // The callers' clocks are off by up to the skew.
        const std::int64_t clock = this->wall_ms - skew.ms +
                                   this->below(static_cast<int>(2 * skew.ms));
        const std::string key = timed ? uuid_v7(clock, this->made)
                                      : absl::StrCat("order-", this->made);
        const int copies = 1 + this->below(4);
        for (int i = 0; i < copies; ++i) {
            const int delay = this->below(static_cast<int>(lifetime.ms));
            // Timed keys need no promise of callers.
            const int more = timed && this->below(4) == 0 ? 40'000 : 0;
            this->arriving.emplace(this->now.ms + delay + more, key);
        }
    }

    void arrive(const std::string& key) {
        const auto verdict = this->table.claim(this->now, key_of(key), {1}, 1);
        if (verdict == claim_verdict::replay) {
            RC_ASSERT(this->table.find(key_of(key))->body == key);
            RC_ASSERT(this->runs[key] == 1);
        }
        if (verdict != claim_verdict::run) {
            return;
        }
        if (this->below(4) == 0) {
            this->table.release(this->now, key_of(key));
            return;
        }
        this->table.mark_started(this->now, key_of(key));
        ++this->runs[key];
        RC_ASSERT(this->runs[key] == 1);
        this->answering.emplace(this->now.ms + this->below(5000), key);
    }

    void answer(const std::string& key) {
        if (this->below(5) == 0) {
            this->table.mark_outcome_unknown(this->now, key_of(key));
            return;
        }
        this->table.complete(this->now, key_of(key), response_of(key));
    }

    void restart() {
        this->answering.clear();
        this->table = admission::at_most_once({}, this->now, {this->wall_ms});
    }

    void deliver() {
        while (!this->arriving.empty() &&
               this->arriving.begin()->first <= this->now.ms) {
            const std::string key = this->arriving.begin()->second;
            this->arriving.erase(this->arriving.begin());
            this->arrive(key);
        }
        while (!this->answering.empty() &&
               this->answering.begin()->first <= this->now.ms) {
            const std::string key = this->answering.begin()->second;
            this->answering.erase(this->answering.begin());
            this->answer(key);
        }
    }

    void step() {
        const int what = this->below(100);
        if (what < 40) {
            this->make_operation();
        } else if (what < 42) {
            this->restart();
        } else if (what < 44) {
            this->advance(this->below(60'000)); // a pause
        } else {
            this->advance(this->below(1000));
        }
        this->table.tick(this->now);
        this->deliver();
    }
};

} // namespace

TEST_CASE("nothing runs twice under loss, delay, duplicates, restarts and "
          "pauses") {
    const bool held = rc::check([]() {
        schedule s;
        s.random.seed(*rc::gen::arbitrary<std::uint64_t>());
        for (int i = 0; i < 400; ++i) {
            s.step();
        }
        RC_ASSERT(s.made > 0);
    });
    CHECK(held);
}

TEST_CASE("creation times come from version 7 UUIDs only") {
    const auto made = admission::creation_time(uuid_v7(first_wall_ms, 5));
    REQUIRE(made.has_value());
    CHECK(made->ms == first_wall_ms);
    for (const char* other :
         {"", "order-1", "018bcfe5-6800-4000-8000-000000000005",
          "018bcfe5-6800-7000-0000-000000000005",
          "018bcfe5x6800-7000-8000-000000000005",
          "018bcfe5-6800-7000-8000-00000000000g"}) {
        CHECK_FALSE(admission::creation_time(other).has_value());
    }
}

TEST_CASE("a key's home moves only when its home leaves") {
    std::vector<support::member_id> members;
    for (std::uint64_t i = 1; i <= 7; ++i) {
        members.push_back({i * 1'000'003});
    }
    std::map<std::uint64_t, int> shares;
    for (int i = 0; i < 7000; ++i) {
        const auto key = key_of(absl::StrCat("k", i));
        const auto home = admission::home_agent_of(key, members);
        ++shares[home->value];
        auto fewer = members;
        std::erase(fewer, members[3]);
        if (*home != members[3]) {
            CHECK(admission::home_agent_of(key, fewer) == home);
        }
    }
    for (const auto& [member, share] : shares) {
        CHECK(share > 800);
        CHECK(share < 1200);
    }
    CHECK_FALSE(admission::home_agent_of(key_of("k"), {}).has_value());
}

TEST_CASE("only one agent at a time is the settled home of a key") {
    // Each agent learns of a change at its own time, within `differ`.
    constexpr support::duration differ = support::seconds(5);
    constexpr support::duration hold = lifetime + differ;
    const bool held = rc::check([=]() {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        std::map<std::uint64_t, admission::key_homes> agents;
        for (std::uint64_t i = 1; i <= 5; ++i) {
            agents.emplace(i, admission::key_homes({i}, hold));
        }
        const auto key = key_of("order");
        support::instant now;
        struct change {
            std::int64_t at;
            std::uint64_t agent;
            std::vector<support::member_id> members;
        };
        std::vector<change> changes;
        for (int i = 0; i < 30; ++i) {
            std::vector<support::member_id> members;
            for (std::uint64_t m = 1; m <= 5; ++m) {
                if (random() % 3 != 0) {
                    members.push_back({m});
                }
            }
            // No two changes are under way at once.
            const std::int64_t start = std::int64_t{20'000} * i;
            for (const auto& [agent, homes] : agents) {
                const auto late = static_cast<std::int64_t>(
                    random() % static_cast<std::uint64_t>(differ.ms));
                changes.push_back({start + late, agent, members});
            }
        }
        std::sort(changes.begin(), changes.end(),
                  [](const change& a, const change& b) { return a.at < b.at; });
        std::size_t next = 0;
        // The last time that each agent would have run the key.
        std::map<std::uint64_t, std::int64_t> last_run;
        for (; now.ms < 700'000; now = now + support::milliseconds(100)) {
            for (; next < changes.size() && changes[next].at <= now.ms;
                 ++next) {
                agents.at(changes[next].agent)
                    .view_changed({changes[next].at}, changes[next].members);
            }
            for (const auto& [agent, homes] : agents) {
                if (!homes.settled_home(now, key)) {
                    continue;
                }
                for (const auto& [other, when] : last_run) {
                    RC_ASSERT(other == agent || now.ms - when > lifetime.ms);
                }
                last_run[agent] = now.ms;
            }
        }
    });
    CHECK(held);
}
