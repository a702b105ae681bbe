/// The implementation of control::control_plane.

#ifndef GUAVASTAIR_LIB_CONTROL_CONTROL_PLANE_IMPL_HPP
#define GUAVASTAIR_LIB_CONTROL_CONTROL_PLANE_IMPL_HPP

#include "documents.hpp"
#include "peer_server.hpp"
#include "puller.hpp"
#include "store_worker.hpp"

#include <guavastair/control.hpp>

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace guavastair::control {

/// Counters of membership datagrams.
struct datagram_counters {
    std::array<traffic, membership::message_kind_count> sent;
    std::array<traffic, membership::message_kind_count> received;
    std::uint64_t malformed = 0;
    std::uint64_t failed_sends = 0;
};

class control_plane::impl {
public:
    impl(options settings, const support::clock& time);

    absl::Status start();
    void stop();
    void set_state(membership::member_state state);
    void set_weight(std::uint32_t weight);
    void set_applied(support::revision revision);
    bool deliver(const config::change_set& changes);
    void deliver_from_peer(const config::change_set& changes);
    std::shared_ptr<const snapshot> current() const;
    counters count() const;

    control_plane::change_callback change_callback;
    control_plane::action_callback action_callback;
    std::unique_ptr<store_worker> worker;

private:
    absl::Status bind(support::endpoint control);
    absl::Status bind_any();
    void start_store_worker();
    void run();
    void receive_datagrams();
    void handle_datagram(wire::byte_view datagram, support::endpoint from);
    support::endpoint sender_address(const membership::message& body,
                                     support::endpoint from) const;
    void pull_if_behind(const membership::message& body,
                        support::endpoint sender);
    void execute(const std::vector<membership::action>& actions);
    void transmit(const membership::send_message& sent);
    void report_actions();
    void publish_if_due();
    void publish();
    void update_store_duties();
    std::optional<support::endpoint> address_of(support::member_id id) const;

    options settings;
    const support::clock& time;
    wire::sender_identity identity;
    Poco::Net::DatagramSocket socket;
    documents local_documents;
    std::unique_ptr<peer_server> server;
    std::unique_ptr<puller> pull;
    support::instant started;
    std::atomic<bool> stopping = false;

    /// Guards the members up to `next_publish`.
    mutable std::mutex mutex;
    std::unique_ptr<membership::group> members;
    std::unique_ptr<wire::sealer> seal;
    std::unique_ptr<wire::opener> open;
    datagram_counters counts;
    support::revision applied;
    std::vector<membership::action> unreported_actions;
    bool is_dirty = false;
    bool was_published_isolated = false;
    support::instant next_publish;

    mutable std::mutex published_mutex;
    std::shared_ptr<const snapshot> published;

    std::thread thread;
};

} // namespace guavastair::control

#endif
