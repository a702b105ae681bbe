#include <guavastair/store.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <write_log.hpp>

namespace config = guavastair::config;
namespace store = guavastair::store;
namespace support = guavastair::support;

namespace {

/// State of the simulated store as seen by the watcher.
enum class store_state : std::uint8_t { serving, outage, silent_watches };

store::key_value to_entry(const config::change& item) {
    store::key_value entry;
    entry.key = config::to_store_key(item.key);
    entry.mod_revision = item.revision;
    entry.value = to_json(store::stored_document{item.deleted, item.text, {}});
    return entry;
}

/// Simulates a watcher core, the documents built from its changes, and the
/// store's history, in steps of virtual time.
struct simulation {
    static constexpr support::duration step = support::milliseconds(50);

    store::watcher_options options;
    config::write_log log;
    config::document_set set;
    store::watcher_core core;
    support::instant now;
    store_state state = store_state::serving;
    support::revision compacted_to{1};

    std::optional<support::revision> reading;
    bool read_is_served = false;
    support::revision read_at;
    bool is_watching = false;
    bool watch_is_silent = false;
    support::revision watch_next;
    /// Delays responses. RapidCheck's generator is not used because it would
    /// shrink to a store that never responds.
    std::mt19937_64 random;
    std::bernoulli_distribution answers_this_step{0.75};
    /// Whether other clients write while time passes.
    bool is_written_to = false;
    std::bernoulli_distribution writes_this_step{0.1};
    int reads = 0;
    int watches = 0;

    explicit simulation(std::uint64_t seed)
        : core(options, {}, std::mt19937_64(seed)), random(seed) {}

    void apply_actions(const store::watcher_actions& actions) {
        if (actions.close_watch) {
            RC_ASSERT(this->is_watching);
            this->is_watching = false;
        }
        if (actions.read_from.has_value()) {
            RC_ASSERT_FALSE(this->reading.has_value());
            this->reading = actions.read_from;
            this->read_is_served = false;
            ++this->reads;
        }
        if (actions.open_watch.has_value()) {
            RC_ASSERT_FALSE(this->is_watching);
            this->is_watching = true;
            this->watch_is_silent = this->state == store_state::silent_watches;
            this->watch_next = *actions.open_watch;
            ++this->watches;
        }
        for (const config::change_set& changes : actions.deliver) {
            RC_ASSERT(this->set.apply(changes) ==
                      config::apply_result::applied);
        }
        RC_ASSERT(this->set.complete_up_to() == this->core.complete_up_to());
        if (!actions.deliver.empty()) {
            check_same(this->set, this->log);
        }
    }

    /// The store executes the read some steps before the watcher gets the
    /// response.
    void advance_read() {
        if (!this->reading.has_value()) {
            return;
        }
        if (this->state == store_state::outage) {
            this->reading.reset();
            this->apply_actions(this->core.read_failed(this->now));
            return;
        }
        if (!this->read_is_served) {
            this->read_is_served = true;
            this->read_at = this->log.last();
            return;
        }
        store::range_result result{this->read_at, {}};
        for (const auto& [key, item] : this->log.as_of(this->read_at)) {
            if (item.revision >= *this->reading) {
                result.entries.push_back(to_entry(item));
            }
        }
        this->reading.reset();
        this->apply_actions(this->core.read_done(this->now, result));
    }

    void advance_watch() {
        if (!this->is_watching) {
            return;
        }
        if (this->state == store_state::outage) {
            this->is_watching = false;
            this->apply_actions(this->core.watch_ended(this->now));
            return;
        }
        if (this->state == store_state::silent_watches) {
            this->watch_is_silent = true;
        }
        if (this->watch_is_silent) {
            return;
        }
        store::watch_message message{this->log.last(), {}};
        if (this->watch_next < this->compacted_to) {
            message.compacted = true;
            this->is_watching = false;
        }
        const support::revision before{this->watch_next.value - 1};
        for (const auto& item :
             this->log.between(before, this->log.last()).entries) {
            if (!message.compacted) {
                message.events.push_back({to_entry(item)});
            }
        }
        this->watch_next = {this->log.last().value + 1};
        this->apply_actions(this->core.watch_reported(this->now, message));
    }

    void run_for(support::duration span) {
        const support::instant end = this->now + span;
        while (this->now < end) {
            this->now = this->now + step;
            if (this->is_written_to && this->writes_this_step(this->random)) {
                this->log.append(config::any_change());
            }
            if (this->answers_this_step(this->random)) {
                this->advance_read();
            }
            if (this->answers_this_step(this->random)) {
                this->advance_watch();
            }
            if (this->now >= this->core.wake_at()) {
                this->apply_actions(this->core.tick(this->now));
            }
        }
    }

    /// Peers supply their changes up to some revision.
    void receive_from_peers() {
        const auto to = config::any_revision(this->log.last());
        if (to > this->set.complete_up_to()) {
            this->set.apply(this->log.between(this->set.complete_up_to(), to));
            this->core.advance_to(to);
        }
    }

