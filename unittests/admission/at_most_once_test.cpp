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

constexpr support::duration key_lifetime = support::seconds(30);
constexpr support::duration clock_skew = support::seconds(2);
constexpr std::int64_t first_wall_ms = 1'700'000'000'000;

admission::operation_key key_of(const std::string& text) {
    return {{"orders"}, text};
}

admission::at_most_once restarted_table(support::instant now,
                                        std::int64_t wall_ms = first_wall_ms) {
    return {{}, now, {wall_ms}};
}

// A version 7 UUID with the creation time `wall_ms`.
std::string uuid_v7(std::int64_t wall_ms, unsigned number) {
    const std::string time = absl::StrFormat("%012x", wall_ms);
    return absl::StrFormat("%s-%s-7%03x-8000-%012x", time.substr(0, 8),
                           time.substr(8, 4), number % 4096, number);
}

admission::stored_response response_of(const std::string& body) {
    return {"HTTP/1.1 201 Created\r\n\r\n", body, true};
}

// One minute after the start of the table: longer than the key lifetime, so
// that keys without a creation time are accepted.
constexpr support::instant test_start{60'000};

// Ticks once a second from `from` to `to`.
void tick_through(admission::at_most_once& table, support::instant from,
                  support::instant to) {
    for (; from < to; from = from + support::seconds(1)) {
        table.tick(from);
    }
    table.tick(to);
}

admission::at_most_once
established_table(admission::at_most_once::settings settings) {
    admission::at_most_once table(settings, {},
                                  {first_wall_ms - test_start.ms});
    tick_through(table, {}, test_start);
    return table;
}

} // namespace

TEST_CASE("repeated request: replays the first response") {
    auto table = established_table({});
    const auto key = key_of("a");
    CHECK(table.claim(test_start, key, {1}, 7) == claim_verdict::run);
    CHECK(table.claim(test_start, key, {1}, 8) == claim_verdict::wait);
    CHECK(table.claim(test_start, key, {2}, 9) == claim_verdict::mismatch);
    table.mark_started(test_start, key);
    table.complete(test_start, key, response_of("order 1"));
    CHECK(table.take_woken_owners() == std::vector<std::uint64_t>{8});
    CHECK(table.take_woken_owners().empty());
    CHECK(table.claim(test_start, key, {1}, 8) == claim_verdict::replay);
    REQUIRE(table.find(key) != nullptr);
    CHECK(table.find(key)->body == "order 1");
}

TEST_CASE("a released key can be claimed again, a key of unknown outcome "
          "cannot") {
    auto table = established_table({});
    const auto key = key_of("a");
    CHECK(table.claim(test_start, key, {1}, 1) == claim_verdict::run);
    table.release(test_start, key);
    CHECK(table.claim(test_start, key, {1}, 2) == claim_verdict::run);
    table.mark_started(test_start, key);
    table.mark_outcome_unknown(test_start, key);
    CHECK(table.claim(test_start, key, {1}, 3) == claim_verdict::unknown);
}

TEST_CASE("restart: keys from before the start are of unknown outcome") {
    auto table = restarted_table(test_start);
    CHECK(table.claim(test_start, key_of("a"), {1}, 1) ==
          claim_verdict::unknown);
    const auto old = key_of(uuid_v7(first_wall_ms - 1000, 1));
    CHECK(table.claim(test_start, old, {1}, 1) == claim_verdict::unknown);
    // The creation time is after the start, but the caller's clock may be ahead
    // by up to the skew.
    const auto ahead = key_of(uuid_v7(first_wall_ms + clock_skew.ms - 1, 3));
    CHECK(table.claim(test_start + support::seconds(3), ahead, {1}, 1) ==
          claim_verdict::unknown);
    const auto fresh = key_of(uuid_v7(first_wall_ms + clock_skew.ms + 1000, 2));
    CHECK(table.claim(test_start + support::seconds(3), fresh, {1}, 1) ==
          claim_verdict::run);
    tick_through(table, test_start + support::seconds(4),
                 test_start + key_lifetime);
    CHECK(table.claim(test_start + key_lifetime, key_of("a"), {1}, 1) ==
          claim_verdict::unknown);
    const support::instant accepted_at =
        test_start + key_lifetime + support::seconds(4);
    tick_through(table, test_start + key_lifetime + support::seconds(1),
                 accepted_at);
    CHECK(table.claim(accepted_at, key_of("a"), {1}, 1) == claim_verdict::run);
}

TEST_CASE("a creation time in the future is ignored") {
    auto table = restarted_table(test_start);
    const auto key = key_of(uuid_v7(first_wall_ms + 3'600'000, 1));
    CHECK(table.claim(test_start, key, {1}, 1) == claim_verdict::unknown);
}

