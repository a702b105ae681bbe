/// Keeps the operators' view up to date, from the store and from peers.

#ifndef GUAVASTAIR_LIB_RELAY_VIEW_KEEPER_HPP
#define GUAVASTAIR_LIB_RELAY_VIEW_KEEPER_HPP

#include "process.hpp"
#include "store_drivers.hpp"

#include <guavastair/http.hpp>
#include <guavastair/routing.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace guavastair::relay {

class view_keeper {
public:
    /// `watch_time` bounds one watch of the store; `on_change` is called
    /// whenever the view in force changed.
    view_keeper(process& chosen, support::duration watch_time,
                std::function<void()> on_change);

    /// Begins to follow the store and to answer peers.
    absl::Status start();

    const routing::routing_state& rules() const;
    peer::view_summary summary() const;

    /// A peer holds this view: adopts it if it is newer.
    void on_peer_view(support::endpoint from, const peer::view_summary& theirs);

    /// Whether the view was found complete since the process last stood still.
    bool is_confirmed() const;
    void on_resumed();

private:
    void on_store_update();
    void take(routing::operator_view view, absl::string_view source);
    void fetch(support::endpoint from);
    http::response answer_peer(const http::request& ask) const;

    process& owner;
    std::function<void()> changed;
    routing::routing_state state;
    follower_driver follower;
    http::server server;
    std::unique_ptr<http::client> fetching;
    peer::view_fetch_policy view_fetch_policy;
    support::instant resumed_at;
};

} // namespace guavastair::relay

#endif
