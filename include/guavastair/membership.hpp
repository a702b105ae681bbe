/// Who is there: SWIM-style failure detection and dissemination with
/// Lifeguard's refinements, split by data centre.
///
/// Members of one data centre probe each other. A few relays of each data
/// centre, the live members with the lowest ids, pass changes on to the relays
/// of the other data centres. Every member holds every record.
///
/// Decisions only: no I/O, no clock, no threads. A shell feeds in the time and
/// the messages and carries out the actions.

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

/// What a process does.
enum class role : std::uint8_t { balancer, agent };

/// What a member says of itself.
enum class member_state : std::uint8_t { joining, ready, draining, left };

/// What the others observe of a member. `failed` is final for an incarnation;
/// a live process refutes it with a higher one.
enum class liveness : std::uint8_t { alive, suspect, failed };

absl::string_view to_string(role value);
absl::string_view to_string(member_state value);
absl::string_view to_string(liveness value);

/// What a member announces. Only the member itself changes its record, and
/// raises the incarnation whenever it does.
struct node_record {
    support::member_id id;
    support::node_name name;
    membership::role role = role::balancer;
    support::data_centre_name data_centre;
    /// Where the member takes control messages.
    support::endpoint control;
    /// Where the member takes frames with callers' packets.
    support::endpoint data;
    /// The service of an agent's backend server; empty for a balancer.
    support::service_name service;
    /// Slots of an agent's backend server; 0 for a balancer.
    std::uint32_t weight = 0;
    member_state state = member_state::joining;
    /// Starts at the process's start in seconds since the Unix epoch, so that
    /// of two processes under one name or address the later one is known.
    std::uint32_t incarnation = 0;
    /// The revision of configuration in force at the member. Travels at once in
    /// a small fleet, seldom in a large one.
    support::revision applied;
    /// Whether the settings let this member watch the store.
    bool may_watch_store = false;
    /// Data centres that this member, a relay, cannot reach.
    std::vector<support::data_centre_name> unreachable;

    bool operator==(const node_record&) const = default;
};

/// A member as this process sees it.
struct member_view {
    node_record record;
    membership::liveness liveness = liveness::alive;
    /// False if most relays of this process's data centre cannot reach the
    /// member's data centre.
    bool reachable = true;

    bool operator==(const member_view&) const = default;
};

/// Whether the member is there: neither failed, left nor out of reach.
bool is_present(const member_view& member);

/// Whether the member is there and takes new work.
bool takes_new_work(const member_view& member);

// ------------------------------------------------------------ messages

enum class message_kind : std::uint8_t {
    ping,
    ack,
    /// Asks the receiver to probe `target` and to pass its ack on.
    ping_request,
    /// The receiver of a ping_request got no ack in time.
    nack,
    /// Carries changes only.
    gossip,
    /// Hashes of the live records held, by bucket.
    digest,
    /// Versions of the live records held in buckets whose hashes differ.
    versions,
    /// Asks for the records of `wanted`.
    pull,
    /// Answers a pull, or brings records that the receiver's versions lack.
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

/// The version of one record, as compared by anti-entropy.
struct record_version {
    support::member_id member;
    std::uint32_t incarnation = 0;

    bool operator==(const record_version&) const = default;
};

/// Everything that members say to each other. Fields that a kind does not use
/// are empty; any kind may carry records and verdicts.
struct message {
    message_kind kind = message_kind::gossip;
    support::member_id sender;
    /// The revision up to which the sender holds every configuration change.
    support::revision revision;
    /// Matches ack and nack to ping and ping_request.
    std::uint32_t sequence = 0;
    /// The member that a ping or ping_request is for; 0 for whoever is at the
    /// address.
    support::member_id target;
    std::vector<node_record> records;
    std::vector<verdict> verdicts;
    /// Of digest: one hash for each bucket; their number is a power of two.
    std::vector<std::uint32_t> bucket_hashes;
    /// Of versions: the buckets covered, out of `bucket_count`.
    std::uint16_t bucket_count = 0;
    std::vector<std::uint16_t> buckets;
    std::vector<record_version> versions;
    std::vector<support::member_id> wanted;