TEST_CASE("the table limits entries, bytes and age") {
    admission::at_most_once::settings settings;
    settings.max_entries = 100;
    settings.max_bytes = 60'000;
    settings.max_response_bytes = 1000;
    auto table = established_table(settings);
    const std::string body(900, 'x');
    for (int i = 0; i < 100; ++i) {
        const auto key = key_of(absl::StrCat("k", i));
        REQUIRE(table.claim(test_start, key, {1}, 1) == claim_verdict::run);
        table.mark_started(test_start, key);
        table.complete(test_start, key, response_of(body));
        CHECK(table.bytes() <= settings.max_bytes);
    }
    CHECK(table.entries() == 100);
    CHECK(table.claim(test_start, key_of("more"), {1}, 1) ==
          claim_verdict::full);
    // The bodies of the oldest entries are evicted, their outcomes are not.
    CHECK(table.claim(test_start, key_of("k0"), {1}, 1) ==
          claim_verdict::replay);
    CHECK_FALSE(table.find(key_of("k0"))->body_stored);
    CHECK(table.find(key_of("k99"))->body_stored);
    const support::instant expired =
        test_start + key_lifetime + clock_skew * 2 + support::seconds(1);
    // A pause does not expire any entry.
    CHECK(table.claim(expired, key_of("more"), {1}, 1) == claim_verdict::full);
    tick_through(table, expired, expired + (expired - test_start));
    const support::instant after = expired + (expired - test_start);
    CHECK(table.claim(after, key_of("more"), {1}, 1) == claim_verdict::run);
    CHECK(table.entries() == 1);
    table.release(after, key_of("more"));
    CHECK(table.bytes() == 0);
}

TEST_CASE("a response above max_response_bytes is stored without its body") {
    admission::at_most_once::settings settings;
    settings.max_response_bytes = 100;
    auto table = established_table(settings);
    const auto key = key_of("a");
    table.claim(test_start, key, {1}, 1);
    table.mark_started(test_start, key);
    table.complete(test_start, key, response_of(std::string(200, 'x')));
    CHECK(table.claim(test_start, key, {1}, 2) == claim_verdict::replay);
    CHECK_FALSE(table.find(key)->body_stored);
    CHECK(table.find(key)->body.empty());
}

namespace {

// A random schedule of requests, responses, restarts and pauses, with a count
// of the runs of each operation that survives restarts of the agent.
struct operation_schedule {
    std::mt19937_64 random;
    support::instant now = test_start;
    std::int64_t wall_ms = first_wall_ms;
    admission::at_most_once table = established_table({});
    // Requests in flight, possibly delayed or duplicated: arrival time in ms
    // and key.
    std::multimap<std::int64_t, std::string> pending_requests;
    // Operations in progress: time in ms at which the response is due, and key.
    std::multimap<std::int64_t, std::string> pending_answers;
    std::map<std::string, int> runs;
    std::set<std::string> finished;
    unsigned operations_created = 0;

    int random_below(int bound) {
        return static_cast<int>(this->random() %
                                static_cast<std::uint64_t>(bound));
    }

    void advance(std::int64_t ms) {
        this->now = this->now + support::milliseconds(ms);
        this->wall_ms += ms;
    }

    void create_operation() {
        ++this->operations_created;
        const bool has_timestamp = this->random_below(2) == 0;
        // A caller's clock differs by up to the skew.
        const std::int64_t caller_clock_ms =
            this->wall_ms - clock_skew.ms +
            this->random_below(static_cast<int>(2 * clock_skew.ms));
        const std::string key =
            has_timestamp ? uuid_v7(caller_clock_ms, this->operations_created)
                          : absl::StrCat("order-", this->operations_created);
        const int copies = 1 + this->random_below(4);
        for (int i = 0; i < copies; ++i) {
            const int delay_ms =
                this->random_below(static_cast<int>(key_lifetime.ms));
            // Keys with a creation time may be repeated after their lifetime.
            const int extra_delay_ms =
                has_timestamp && this->random_below(4) == 0 ? 40'000 : 0;
            this->pending_requests.emplace(
                this->now.ms + delay_ms + extra_delay_ms, key);
        }
    }

