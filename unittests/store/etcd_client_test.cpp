#include <guavastair/store.hpp>

#include <doctest/doctest.h>
#include <Poco/Net/ServerSocket.h>
#include <store_server.hpp>

namespace config = guavastair::config;
namespace standin = guavastair::standin;
namespace store = guavastair::store;
namespace support = guavastair::support;

using support::error_kind;

namespace {

/// A stand-in store and a client connected to it.
struct store_fixture {
    standin::store_server server{"127.0.0.1", 0};
    std::unique_ptr<store::client> client = make({this->server.port()});

    static std::unique_ptr<store::client>
    make(const std::vector<std::uint16_t>& ports) {
        config::store_settings settings;
        for (const std::uint16_t port : ports) {
            settings.endpoints.push_back({{0x7f000001}, port});
        }
        settings.timeout = support::seconds(5);
        return store::make_etcd_client(settings);
    }

    absl::StatusOr<store::write_result>
    put(const std::string& key, const std::string& value, std::int64_t base) {
        return this->client->write(
            {{{key, false, store::condition_kind::equals, {base}}},
             {{store::operation_kind::put, key, value, {}}}});
    }

    void must_put(const std::string& key, const std::string& value,
                  std::int64_t base) {
        const auto result = this->put(key, value, base);
        REQUIRE(result.ok());
        REQUIRE(result->succeeded);
    }

    std::vector<store::key_value> read(const std::string& prefix) {
        const auto result = this->client->range({prefix, true, {}});
        REQUIRE(result.ok());
        return result->entries;
    }
};

/// A bound port without a listener: no other process can use it, and it refuses
/// connections.
class closed_port {
public:
    closed_port() {
        this->socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    }

    std::uint16_t number() const {
        return this->socket.address().port();
    }

private:
    Poco::Net::ServerSocket socket;
};

} // namespace

TEST_CASE("a write takes effect only if its revision condition holds") {
    store_fixture f;
    const std::string bytes("\0\xff\n\"", 4);
    const auto first = f.put("a/1", bytes, 0);
    REQUIRE(first.ok());
    CHECK(first->succeeded);
    const auto late = f.put("a/1", "late", 0);
    REQUIRE(late.ok());
    CHECK_FALSE(late->succeeded);
    REQUIRE(late->current.size() == 1);
    CHECK(late->current[0].value == bytes);
    CHECK(late->current[0].mod_revision == first->store_revision);
    CHECK(late->current[0].version == 1);

    const auto second = f.put("a/1", "two", first->store_revision.value);
    REQUIRE(second.ok());
    CHECK(second->succeeded);
    CHECK(second->store_revision > first->store_revision);
    CHECK(f.read("a/")[0].version == 2);
}

TEST_CASE("a condition on a prefix covers every key that starts with it") {
    store_fixture f;
    const auto first = f.put("a/1", "x", 0);
    const auto write = [&f](std::int64_t at_most) {
        return f.client
            ->write({{{"a/", true, store::condition_kind::at_most, {at_most}}},
                     {{store::operation_kind::put, "a/2", "y", {}}}})
            ->succeeded;
    };
    CHECK_FALSE(write(first->store_revision.value - 1));
    CHECK(write(first->store_revision.value));
    CHECK_FALSE(write(first->store_revision.value));
}

TEST_CASE("a range returns the keys of a prefix from the minimum revision on") {
    store_fixture f;
    f.must_put("a/1", "x", 0);
    const auto second = f.put("a/2", "y", 0);
    f.must_put("b/1", "z", 0);
    CHECK(f.read("a/").size() == 2);
    const auto newer = f.client->range({"a/", true, second->store_revision});
    REQUIRE(newer.ok());
    REQUIRE(newer->entries.size() == 1);
    CHECK(newer->entries[0].key == "a/2");
    CHECK(f.client->range({"a/", false, {}})->entries.empty());
}

TEST_CASE("a write without a response has an unknown outcome") {
    store_fixture f;
    f.server.set_faults({.lose_answers = 1});
    CHECK(support::kind_of(f.put("a", "1", 0).status()) ==
          error_kind::write_outcome_unknown);
    CHECK(f.read("a").size() == 1);
    f.server.set_faults({.lose_requests = 1});
    CHECK(support::kind_of(f.put("b", "1", 0).status()) ==
          error_kind::write_outcome_unknown);
    CHECK(f.read("b").empty());
}

TEST_CASE(
    "the editor reads back the outcome of a write whose response is lost") {
    store_fixture f;
    store::editor editor(*f.client, {}, std::mt19937_64(1),
                         [](support::duration) {});
    config::service_document document;
    document.name.value = "stock";
    document.address = {{0x0a000001}, 80};
    f.server.set_faults({.lose_answers = 1});
    const auto made = editor.put(document, {0});
    REQUIRE(made.ok());
    document.slots = 2;
    f.server.set_faults({.lose_requests = 2});
    // The first read fails and is not retried, so that nothing was written.
    CHECK(support::kind_of(editor.put(document, made->revision).status()) ==
          error_kind::store_unavailable);
    f.server.set_faults({});
    const auto changed = editor.put(document, made->revision);
    REQUIRE(changed.ok());
    CHECK(changed->revision > made->revision);
    CHECK(f.read("guavastair/services/").size() == 1);
}

