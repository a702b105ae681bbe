/// Keeps the operators' view up to date, from the store and from peers.

#ifndef GUAVASTAIR_LIB_RELAY_VIEW_SYNCHRONIZER_HPP
#define GUAVASTAIR_LIB_RELAY_VIEW_SYNCHRONIZER_HPP

#include "process_context.hpp"
#include "store_drivers.hpp"

#include <guavastair/http.hpp>
#include <guavastair/routing.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace guavastair::relay {

class view_synchronizer {
public:
    /// `watch_time` bounds one watch of the store; `on_change` is called
    /// whenever the view in force changed.
    view_synchronizer(process_context& shared_context,
                      support::duration watch_time,
                      std::function<void()> change_callback);

    /// Begins to follow the store and to answer peers.
    absl::Status start();

    const routing::routing_state& active_routing() const;
    peer::view_summary summary() const;

    /// A peer holds this view: adopts it if it is newer.
    void on_peer_view(support::endpoint from,
                      const peer::view_summary& peer_summary);

    /// Whether the view was found complete since the process last stood still.
    bool is_confirmed() const;
    void on_resumed();

private:
    void on_store_update();
    void adopt_view(routing::operator_view view, absl::string_view source);
    void fetch_view(support::endpoint from);
    http::response handle_peer_request(const http::request& request) const;

    process_context& context;
    std::function<void()> on_change;
    routing::routing_state state;
    follower_driver follower;
    http::server server;
    std::unique_ptr<http::client> fetch_client;
    peer::catch_up catch_up;
    support::instant resumed_at;
};

} // namespace guavastair::relay

#endif
