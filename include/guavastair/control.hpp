/// The control plane of one process: a shell round membership, documents and
/// the store. It owns the control socket, its timers and its threads.
///
/// Membership travels over sealed UDP datagrams. Documents are pulled from
/// peers over Cap'n Proto RPC on the TCP port of the same number, and come
/// from the store at the few members of each data centre that watch it.

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

/// What one process knows at one moment. Never changes once published.
struct snapshot {
    membership::node_record self;
    /// Every other member, in the order of their ids.
    std::vector<membership::member_view> members;
    /// Ordered by name.
    std::vector<std::shared_ptr<const config::service_document>> services;
    /// Ordered by name.
    std::vector<support::data_centre_name> withdrawn;
    /// Every change up to this revision is in this snapshot.
    support::revision complete_up_to;
    /// Whether this process is cut off from most others, so that `members` is
    /// its last view before that.
    bool isolated = false;
};

struct options {
    /// The process's own record; id, incarnation and state are filled in by
    /// the control plane.
    membership::node_record self;
    wire::shared_key key;
    /// Group options; seeds are the addresses to join through.
    membership::options group;
    support::duration tick = support::milliseconds(50);
    /// Client of the store; null for a process that never talks to it. Must
    /// outlive the control plane.
    store::client* store = nullptr;
    store::watcher_options watcher;
    /// Members of each data centre that watch the store at the same time.
    std::size_t watchers_per_data_centre = 2;
    /// Leased keys in the store by which each data centre can be found.
    std::size_t beacons_per_data_centre = 3;
    support::duration beacon_lease = support::seconds(30);
};

/// Datagrams and bytes, by kind of membership message.
struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

struct counters {
    std::array<traffic, membership::message_kind_count> sent;
    std::array<traffic, membership::message_kind_count> received;
    traffic pulls_sent;
    traffic pulls_answered;
    std::uint64_t failed_pulls = 0;
    /// Datagrams that the socket refused to send.
    std::uint64_t failed_sends = 0;
    /// Datagrams and requests that could not be decoded.
    std::uint64_t malformed = 0;
    /// Datagrams and requests that failed authentication.
    std::uint64_t forged = 0;
    std::uint64_t replayed = 0;
    membership::counters group;
};

/// One process's control plane. All functions are thread-safe.
class control_plane {
public:
    /// Called on the control thread after each published snapshot.
    using change_callback =
        std::function<void(const std::shared_ptr<const snapshot>&)>;
    /// Called on the control thread for each decision of the group, for the
    /// log. Messages to send are not reported.
    using action_callback = std::function<void(const membership::action&)>;

    /// `time` must outlive the control plane.
    control_plane(options settings, const support::clock& time);
    /// Stops if it still runs.
    ~control_plane();

    /// Both are to be set before start().
    void on_change(change_callback callback);
    void on_action(action_callback callback);

    /// Binds UDP and TCP at self.control and starts the threads. Fails with
    /// error_kind::address_in_use.
    absl::Status start();

    /// Announces that this process has left, and ends the threads.
    void stop();

    void set_state(membership::member_state state);

    /// Changes the weight that the record announces.
    void set_weight(std::uint32_t weight);

    /// Tells which revision this process's data path now follows.
    void set_applied(support::revision applied);

    /// Takes in documents from elsewhere, as a test or a tool may have them.
    void deliver(const config::change_set& changes);

    std::shared_ptr<const snapshot> current() const;

    counters count() const;

    /// How long ago the store last answered this process, or nothing if it
    /// does not watch the store.
    std::optional<support::duration> time_since_store_answer() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

/// Reads a key file: the key is its first line. Fails with
/// error_kind::invalid_input if it is shorter than wire::min_key_size.
absl::StatusOr<wire::shared_key> load_key(const std::string& path);

/// The record that a process with these settings announces.
membership::node_record make_record(const config::balancer_settings& settings);
membership::node_record make_record(const config::agent_settings& settings);

/// Control-plane options from settings, except for key and store.
options make_options(const config::common_settings& settings,
                     membership::node_record self);

/// One line, key=value, for the log: what the group decided.
std::string to_log_line(const membership::action& decided);

} // namespace guavastair::control

#endif
