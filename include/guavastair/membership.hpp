/// Group membership: SWIM-style failure detection and dissemination with
/// Lifeguard's refinements, partitioned by data centre.
///
/// Members of one data centre probe each other. A few relays of each data
/// centre, the live members with the lowest ids, forward changes to the relays
/// of the other data centres. Every member holds every record.
///
/// The library does no I/O, reads no clock and starts no threads. The caller of
/// its functions passes in the time and the messages received, and carries out
/// the actions returned.

#ifndef GUAVASTAIR_MEMBERSHIP_HPP
#define GUAVASTAIR_MEMBERSHIP_HPP

#include <guavastair/support.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace guavastair::membership {

// ------------------------------------------------------------- records

/// The part that a process plays in the fleet.
enum class role : std::uint8_t { balancer, agent };

/// The lifecycle state that a member announces.
enum class member_state : std::uint8_t { joining, ready, draining, left };

/// The liveness of a member as observed by others. `failed` is final for an
/// incarnation; a live process refutes it with a higher one.
enum class liveness : std::uint8_t { alive, suspect, failed };

absl::string_view to_string(role value);
absl::string_view to_string(member_state value);
absl::string_view to_string(liveness value);

/// The record that a member announces. Only the member itself changes it, and
/// it raises the incarnation with each change.
struct node_record {
    support::member_id id;
    support::node_name name;
    membership::role role = role::balancer;
    support::data_centre_name data_centre;
    /// The endpoint for control messages.
    support::endpoint control;
    /// The endpoint for frames that carry callers' packets.
    support::endpoint data;
    /// The service of an agent's backend server; empty for a balancer.
    support::service_name service;
    /// Number of slots of an agent's backend server; 0 for a balancer.
    std::uint32_t weight = 0;
    member_state state = member_state::joining;
    /// Initially the start time of the process in seconds since the Unix epoch,
    /// so that of two processes with one name or address the one that started
    /// later prevails.
    std::uint32_t incarnation = 0;
    /// The configuration revision applied at the member. A small fleet
    /// announces it at once; a large one limits the rate.
    support::revision applied;
    /// Whether the settings allow this member to watch the configuration store.
    bool may_watch_store = false;
    /// Data centres that this member cannot reach; empty unless it is a relay.
    std::vector<support::data_centre_name> unreachable;

    bool operator==(const node_record&) const = default;
};

/// A member as observed by this process.
struct member_view {
    node_record record;
    membership::liveness liveness = liveness::alive;
    /// False if most relays of this process's data centre cannot reach the
    /// member's data centre.
    bool reachable = true;

    bool operator==(const member_view&) const = default;
};

/// Whether the member is reachable and has neither failed nor left.
bool is_present(const member_view& member);

/// Whether the member is reachable, alive and ready, so that it accepts new
/// work.
bool takes_new_work(const member_view& member);

// ------------------------------------------------------------ messages

enum class message_kind : std::uint8_t {
    ping,
    ack,
    /// Requests that the receiver probe `target` and forward its ack.
    ping_request,
    /// Reports that the receiver of a ping_request got no ack in time.
    nack,
    /// Carries records and verdicts only.
    gossip,
    /// Carries hashes of the sender's live records, by bucket.
    digest,
    /// Answers a digest with the versions of the live records in the buckets
    /// whose hashes differ.
    versions,
    /// Requests the records of `wanted`.
    pull,
    /// Answers a pull, or carries records that are missing or outdated at the
    /// receiver.
    records,
};

/// Number of values in message_kind.
inline constexpr std::size_t message_kind_count = 9;

absl::string_view to_string(message_kind kind);

/// An observation of one member's incarnation.
struct verdict {
    support::member_id member;
    std::uint32_t incarnation = 0;
    membership::liveness liveness = liveness::alive;
    /// The member that first made the observation.
    support::member_id accuser;

    bool operator==(const verdict&) const = default;
};

/// The version of one record, for comparison by anti-entropy.
struct record_version {
    support::member_id member;
    std::uint32_t incarnation = 0;

    bool operator==(const record_version&) const = default;
};

/// A message between members. Fields that a kind does not use are empty. Any
/// kind may carry records and verdicts.
struct message {
    message_kind kind = message_kind::gossip;
    support::member_id sender;
    /// The revision up to which the sender holds all configuration changes.
    support::revision revision;
    /// Matches ack and nack to ping and ping_request.
    std::uint32_t sequence = 0;
    /// The member that a ping or ping_request is for, or 0 for any member at
    /// the address. In an ack or nack, the member that was pinged.
    support::member_id target;
    std::vector<node_record> records;
    std::vector<verdict> verdicts;
    /// In a digest: one hash for each bucket; their number is a power of two.
    std::vector<std::uint32_t> bucket_hashes;
    /// In a versions message: the buckets covered, out of `bucket_count`.
    std::uint16_t bucket_count = 0;
    std::vector<std::uint16_t> buckets;
    std::vector<record_version> versions;
    /// Members whose records the sender requests.
    std::vector<support::member_id> wanted;

    bool operator==(const message&) const = default;
};

/// Upper bound of an encoded and sealed message, in bytes.
inline constexpr std::size_t max_datagram_size = 1200;

