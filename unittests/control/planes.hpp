/// Helpers for tests of control planes on loopback sockets.

#ifndef GUAVASTAIR_UNITTESTS_CONTROL_PLANES_HPP
#define GUAVASTAIR_UNITTESTS_CONTROL_PLANES_HPP

#include <guavastair/control.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace guavastair::control {

inline constexpr absl::string_view test_key = "a key for the tests only";

/// Far longer than needed, so that a loaded machine does not fail a test.
inline constexpr std::chrono::seconds wait_timeout{20};

inline options options_for(const std::string& name,
                           const std::string& data_centre) {
    constexpr std::uint32_t loopback = 0x7f000001;
    options result;
    result.self.name = {name};
    result.self.data_centre = {data_centre};
    result.self.control = {{loopback}, 0};
    result.self.state = membership::member_state::ready;
    result.self.may_watch_store = true;
    result.key = {std::string(test_key)};
    return result;
}

/// Waits until `condition` is true; false after wait_timeout.
inline bool eventually(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + wait_timeout;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

/// Number of members that take new work in the view of `plane`.
inline std::size_t ready_at(const control_plane& plane) {
    const auto view = plane.current();
    std::size_t count = 0;
    for (const membership::member_view& member : view->members) {
        count += membership::takes_new_work(member) ? 1 : 0;
    }
    return count;
}

/// A change set from `from` to `revision` with one service document.
inline config::change_set change_at(std::int64_t from, std::int64_t revision) {
    config::service_document document;
    document.name = {"order-portal"};
    document.address = {{0x0a000001}, 80};
    config::change_set changes;
    changes.from = {from};
    changes.to = {revision};
    changes.full = from == 0;
    changes.entries.push_back(
        {{config::document_kind::service, document.name.value},
         {revision},
         false,
         config::to_json(document)});
    return changes;
}

} // namespace guavastair::control

#endif
