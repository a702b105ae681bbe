#include <guavastair/store.hpp>

#include <doctest/doctest.h>
#include <store_server.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace config = guavastair::config;
namespace standin = guavastair::standin;
namespace store = guavastair::store;
namespace support = guavastair::support;

namespace {

/// A watcher of a stand-in store, and the documents that it delivers.
class watched_store {
public:
    standin::store_server server{"127.0.0.1", 0};

    watched_store() {
        config::store_settings settings;
        settings.endpoints.push_back({{0x7f000001}, this->server.port()});
        this->client = store::make_etcd_client(settings);
        store::watcher_options options;
        options.reread = support::milliseconds(200);
        options.min_backoff = support::milliseconds(20);
        options.max_backoff = support::milliseconds(200);
        this->watcher = std::make_unique<store::watcher>(
            *this->client, this->clock, options, support::revision{},
            [this](const config::change_set& changes) {
                const std::lock_guard lock(this->mutex);
                CHECK(this->set.apply(changes) ==
                      config::apply_result::applied);
                this->changed.notify_all();
            });
    }

    support::revision withdraw(const std::string& name, bool withdrawn) {
        const config::document_key key{config::document_kind::data_centre,
                                       name};
        const store::stored_document stored{
            false,
            to_json(config::data_centre_document{{name}, withdrawn}),
            {}};
        return this->server.put(to_store_key(key), to_json(stored));
    }

    /// Waits until the watcher has delivered `revision`; false on a time-out.
    bool wait_for(support::revision revision) {
        constexpr auto timeout = std::chrono::seconds(20);
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, timeout, [&] {
            return this->set.complete_up_to() >= revision;
        });
    }

    std::vector<support::data_centre_name> withdrawn() {
        const std::lock_guard lock(this->mutex);
        return this->set.withdrawn_data_centres();
    }

private:
    support::steady_clock clock;
    std::unique_ptr<store::client> client;
    std::mutex mutex;
    std::condition_variable changed;
    config::document_set set;
    std::unique_ptr<store::watcher> watcher;
};

using names = std::vector<support::data_centre_name>;

} // namespace

TEST_CASE("a watcher delivers existing documents and later changes") {
    watched_store f;
    REQUIRE(f.wait_for(f.withdraw("giza", true)));
    REQUIRE(f.wait_for(f.withdraw("cairo", true)));
    CHECK(f.withdrawn() == names{{"cairo"}, {"giza"}});
    REQUIRE(f.wait_for(f.withdraw("giza", false)));
    CHECK(f.withdrawn() == names{{"cairo"}});
}

TEST_CASE(
    "a watcher keeps its documents in an outage and catches up afterwards") {
    watched_store f;
    REQUIRE(f.wait_for(f.withdraw("giza", true)));
    f.server.set_faults({.outage = true});
    const auto during = f.withdraw("cairo", true);
    CHECK(f.withdrawn() == names{{"giza"}});
    f.server.set_faults({});
    REQUIRE(f.wait_for(during));
    CHECK(f.withdrawn() == names{{"cairo"}, {"giza"}});
}

TEST_CASE("a watcher delivers changes despite a silent watch") {
    watched_store f;
    f.server.set_faults({.silent_watches = true});
    REQUIRE(f.wait_for(f.withdraw("giza", true)));
    REQUIRE(f.wait_for(f.withdraw("cairo", true)));
    CHECK(f.withdrawn() == names{{"cairo"}, {"giza"}});
}

TEST_CASE("a watcher recovers after its revision was compacted") {
    watched_store f;
    REQUIRE(f.wait_for(f.withdraw("giza", true)));
    f.server.set_faults({.outage = true});
    for (int i = 0; i < 10; ++i) {
        f.withdraw("giza", i % 2 == 0);
    }
    f.server.compact(f.withdraw("cairo", true));
    f.server.set_faults({});
    REQUIRE(f.wait_for(f.withdraw("giza", true)));
    CHECK(f.withdrawn() == names{{"cairo"}, {"giza"}});
}