    bool operator==(const message&) const = default;
};

/// Upper bound of an encoded and sealed message, in bytes.
inline constexpr std::size_t max_datagram_size = 1200;

/// Upper bound of the size that wire::encode() gives `body`, in bytes.
std::size_t size_bound(const message& body);

// ------------------------------------------------------------- actions

/// Send `body` to `to`.
struct send_message {
    support::endpoint to;
    message body;
};

/// The view of one member changed, or it was forgotten.
struct member_changed {
    member_view member;
    bool forgotten = false;
};

/// A data centre came within reach or went out of it, seen from this one.
struct data_centre_changed {
    support::data_centre_name data_centre;
    bool reachable = true;
};

/// Another live process uses this process's name or control address.
struct name_conflict {
    node_record other;
};

using action = std::variant<send_message, member_changed, data_centre_changed,
                            name_conflict>;

// --------------------------------------------------------------- group

/// Times and bounds. The defaults serve every size.
struct options {
    support::duration probe_interval = support::milliseconds(500);
    /// Members of the own data centre probed in each interval.
    std::size_t probes_per_interval = 2;
    /// Wait for a direct ack; as long again for an indirect one.
    support::duration ack_timeout = support::milliseconds(200);
    std::size_t indirect_probes = 3;
    /// Suspicion ends after this long once enough members confirm it.
    support::duration suspicion_min = support::milliseconds(1000);
    /// Suspicion ends after this long without any confirmation.
    support::duration suspicion_max = support::milliseconds(1500);
    /// How often news goes to others while there is any.
    support::duration gossip_interval = support::milliseconds(200);
    std::size_t gossip_fanout = 3;
    /// Each record is sent retransmit_factor * ceil(log10(members + 1)) times.
    std::size_t retransmit_factor = 3;
    support::duration anti_entropy_interval = support::seconds(10);
    /// Relays of each data centre.
    std::size_t relays = 3;
    /// Silence after which a relay counts a data centre as out of reach.
    support::duration unreachable_timeout = support::milliseconds(2000);
    /// How long failed and left members are remembered.
    support::duration tombstone_lifetime = support::seconds(7200);
    /// Bytes a second for gossip and anti-entropy, without probes.
    std::size_t gossip_bytes_per_second = 10'000;
    /// Scale timeouts by the local health, and shrink suspicion by
    /// confirmations.
    bool lifeguard = true;
    /// Where to join while no other member is known.
    std::vector<support::endpoint> seeds;
};

/// What a group has done since its start.
struct counters {
    std::uint64_t probes = 0;
    std::uint64_t failed_probes = 0;
    std::uint64_t suspicions = 0;
    /// Members that this process itself declared failed.
    std::uint64_t declared_failed = 0;
    /// Times this process refuted a verdict about itself.
    std::uint64_t refutations = 0;
    std::uint64_t digests_sent = 0;
    std::uint64_t records_repaired = 0;
};

/// One process's part in the membership protocol.
///
/// A process that gets no answer from more than half of the members it probed
/// lately is isolated: it declares nobody failed and no data centre out of
/// reach until answers come again, so a cut-off process keeps its last view.
class group {
public:
    /// Joins through `settings.seeds` as `self`. `seed` feeds the choice of
    /// whom to probe and gossip with.
    group(options settings, node_record self, std::uint64_t seed,
          support::instant now);
    ~group();
    group(group&&) noexcept;
    group& operator=(group&&) noexcept;

    /// Does what is due. Call every 50 to 100 ms.
    std::vector<action> tick(support::instant now);

    /// Takes a message that passed authentication.
    std::vector<action> receive(support::instant now, support::endpoint from,
                                const message& received);

    /// Announces a new state. `left` is the last one: call tick() a few more
    /// times to spread it, then stop.
    std::vector<action> set_state(support::instant now, member_state state);

    /// Announces a new weight of an agent's backend server.
    std::vector<action> set_weight(support::instant now, std::uint32_t weight);

    /// Tells which revision is held completely (sent with every message) and
    /// which is in force here (announced in the record).
    void set_revision(support::revision complete_revision,
                      support::revision applied);

    /// Adds addresses to join through.
    void add_seeds(const std::vector<support::endpoint>& seeds);

    const node_record& self() const;

    /// All members except this process, failed and left ones included, in the
    /// order of their ids.
    std::vector<member_view> members() const;

    std::optional<member_view> find(support::member_id id) const;

    /// Whether this process is cut off from most others.
    bool is_isolated() const;

    /// The relays of `data_centre`, this process included.
    std::vector<support::member_id>
    relays(const support::data_centre_name& data_centre) const;

    bool is_reachable(const support::data_centre_name& data_centre) const;

    counters count() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace guavastair::membership

#endif
