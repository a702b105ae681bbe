/// The control plane of one process. Connects membership, documents and the
/// configuration store, and owns the control socket, its timers and threads.
///
/// Membership messages are sent in sealed UDP datagrams. A few members of each
/// data centre watch the store for documents. The others pull documents from
/// peers with Cap'n Proto RPC over TCP, on the same port number as UDP.

#ifndef GUAVASTAIR_CONTROL_HPP
#define GUAVASTAIR_CONTROL_HPP

#include <guavastair/config.hpp>
#include <guavastair/membership.hpp>
#include <guavastair/store.hpp>
#include <guavastair/support.hpp>
#include <guavastair/wire.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavastair::control {

/// The state of the control plane at one point in time. Immutable once
/// published.
struct snapshot {
    membership::node_record self;
    /// All other members, ordered by id.
    std::vector<membership::member_view> members;
    /// Ordered by name.
    std::vector<std::shared_ptr<const config::service_document>> services;
    /// Ordered by name.
    std::vector<support::data_centre_name> withdrawn;
    /// The snapshot includes every change up to this revision.
    support::revision complete_up_to;
    /// Whether this process cannot reach most other members. `members` is then
    /// the view from before the isolation.
    bool is_isolated = false;
};

struct options {
    /// The record of this process. The control plane sets the incarnation and,
    /// if the id is 0, a random id.
    membership::node_record self;
    wire::shared_key key;
    /// Membership options; the seeds are the addresses to join through.
    membership::options group;
    support::duration tick = support::milliseconds(50);
    /// Client of the store; null if this process never connects to the store.
    /// Must outlive the control plane.
    store::client* store = nullptr;
    store::watcher_options watcher;
    /// Number of members per data centre that watch the store.
    std::size_t watchers_per_data_centre = 2;
    /// Number of beacons per data centre: leased keys in the store that hold
    /// the control address of a member, for processes that want to join.
    std::size_t beacons_per_data_centre = 3;
    support::duration beacon_lease = support::seconds(30);
};

/// Number and total size of messages.
struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

struct counters {
    /// Datagrams, by kind of membership message.
    std::array<traffic, membership::message_kind_count> sent;
    std::array<traffic, membership::message_kind_count> received;
    /// Responses received to this process's pulls.
    traffic pulls_sent;
    traffic pulls_answered;
    std::uint64_t failed_pulls = 0;
    /// Datagrams that could not be sent because the socket reported an error.
    std::uint64_t failed_sends = 0;
    /// Datagrams and requests that could not be decoded.
    std::uint64_t malformed = 0;
    /// Datagrams and requests that failed authentication.
    std::uint64_t forged = 0;
    std::uint64_t replayed = 0;
    membership::counters group;
};

/// The control plane of one process. All functions are thread-safe.
class control_plane {
public:
    /// Called on the control thread after each published snapshot.
    using change_callback =
        std::function<void(const std::shared_ptr<const snapshot>&)>;
    /// Called on the control thread for each membership action, for the log.
    /// Messages to send are not reported.
    using action_callback = std::function<void(const membership::action&)>;

    /// `time` must outlive the control plane.
    control_plane(options settings, const support::clock& time);
    /// Stops the control plane if it is still running.
    ~control_plane();

    /// The callbacks must be set before start().
    void on_change(change_callback callback);
    void on_action(action_callback callback);

    /// Binds UDP and TCP at self.control and starts the threads. Fails with
    /// error_kind::address_in_use.
    absl::Status start();

    /// Announces that this process leaves the group, then ends the threads.
    void stop();

    void set_state(membership::member_state state);

    /// Changes the weight that this process advertises.
    void set_weight(std::uint32_t weight);

    /// Records the revision that this process's data path has applied. Members
    /// see it in the record of this process.
    void set_applied(support::revision applied);

    /// Applies documents from another source, such as a test or a tool.
    void deliver(const config::change_set& changes);

    std::shared_ptr<const snapshot> current() const;

    counters count() const;

    /// Returns the time since the store last responded to this process, or
    /// nullopt if this process does not watch the store.
    std::optional<support::duration> time_since_store_answer() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

/// Reads a key file: the key is its first line. Fails with
/// error_kind::invalid_input if it is shorter than wire::min_key_size.
absl::StatusOr<wire::shared_key> load_key(const std::string& path);

/// Returns the record that a process with these settings advertises.
membership::node_record make_record(const config::balancer_settings& settings);
membership::node_record make_record(const config::agent_settings& settings);

/// Returns the control plane's options without the key and the store, which
/// the caller sets.
options make_options(const config::common_settings& settings,
                     membership::node_record self);

/// Formats a membership action as one log line of key=value fields.
std::string to_log_line(const membership::action& decided);

} // namespace guavastair::control

#endif
