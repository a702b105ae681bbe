#include "store_client.hpp"
#include "store_standin.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <optional>

namespace net = guavastair::net;
namespace platform = guavastair::platform;
namespace registry = guavastair::registry;
namespace support = guavastair::support;

using guavastair::platform_test::fault;
using guavastair::platform_test::store_standin;
using support::error_kind;

namespace {

struct fixture {
    explicit fixture(support::duration timeout = support::seconds(20))
        : client(this->loop, {this->store.address(), timeout}, this->counts) {}

    template <typename Result> Result wait(std::optional<Result>& got) {
        // About 30 s: only a fault takes that long.
        for (int i = 0; i < 30'000 && !got.has_value(); ++i) {
            this->loop.run_once(support::milliseconds(1));
        }
        REQUIRE(got.has_value());
        return *std::move(got);
    }

    absl::StatusOr<registry::page> list(const std::string& prefix,
                                        const std::string& after = "") {
        std::optional<absl::StatusOr<registry::page>> got;
        this->client.list(prefix, after, [&got](auto page) { got = page; });
        return this->wait(got);
    }

    absl::StatusOr<registry::changes> watch(const std::string& prefix,
                                            std::int64_t after) {
        std::optional<absl::StatusOr<registry::changes>> got;
        this->client.watch(prefix, {after}, support::milliseconds(1),
                           [&got](auto changes) { got = changes; });
        return this->wait(got);
    }

    absl::Status put(const std::string& key, const std::string& value) {
        std::optional<absl::Status> got;
        this->client.put(key, value,
                         [&got](const absl::Status& s) { got = s; });
        return this->wait(got);
    }

    absl::Status remove(const std::string& key) {
        std::optional<absl::Status> got;
        this->client.remove(key, [&got](const absl::Status& s) { got = s; });
        return this->wait(got);
    }

    absl::Status remove(const std::string& key, support::revision modified) {
        std::optional<absl::Status> got;
        this->client.remove_unchanged(
            key, modified, [&got](const absl::Status& s) { got = s; });
        return this->wait(got);
    }

    std::uint64_t made(platform::call_kind kind) const {
        return this->counts.made[static_cast<std::size_t>(kind)];
    }
    std::uint64_t failed(platform::call_kind kind) const {
        return this->counts.failed[static_cast<std::size_t>(kind)];
    }

    store_standin store;
    support::steady_clock clock;
    net::event_loop loop{clock};
    platform::call_counts counts;
    platform::store_client client;
};

} // namespace

TEST_CASE("entries are written, listed in pages and removed") {
    fixture w;
    const std::string binary("\0\xff\n\"x", 5);
    REQUIRE(w.put("agents/10.0.0.1:7000", binary).ok());
    REQUIRE(w.put("agents/10.0.0.2:7000", "b").ok());
    REQUIRE(w.put("other/x", "c").ok());
    w.store.page_size = 1;
    const auto first = w.list("agents/");
    REQUIRE(first.ok());
    CHECK(first->has_more);
    REQUIRE(first->entries.size() == 1);
    CHECK(first->entries[0].value == binary);
    const auto second = w.list("agents/", first->entries[0].key);
    REQUIRE(second.ok());
    CHECK_FALSE(second->has_more);
    CHECK(second->entries[0].key == "agents/10.0.0.2:7000");
    REQUIRE(w.remove("agents/10.0.0.1:7000").ok());
    CHECK(w.list("agents/")->entries.size() == 1);
    CHECK(w.made(platform::call_kind::put) == 3);
    CHECK(w.made(platform::call_kind::list) == 3);
    CHECK(w.failed(platform::call_kind::list) == 0);
}

TEST_CASE("a watch delivers writes and deletions, or reports lost history") {
    fixture w;
    w.store.put("op/config", "{}");
    const auto listed = w.list("op/");
    REQUIRE(listed.ok());
    w.store.put("op/evacuate/a", "{}");
    w.store.erase("op/config");
    const auto seen = w.watch("op/", listed->as_of.value);
    REQUIRE(seen.ok());
    REQUIRE(seen->events.size() == 2);
    CHECK_FALSE(seen->events[0].deleted);
    CHECK(seen->events[1].deleted);
    CHECK(seen->events[1].item.key == "op/config");
    w.store.compact_history();
    const auto lost = w.watch("op/", listed->as_of.value);
    REQUIRE(lost.ok());
    CHECK(lost->history_lost);
    CHECK(w.failed(platform::call_kind::watch) == 0);
}

TEST_CASE("rejected calls have no effect and are counted") {
    fixture w;
    for (const fault each : {fault::busy, fault::too_many}) {
        w.store.set_fault(each);
        CHECK(support::kind_of(w.put("a", "1")) ==
              error_kind::store_unavailable);
        CHECK(support::kind_of(w.list("a").status()) ==
              error_kind::store_unavailable);
    }
    CHECK(w.failed(platform::call_kind::put) == 2);
    w.store.set_fault(fault::failing);
    CHECK(support::kind_of(w.put("a", "1")) ==
          error_kind::write_outcome_unknown);
    w.store.set_fault(fault::none);
    CHECK(w.put("a", "1").ok());
}

TEST_CASE("a write without a response may have taken effect") {
    fixture w;
    w.store.set_fault(fault::answers_lost);
    CHECK(support::kind_of(w.put("a", "1")) ==
          error_kind::write_outcome_unknown);
    CHECK(w.store.value_of("a") == "1");
    CHECK(support::kind_of(w.list("a").status()) ==
          error_kind::store_unavailable);
    w.store.set_fault(fault::none);
    CHECK(w.list("a").ok());
}

TEST_CASE(
    "calls to an unresponsive store time out, then the client reconnects") {
    fixture w(support::milliseconds(80));
    REQUIRE(w.list("a").ok());
    w.store.set_fault(fault::silent);
    CHECK(support::kind_of(w.list("a").status()) ==
          error_kind::store_unavailable);
    CHECK(support::kind_of(w.put("a", "1")) ==
          error_kind::write_outcome_unknown);
    w.store.set_fault(fault::none);
    // The stand-in may still serve the old connection for a moment.
    bool recovered = false;
    for (int i = 0; i < 100 && !recovered; ++i) {
        recovered = w.list("a").ok();
    }
    CHECK(recovered);
}

TEST_CASE("an entry is removed only if it has not changed since") {
    fixture w;
    REQUIRE(w.put("agents/10.0.0.1:7000", "old").ok());
    const auto seen = w.list("agents/")->entries.front().modified;
    REQUIRE(w.put("agents/10.0.0.1:7000", "new").ok());
    CHECK(support::kind_of(w.remove("agents/10.0.0.1:7000", seen)) ==
          error_kind::revision_conflict);
    const auto now = w.list("agents/")->entries.front().modified;
    CHECK(w.store.value_of("agents/10.0.0.1:7000") == "new");
    CHECK(w.remove("agents/10.0.0.1:7000", now).ok());
    CHECK(w.list("agents/")->entries.empty());
}

TEST_CASE("keys are escaped in queries") {
    fixture w;
    REQUIRE(w.put("x/a&b=c d%", "1").ok());
    const auto listed = w.list("x/a&b=c d%");
    REQUIRE(listed.ok());
    CHECK(listed->entries.size() == 1);
}