    void perform_random_action() {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1:
            this->log.append(config::any_change());
            break;
        case 2:
            this->receive_from_peers();
            break;
        case 3:
            this->state =
                *rc::gen::element(store_state::serving, store_state::outage,
                                  store_state::silent_watches);
            break;
        case 4:
            this->compacted_to = this->log.last();
            break;
        default:
            this->is_written_to = *rc::gen::arbitrary<bool>();
            this->run_for(support::milliseconds(*rc::gen::inRange(0, 4000)));
        }
    }
};

/// Longest time until a change arrives once the store serves again: the longest
/// back-off, one read, and the pause before the next read.
constexpr support::duration max_recovery_time = support::seconds(6);
/// Longest time until a change arrives through a working watch.
constexpr support::duration max_watch_delay = support::milliseconds(500);

} // namespace

TEST_CASE("a watcher delivers every change in order despite outages, silent "
          "watches, compaction and changes from peers") {
    CHECK(rc::check("watcher_core", [](std::uint64_t seed) {
        simulation run(seed);
        for (int i = 0; i < 25; ++i) {
            run.perform_random_action();
        }
        run.state = store_state::serving;
        run.is_written_to = false;
        run.run_for(max_recovery_time);
        const auto missing =
            run.log.between(run.set.complete_up_to(), run.log.last());
        RC_ASSERT(missing.entries.empty());

        // The first change reveals a silent watch; the second arrives through
        // its replacement.
        run.log.append(config::any_change());
        run.run_for(run.options.reread * 3);
        run.log.append(config::any_change());
        run.run_for(max_watch_delay);
        RC_ASSERT(run.set.complete_up_to() == run.log.last());
    }));
}

TEST_CASE("a silent watch is detected and reopened") {
    CHECK(rc::check("silence", [](std::uint64_t seed) {
        simulation run(seed);
        run.run_for(support::seconds(1));
        RC_ASSERT(run.is_watching);
        run.watch_is_silent = true;
        const int watches = run.watches;
        run.log.append(config::any_change());
        run.run_for(run.options.reread + support::seconds(1));
        RC_ASSERT(run.set.complete_up_to() == run.log.last());
        run.run_for(run.options.reread + support::seconds(1));
        RC_ASSERT(run.watches == watches + 1);
        RC_ASSERT_FALSE(run.watch_is_silent);
    }));
}

TEST_CASE("an idle watcher keeps one watch and reads at the reread interval") {
    CHECK(rc::check("calls", [](std::uint64_t seed) {
        simulation run(seed);
        run.log.append(config::any_change());
        run.run_for(support::seconds(60));
        RC_ASSERT(run.watches == 1);
        // At most two reads per reread interval, and the first one.
        RC_ASSERT(run.reads <= 2 * 60 / 3 + 1);
        RC_ASSERT(run.reads >= 60 / 4);
    }));
}

TEST_CASE("a watcher backs off while the store is unavailable") {
    CHECK(rc::check("outage", [](std::uint64_t seed) {
        simulation run(seed);
        run.state = store_state::outage;
        run.run_for(support::seconds(60));
        // The pauses grow to between half of max_backoff and max_backoff.
        RC_ASSERT(run.reads <= 60 * 2 / 5 + 8);
        RC_ASSERT(run.reads >= 60 / 6);
    }));
}

TEST_CASE("after compaction a watch starts at the revision of a read") {
    const support::instant start{0};
    const support::instant later{10'000};
    store::watcher_core core({}, {5}, std::mt19937_64(1));
    const auto first = core.tick(start);
    CHECK(first.read_from == support::revision{6});
    CHECK(first.open_watch == support::revision{6});
    core.read_done(start, {{7}, {}});
    core.watch_reported(start, {{100}, {}, true});

    const auto second = core.tick(later);
    CHECK(second.read_from == support::revision{6});
    CHECK_FALSE(second.open_watch.has_value());
    core.read_done(later, {{100}, {}});
    CHECK(core.tick(later).open_watch == support::revision{101});
    CHECK(core.complete_up_to() == support::revision{5});
}

TEST_CASE("a key deleted by another tool is reported as a deletion") {
    store::watcher_core core({}, {5}, std::mt19937_64(1));
    core.tick({0});
    store::watch_event event;
    event.entry.key = "guavastair/data-centres/cairo";
    event.entry.mod_revision = {9};
    event.deleted = true;
    const auto actions = core.watch_reported({0}, {{9}, {event}});
    REQUIRE(actions.deliver.size() == 1);
    CHECK(actions.deliver[0].from == support::revision{5});
    CHECK(actions.deliver[0].to == support::revision{9});
    REQUIRE(actions.deliver[0].entries.size() == 1);
    CHECK(actions.deliver[0].entries[0].deleted);
}