TEST_CASE("a write to a refusing endpoint is reported as not written") {
    const closed_port closed;
    const auto client = store_fixture::make({closed.number()});
    const auto result =
        client->write({{}, {{store::operation_kind::put, "a", "1", {}}}});
    CHECK(support::kind_of(result.status()) == error_kind::store_unavailable);
    CHECK(support::kind_of(client->range({"a", false, {}}).status()) ==
          error_kind::store_unavailable);
    CHECK(support::kind_of(client->watch({"a", {1}}).status()) ==
          error_kind::store_unavailable);
}

TEST_CASE("the next endpoint is tried when the first refuses connections") {
    store_fixture f;
    const closed_port closed;
    const auto client = store_fixture::make({closed.number(), f.server.port()});
    const auto result =
        client->write({{}, {{store::operation_kind::put, "a", "1", {}}}});
    REQUIRE(result.ok());
    CHECK(result->succeeded);
    CHECK(client->counters().of(store::call_kind::write) == 2);
    CHECK(client->range({"a", false, {}})->entries.size() == 1);
    CHECK(client->counters().of(store::call_kind::range) == 1);
}

TEST_CASE("calls to a slow store time out") {
    store_fixture f;
    config::store_settings settings;
    settings.endpoints.push_back({{0x7f000001}, f.server.port()});
    settings.timeout = support::milliseconds(100);
    const auto client = store::make_etcd_client(settings);
    f.server.set_faults({.delay = support::milliseconds(400)});
    CHECK(support::kind_of(client->range({"a", false, {}}).status()) ==
          error_kind::store_unavailable);
    CHECK(support::kind_of(
              client->write({{}, {{store::operation_kind::put, "a", "1", {}}}})
                  .status()) == error_kind::write_outcome_unknown);
}

TEST_CASE("revoking a lease deletes its keys") {
    store_fixture f;
    const auto lease = f.client->grant_lease(support::seconds(60));
    REQUIRE(lease.ok());
    REQUIRE(
        f.client->write({{}, {{store::operation_kind::put, "a", "1", *lease}}})
            .ok());
    CHECK(f.client->keep_alive(*lease).ok());
    CHECK(f.client->revoke(*lease).ok());
    CHECK(f.read("a").empty());
    CHECK(support::kind_of(f.client->keep_alive(*lease)) ==
          error_kind::not_found);
}

TEST_CASE("a watch reports every change from its start revision on, in order") {
    store_fixture f;
    const auto first = f.put("a/1", "x", 0);
    const auto stream = f.client->watch({"a/", first->store_revision});
    REQUIRE(stream.ok());
    f.must_put("b/1", "other", 0);
    f.must_put("a/2", "y", 0);
    REQUIRE(
        f.client->write({{}, {{store::operation_kind::remove, "a/1", "", {}}}})
            .ok());
    std::vector<store::watch_event> events;
    while (events.size() < 3) {
        const auto message = (*stream)->next();
        REQUIRE(message.ok());
        events.insert(events.end(), message->events.begin(),
                      message->events.end());
    }
    CHECK(events[0].entry.value == "x");
    CHECK(events[1].entry.value == "y");
    CHECK(events[2].deleted);
    CHECK(events[2].entry.key == "a/1");
    CHECK(events[1].entry.mod_revision < events[2].entry.mod_revision);
}

TEST_CASE("a watch of a compacted revision reports the compaction") {
    store_fixture f;
    f.must_put("a/1", "x", 0);
    const auto last = f.put("a/2", "y", 0);
    f.server.compact(last->store_revision);
    const auto stream = f.client->watch({"a/", {2}});
    REQUIRE(stream.ok());
    REQUIRE((*stream)->next().ok());
    const auto message = (*stream)->next();
    REQUIRE(message.ok());
    CHECK(message->compacted);
}

TEST_CASE("an outage or cancel() ends a watch") {
    store_fixture f;
    const auto broken = f.client->watch({"a/", {2}});
    REQUIRE(broken.ok());
    REQUIRE((*broken)->next().ok());
    f.server.set_faults({.outage = true});
    CHECK(support::kind_of((*broken)->next().status()) ==
          error_kind::store_unavailable);
    f.server.set_faults({});
    const auto cancelled = f.client->watch({"a/", {2}});
    REQUIRE(cancelled.ok());
    REQUIRE((*cancelled)->next().ok());
    (*cancelled)->cancel();
    CHECK(support::kind_of((*cancelled)->next().status()) ==
          error_kind::cancelled);
}

TEST_CASE("client and store count the same calls") {
    store_fixture f;
    f.must_put("a", "1", 0);
    f.read("a");
    const auto stream = f.client->watch({"a/", {2}});
    REQUIRE(stream.ok());
    for (std::size_t i = 0; i < store::call_kind_count; ++i) {
        const auto kind = static_cast<store::call_kind>(i);
        CAPTURE(store::to_string(kind));
        CHECK(f.client->counters().of(kind) == f.server.calls().of(kind));
    }
    CHECK(f.client->counters().total() == 3);
}