    void handle_request(const std::string& key) {
        const auto verdict = this->table.claim(this->now, key_of(key), {1}, 1);
        if (verdict == claim_verdict::replay) {
            RC_ASSERT(this->table.find(key_of(key))->body == key);
            RC_ASSERT(this->runs[key] == 1);
        }
        if (verdict != claim_verdict::run) {
            return;
        }
        if (this->random_below(4) == 0) {
            this->table.release(this->now, key_of(key));
            return;
        }
        this->table.mark_started(this->now, key_of(key));
        ++this->runs[key];
        RC_ASSERT(this->runs[key] == 1);
        this->pending_answers.emplace(this->now.ms + this->random_below(5000),
                                      key);
    }

    void handle_answer(const std::string& key) {
        if (this->random_below(5) == 0) {
            this->table.mark_outcome_unknown(this->now, key_of(key));
            return;
        }
        this->table.complete(this->now, key_of(key), response_of(key));
    }

    void restart() {
        this->pending_answers.clear();
        this->table = admission::at_most_once({}, this->now, {this->wall_ms});
    }

    void deliver_due() {
        while (!this->pending_requests.empty() &&
               this->pending_requests.begin()->first <= this->now.ms) {
            const std::string key = this->pending_requests.begin()->second;
            this->pending_requests.erase(this->pending_requests.begin());
            this->handle_request(key);
        }
        while (!this->pending_answers.empty() &&
               this->pending_answers.begin()->first <= this->now.ms) {
            const std::string key = this->pending_answers.begin()->second;
            this->pending_answers.erase(this->pending_answers.begin());
            this->handle_answer(key);
        }
    }

    void step() {
        const int action = this->random_below(100);
        if (action < 40) {
            this->create_operation();
        } else if (action < 42) {
            this->restart();
        } else if (action < 44) {
            this->advance(this->random_below(60'000)); // a pause
        } else {
            this->advance(this->random_below(1000));
        }
        this->table.tick(this->now);
        this->deliver_due();
    }
};

} // namespace

TEST_CASE("no operation runs twice under loss, delay, duplicates, restarts and "
          "pauses") {
    const bool property_holds = rc::check([]() {
        operation_schedule s;
        s.random.seed(*rc::gen::arbitrary<std::uint64_t>());
        for (int i = 0; i < 400; ++i) {
            s.step();
        }
        RC_ASSERT(s.operations_created > 0);
    });
    CHECK(property_holds);
}

TEST_CASE("creation_time() accepts version 7 UUIDs only") {
    const auto created_at = admission::creation_time(uuid_v7(first_wall_ms, 5));
    REQUIRE(created_at.has_value());
    CHECK(created_at->ms == first_wall_ms);
    for (const char* other :
         {"", "order-1", "018bcfe5-6800-4000-8000-000000000005",
          "018bcfe5-6800-7000-0000-000000000005",
          "018bcfe5x6800-7000-8000-000000000005",
          "018bcfe5-6800-7000-8000-00000000000g"}) {
        CHECK_FALSE(admission::creation_time(other).has_value());
    }
}

TEST_CASE("the home agent of a key changes only when that agent leaves") {
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

TEST_CASE("at most one agent at a time is the settled home of a key") {
    // Each agent learns of a change at its own time, within `max_view_lag`.
    constexpr support::duration max_view_lag = support::seconds(5);
    constexpr support::duration settling_time = key_lifetime + max_view_lag;
    const bool property_holds = rc::check([=]() {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        std::map<std::uint64_t, admission::key_home_history> agents;
        for (std::uint64_t i = 1; i <= 5; ++i) {
            agents.emplace(i, admission::key_home_history({i}, settling_time));
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
            // Changes are far enough apart that two never overlap.
            const std::int64_t start = std::int64_t{20'000} * i;
            for (const auto& [agent, history] : agents) {
                const auto view_lag = static_cast<std::int64_t>(
                    random() % static_cast<std::uint64_t>(max_view_lag.ms));
                changes.push_back({start + view_lag, agent, members});
            }
        }
        std::sort(changes.begin(), changes.end(),
                  [](const change& a, const change& b) { return a.at < b.at; });
        std::size_t next = 0;
        // Agent and the last time in ms at which it would have run the key.
        std::map<std::uint64_t, std::int64_t> last_run;
        for (; now.ms < 700'000; now = now + support::milliseconds(100)) {
            for (; next < changes.size() && changes[next].at <= now.ms;
                 ++next) {
                agents.at(changes[next].agent)
                    .view_changed({changes[next].at}, changes[next].members);
            }
            for (const auto& [agent, history] : agents) {
                if (!history.is_settled_home(now, key)) {
                    continue;
                }
                for (const auto& [other, when] : last_run) {
                    RC_ASSERT(other == agent ||
                              now.ms - when > key_lifetime.ms);
                }
                last_run[agent] = now.ms;
            }
        }
    });
    CHECK(property_holds);
}
