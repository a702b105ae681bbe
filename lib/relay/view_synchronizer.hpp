/// Synchronizes the operators' view with the store and with peers.

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

/// Numbers of views requested from peers since the process started.
struct view_fetch_counts {
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
};

/// Holds the operators' view that is in force in this process. Updates it from
/// the store or from a peer with a newer view, and serves it to peers.
class view_synchronizer {
public:
    /// `watch_time` is the maximum duration of one watch of the store.
    /// `change_callback` is called after the view in force has changed.
    view_synchronizer(process_context& shared_context,
                      support::duration watch_time,
                      std::function<void()> change_callback);

    /// Starts to follow the store and to serve the view to peers. Fails if the
    /// peers' address cannot be bound.
    absl::Status start();

    const routing::routing_state& active_routing() const;
    peer::view_summary summary() const;

    /// Processes a peer's summary of its view. Confirms this process's view if
    /// both are equal, or fetches the peer's view if that is newer.
    void on_peer_view(support::endpoint from,
                      const peer::view_summary& peer_summary);

    /// Fetches the view of a peer that has a newer configuration at once,
    /// because a packet waits for it.
    void fetch_newer_configuration(support::endpoint peer,
                                   support::revision config_revision);

    /// Fetches the newest configuration that a peer has announced at once,
    /// because a packet waits for it.
    void fetch_announced_configuration();

    /// Whether the view has been confirmed as complete since the process
    /// started or last resumed after a pause.
    bool is_confirmed() const;

    view_fetch_counts fetches() const;

    /// Notes that the process has resumed after a pause.
    void on_resumed();

private:
    void on_store_update();
    void adopt_view(routing::operator_view view, absl::string_view source);
    void fetch_view(support::endpoint from);
    bool is_fetching() const;
    void on_announcement(support::endpoint from,
                         support::revision config_revision);
    void log_fetch(absl::string_view event, support::endpoint from,
                   support::instant started_at, const absl::Status& failure);
    http::response handle_peer_request(const http::request& request) const;

    process_context& context;
    std::function<void()> on_change;
    routing::routing_state state;
    follower_driver follower;
    http::server server;
    std::unique_ptr<http::client> fetch_client;
    peer::view_fetch_policy view_fetch_policy;
    view_fetch_counts fetch_counts;
    /// The peer that announced the latest newer configuration.
    support::endpoint announcer;
    support::instant resumed_at;
};

} // namespace guavastair::relay

#endif