/// Upper bound of the size that wire::encode() gives `body`, in bytes.
std::size_t size_bound(const message& body);

// ------------------------------------------------------------- actions

/// Requests that `body` be sent to `to`.
struct send_message {
    support::endpoint to;
    message body;
};

/// Reports that the view of a member changed or, if `forgotten`, that the
/// tombstone of the member was removed.
struct member_changed {
    member_view member;
    bool forgotten = false;
};

/// Reports that a data centre became reachable or unreachable from this one.
struct data_centre_changed {
    support::data_centre_name data_centre;
    bool reachable = true;
};

/// Reports another process with this process's name or control address.
struct name_conflict {
    node_record other;
};

using action = std::variant<send_message, member_changed, data_centre_changed,
                            name_conflict>;

// --------------------------------------------------------------- group

/// Intervals, timeouts and limits. The defaults suit fleets of any size.
struct options {
    support::duration probe_interval = support::milliseconds(500);
    /// Members of the local data centre probed in each interval.
    std::size_t probes_per_interval = 2;
    /// Timeout for a direct ack, and then again for an indirect one.
    support::duration ack_timeout = support::milliseconds(200);
    /// Members that are sent a ping_request for a probe that timed out.
    std::size_t indirect_probes = 3;
    /// Duration of a suspicion that enough members confirm. In a data centre of
    /// more than 10 members both durations grow with log10(members).
    support::duration suspicion_min = support::milliseconds(1000);
    /// Duration of a suspicion that no other member confirms.
    support::duration suspicion_max = support::milliseconds(1500);
    /// Interval at which queued updates are sent.
    support::duration gossip_interval = support::milliseconds(200);
    /// Members that receive updates in each interval.
    std::size_t gossip_fanout = 3;
    /// Each update is sent retransmit_factor * ceil(log10(members + 1)) times.
    std::size_t retransmit_factor = 3;
    support::duration anti_entropy_interval = support::seconds(10);
    /// Number of relays in each data centre.
    std::size_t relays = 3;
    /// A relay reports a data centre as unreachable if it has received nothing
    /// from it for this long.
    support::duration unreachable_timeout = support::milliseconds(2000);
    /// Time for which failed and left members are kept.
    support::duration tombstone_lifetime = support::seconds(7200);
    /// Budget for gossip and anti-entropy in bytes/s. Probes do not count.
    std::size_t gossip_bytes_per_second = 10'000;
    /// Scales timeouts by the local health score, and shortens suspicions that
    /// are confirmed.
    bool lifeguard = true;
    /// Addresses of members to join through. Also probed later, to find a fleet
    /// that lost contact.
    std::vector<support::endpoint> seeds;
};

/// Event counts since the start of a group.
struct counters {
    std::uint64_t probes = 0;
    std::uint64_t failed_probes = 0;
    std::uint64_t suspicions = 0;
    /// Members that this process itself declared failed.
    std::uint64_t declared_failed = 0;
    /// Times this process refuted a verdict about itself.
    std::uint64_t refutations = 0;
    std::uint64_t digests_sent = 0;
    /// Records added or updated by a records message.
    std::uint64_t records_repaired = 0;
};

/// The membership protocol of one process.
///
/// A process is isolated if more than half of the members that it probed
/// recently did not answer; a relay also counts the members of other data
/// centres. An isolated process declares no member failed and no data centre
/// unreachable, so it keeps its last view until answers arrive again.
class group {
public:
    /// Joins through `settings.seeds` as `self`. `seed` initialises the random
    /// selection of members to probe and to gossip with.
    group(options settings, node_record self, std::uint64_t seed,
          support::instant now);
    ~group();
    group(group&&) noexcept;
    group& operator=(group&&) noexcept;

    /// Runs the timers that are due. Call every 50 to 100 ms; a gap of more
    /// than 1 s counts as a pause of this process.
    std::vector<action> tick(support::instant now);

    /// Handles a message that passed authentication.
    std::vector<action> receive(support::instant now, support::endpoint from,
                                const message& received);

    /// Announces a new state. `left` is final: call tick() a few more times to
    /// disseminate it, then stop.
    std::vector<action> set_state(support::instant now, member_state state);

    /// Announces a new weight of an agent's backend server.
    std::vector<action> set_weight(support::instant now, std::uint32_t weight);

    /// Sets the revision up to which all configuration changes are held, which
    /// every message carries, and the revision applied here, which the record
    /// announces.
    void set_revision(support::revision complete_revision,
                      support::revision applied);

    /// Adds addresses to join through; ignores those already present.
    void add_seeds(const std::vector<support::endpoint>& seeds);

    const node_record& self() const;

    /// All members except this process, failed and left ones included, in the
    /// order of their ids.
    std::vector<member_view> members() const;

    std::optional<member_view> find(support::member_id id) const;

    /// Whether this process is cut off from most other members.
    bool is_isolated() const;

    /// The relays of `data_centre`, which may include this process.
    std::vector<support::member_id>
    relays(const support::data_centre_name& data_centre) const;

    /// Whether `data_centre` is reachable from the data centre of this process.
    bool is_reachable(const support::data_centre_name& data_centre) const;

    counters count() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace guavastair::membership

#endif
