#include "fake_store.hpp"
#include "planes.hpp"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <memory>
#include <vector>

namespace guavastair::control {

namespace {

/// A control plane and others that join through it.
class fleet {
public:
    explicit fleet(std::size_t size) {
        for (std::size_t i = 0; i < size; ++i) {
            const std::string number = std::to_string(i);
            this->add(
                options_for("node-" + number, i % 2 == 0 ? "east" : "west"));
        }
    }

    control_plane& add(options settings) {
        if (!this->planes.empty()) {
            settings.group.seeds = {this->planes[0]->current()->self.control};
        }
        this->planes.push_back(
            std::make_unique<control_plane>(std::move(settings), this->time));
        REQUIRE(this->planes.back()->start().ok());
        return *this->planes.back();
    }

    control_plane& at(std::size_t index) {
        return *this->planes.at(index);
    }

    bool observes_all_ready() {
        for (const auto& plane : this->planes) {
            if (ready_at(*plane) + 1 != this->planes.size()) {
                return false;
            }
        }
        return true;
    }

private:
    support::steady_clock time;
    std::vector<std::unique_ptr<control_plane>> planes;
};

bool observes(const control_plane& plane, const std::string& name,
              membership::member_state state) {
    const auto view = plane.current();
    for (const auto& member : view->members) {
        if (member.record.name.value == name && member.record.state == state) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("processes discover each other and observe a planned stop") {
    fleet processes(4);
    CHECK(eventually([&] { return processes.observes_all_ready(); }));
    processes.at(2).set_state(membership::member_state::draining);
    CHECK(eventually([&] {
        return observes(processes.at(1), "node-2",
                        membership::member_state::draining) &&
               observes(processes.at(3), "node-2",
                        membership::member_state::draining);
    }));
    processes.at(3).stop();
    CHECK(eventually([&] {
        return observes(processes.at(0), "node-3",
                        membership::member_state::left);
    }));
    const counters count = processes.at(0).count();
    CHECK(count.malformed == 0);
    CHECK(count.forged == 0);
    CHECK(count.replayed == 0);
}

TEST_CASE("documents reach every process and are not replaced by older ones") {
    fleet processes(4);
    REQUIRE(eventually([&] { return processes.observes_all_ready(); }));
    processes.at(1).deliver(change_at(0, 7));
    const auto has = [&processes](std::int64_t revision) {
        for (std::size_t i = 0; i < 4; ++i) {
            const auto view = processes.at(i).current();
            if (view->complete_up_to.value != revision ||
                view->services.size() != 1) {
                return false;
            }
        }
        return true;
    };
    CHECK(eventually([&] { return has(7); }));
    processes.at(2).deliver(change_at(7, 9));
    CHECK(eventually([&] { return has(9); }));
    processes.at(2).deliver(change_at(0, 8));
    CHECK(processes.at(2).current()->complete_up_to.value == 9);
}

TEST_CASE("a process that joins later pulls documents from its peers") {
    fleet processes(2);
    processes.at(0).deliver(change_at(0, 5));
    const control_plane& late = processes.add(options_for("node-late", "west"));
    CHECK(eventually([&] { return late.current()->services.size() == 1; }));
}

TEST_CASE("a process with a different key cannot join") {
    fleet processes(2);
    REQUIRE(eventually([&] { return processes.observes_all_ready(); }));
    options stranger = options_for("stranger", "east");
    stranger.key = {"another key for the tests"};
    const control_plane& outside = processes.add(std::move(stranger));
    CHECK(eventually([&] { return processes.at(0).count().forged > 0; }));
    CHECK(outside.current()->members.empty());
    CHECK(processes.at(0).current()->members.size() == 1);
}

TEST_CASE("snapshots show changes of weight and applied revision") {
    fleet processes(2);
    REQUIRE(eventually([&] { return processes.observes_all_ready(); }));
    processes.at(0).set_weight(12);
    processes.at(0).set_applied({33});
    CHECK(eventually([&] {
        const auto view = processes.at(1).current();
        const membership::node_record& seen = view->members.front().record;
        return seen.weight == 12 && seen.applied.value == 33;
    }));
}

TEST_CASE("the change and action callbacks are called") {
    support::steady_clock time;
    options first = options_for("node-a", "east");
    control_plane one(std::move(first), time);
    std::atomic<int> changes = 0;
    std::atomic<int> decisions = 0;
    one.on_change([&](const auto&) { ++changes; });
    one.on_action([&](const membership::action& item) {
        CHECK_FALSE(to_log_line(item).empty());
        ++decisions;
    });
    REQUIRE(one.start().ok());
    options second = options_for("node-b", "east");
    second.group.seeds = {one.current()->self.control};
    control_plane other(std::move(second), time);
    REQUIRE(other.start().ok());
    CHECK(eventually([&] { return changes > 0 && decisions > 0; }));
    other.stop();
    one.stop();
}

TEST_CASE("the error for an address in use contains the address") {
    support::steady_clock time;
    control_plane one(options_for("node-a", "east"), time);
    REQUIRE(one.start().ok());
    options same = options_for("node-b", "east");
    same.self.control = one.current()->self.control;
    control_plane other(std::move(same), time);
    const absl::Status failed = other.start();
    REQUIRE_FALSE(failed.ok());
    CHECK(support::kind_of(failed) == support::error_kind::address_in_use);
    const std::string address = support::to_string(one.current()->self.control);
    CHECK(std::string(failed.message()).find(address) != std::string::npos);
}

TEST_CASE("a stored document reaches members without a store client") {
    fake_store store;
    support::steady_clock time;
    options first = options_for("node-watcher", "east");
    first.store = &store;
    first.watcher.reread = support::milliseconds(200);
    control_plane watcher(std::move(first), time);
    REQUIRE(watcher.start().ok());
    options second = options_for("node-other", "west");
    second.group.seeds = {watcher.current()->self.control};
    control_plane other(std::move(second), time);
    REQUIRE(other.start().ok());
    const config::change written = change_at(0, 1).entries.front();
    const support::revision at = store.put(
        config::to_store_key(written.key),
        store::to_json(store::stored_document{false, written.text, {}}));
    CHECK(eventually([&] {
        const auto view = other.current();
        return view->complete_up_to == at && view->services.size() == 1;
    }));
    CHECK(watcher.time_since_store_answer().has_value());
    CHECK_FALSE(other.time_since_store_answer().has_value());
}

TEST_CASE("processes without seeds discover each other by a limited number of "
          "beacons") {
    fake_store store;
    support::steady_clock time;
    constexpr std::size_t size = 4;
    std::array<std::unique_ptr<control_plane>, size> planes;
    for (std::size_t i = 0; i < size; ++i) {
        options settings = options_for("node-" + std::to_string(i), "east");
        settings.store = &store;
        settings.beacons_per_data_centre = 2;
        settings.beacon_lease = support::seconds(3);
        planes[i] = std::make_unique<control_plane>(std::move(settings), time);
        REQUIRE(planes[i]->start().ok());
    }
    CHECK(eventually([&] {
        for (const auto& plane : planes) {
            if (ready_at(*plane) + 1 != size) {
                return false;
            }
        }
        return store.count_keys("guavastair/beacons/") == 2;
    }));
    for (const auto& plane : planes) {
        plane->stop();
    }
    CHECK(store.count_keys("guavastair/beacons/") == 0);
}

} // namespace guavastair::control
