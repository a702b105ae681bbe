/// What becomes of one packet: reading its headers, framing it for the way
/// between our processes, the balancer's decision and the agent's decision.
///
/// The balancer keeps no flow state. The agent beside a backend server owns
/// the flows that live there; a packet that arrives at another agent is passed
/// on along the candidates listed in its frame until the owner has it.
///
/// Nothing here does I/O, reads a clock, starts a thread or writes a log. The
/// functions for every packet allocate nothing.

#ifndef GUAVASTAIR_FLOW_HPP
#define GUAVASTAIR_FLOW_HPP

#include <guavastair/placement.hpp>
#include <guavastair/support.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace guavastair::flow {

// --------------------------------------------------------------- drops

/// Every reason for which a packet or frame goes no further. The list is
/// closed; the names are those of logs and metrics.
enum class drop_reason : std::uint8_t {
    none,
    truncated,
    oversized,
    not_ipv4,
    bad_header_length,
    bad_total_length,
    bad_header_checksum,
    fragment,
    not_tcp,
    bad_tcp_header,
    bad_tcp_checksum,
    frame_truncated,
    frame_not_gue,
    frame_bad_length,
    frame_bad_protocol,
    frame_bad_version,
    frame_bad_candidates,
    frame_bad_hop,
    unknown_service,
    no_candidates,
    foreign_service,
    hop_limit,
    owner_not_found,
};

/// Number of values in drop_reason.
inline constexpr std::size_t drop_reason_count = 23;

/// Stable name of `reason`.
absl::string_view to_string(drop_reason reason);

/// A value read from bytes, or the reason why there is none.
template <typename Value> struct parsed {
    drop_reason reason = drop_reason::none;
    /// Meaningful only if ok().
    Value value{};

    bool ok() const noexcept {
        return this->reason == drop_reason::none;
    }
};

// ------------------------------------------------------------- packets

/// The two ends of a flow.
struct flow_key {
    support::endpoint caller;
    support::endpoint service;

    auto operator<=>(const flow_key&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, flow_key key) {
        return Hash::combine(std::move(state), key.caller, key.service);
    }
};

/// The hash by which flows are put into buckets: XXH3 with a fixed seed, the
/// same in every process.
std::uint64_t flow_hash(const flow_key& key) noexcept;

/// The control bits of a TCP header.
struct tcp_flags {
    static constexpr std::uint8_t fin_bit = 0x01;
    static constexpr std::uint8_t syn_bit = 0x02;
    static constexpr std::uint8_t rst_bit = 0x04;
    static constexpr std::uint8_t ack_bit = 0x10;

    std::uint8_t bits = 0;

    bool fin() const noexcept {
        return (this->bits & fin_bit) != 0;
    }
    bool syn() const noexcept {
        return (this->bits & syn_bit) != 0;
    }
    bool rst() const noexcept {
        return (this->bits & rst_bit) != 0;
    }
    bool ack() const noexcept {
        return (this->bits & ack_bit) != 0;
    }

    /// Whether the packet asks for a new flow: SYN without ACK.
    bool is_initial_syn() const noexcept {
        return this->syn() && !this->ack();
    }

    bool operator==(const tcp_flags&) const = default;
};

/// The part of an IPv4 packet with a TCP segment that decisions need.
struct packet {
    flow_key key;
    tcp_flags flags;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    /// TCP payload in bytes.
    std::uint16_t payload_size = 0;
};

/// Largest packet that is carried, in bytes.
inline constexpr std::size_t max_packet_size = 9000;

/// What parse_packet checks beyond the headers' shape.
struct parse_options {
    /// Also sums the whole segment. For agents; balancers leave it to them.
    bool verify_tcp_checksum = false;
};

/// Reads an IPv4 packet that carries TCP. `bytes` is the packet and nothing
/// else: its total length must equal bytes.size().
parsed<packet> parse_packet(std::span<const std::byte> bytes,
                            parse_options options = {}) noexcept;

/// Size of the packet that encode_reset writes, in bytes.
inline constexpr std::size_t reset_packet_size = 40;

/// Writes the IPv4 packet with a TCP reset that answers `cause`, from the
/// service to the caller. `cause` must not carry RST itself.
void encode_reset(const packet& cause,
                  std::span<std::byte, reset_packet_size> out) noexcept;

// -------------------------------------------------------------- frames

/// Most candidates in a frame.
inline constexpr std::size_t max_frame_candidates = placement::max_candidates;

/// Most times that a packet is passed on between agents.
inline constexpr std::uint8_t max_passes = 15;

/// The header before a packet on its way between our processes: the candidates
/// in the order in which they are visited and how far it got.
struct frame_header {
    placement::candidate_list candidates;
    /// Index of the candidate that the frame is sent to.
    std::uint8_t hop = 0;
    /// How often agents have passed the packet on.
    std::uint8_t passes = 0;
    /// Whether an agent has replaced the balancer's candidates, all of them
    /// visited, by others of its own view. Done at most once.
    bool extended = false;
};

/// Size of the largest frame header in bytes.
inline constexpr std::size_t max_frame_header_size = 120;

/// Size of the largest frame in bytes.
inline constexpr std::size_t max_frame_size =
    max_frame_header_size + max_packet_size;

/// Writes `header` as a GUE variant 0 header whose private data it is, and
/// returns the size in bytes. The packet follows it in the same datagram.
/// `header` must be one that parse_frame would accept.
std::size_t
encode_frame_header(const frame_header& header,
                    std::span<std::byte, max_frame_header_size> out) noexcept;

/// A frame taken apart.
struct frame {
    frame_header header;
    /// The packet in it, not yet looked at. Points into the frame's bytes.
    std::span<const std::byte> packet;
};

/// Reads one datagram. Accepts only what encode_frame_header writes.
parsed<frame> parse_frame(std::span<const std::byte> bytes) noexcept;

// ------------------------------------------------------------ balancer

enum class forward_kind : std::uint8_t { send, drop };

/// What a balancer does with one packet.
struct forward_action {
    forward_kind kind = forward_kind::drop;
    drop_reason reason = drop_reason::none;
    /// For send: where to send the frame.
    support::endpoint next;
    /// For send: bytes of `header` in use. The frame is these bytes, then the
    /// packet unchanged.
    std::size_t header_size = 0;
    std::array<std::byte, max_frame_header_size> header;
    /// The packet's headers, once they could be read; for the log line.
    packet headers;
    /// The service's table, if there is one; for the log line.
    const placement::service_table* service = nullptr;
};

/// The balancer's decision about one IPv4 packet from the fabric. Writes into
/// `action`, so that a batch reuses its memory.
void forward_decision(const placement::fleet_view& view,
                      std::span<const std::byte> bytes,
                      forward_action& action) noexcept;

// --------------------------------------------------------------- agent

/// Whether this agent's server can bear another flow.
enum class admission_decision : std::uint8_t {
    take,
    /// It can, but another would do better.
    prefer_other,
    /// It cannot.
    refuse,
};

absl::string_view to_string(admission_decision answer);

/// Answers for the server beside an agent. Asked only for opening packets of
/// flows that are not here.
class admission_policy {
public:
    virtual ~admission_policy() = default;

    virtual admission_decision decide_admission(support::instant now) = 0;
};

enum class action_kind : std::uint8_t {
    /// Give the packet to this agent's TCP stack.
    deliver,
    /// Send the frame with its new header to `next`.
    pass_on,
    /// Send the caller a reset (encode_reset).
    reset,
    /// Nothing.
    drop,
};

absl::string_view to_string(action_kind kind);

/// Why the agent decided so; for the log line.
enum class decision_basis : std::uint8_t {
    /// The flow lives here.
    owned,
    /// The packet opens a flow here.
    opened,
    /// The packet completes the handshake of a flow that was half-open here.
    completed,
    /// This agent passed the flow's opening packet to `next` before.
    redirected,
    /// An opening packet that another candidate should take.
    preferred_other,
    /// An opening packet that this server cannot bear, or that none could.
    refused,
    /// The flow does not live here; the next candidate may own it.
    not_owner,
    /// The frame was meant for a former agent at this address.
    wrong_member,
    /// Every candidate has been visited.
    exhausted,
    /// The packet or frame is not one that this agent serves.
    not_served,
};

absl::string_view to_string(decision_basis basis);

/// What an agent does with one packet.
struct agent_action {
    action_kind kind = action_kind::drop;
    decision_basis basis = decision_basis::not_served;
    /// For drop.
    drop_reason reason = drop_reason::none;
    /// For pass_on: the agent to send to.
    placement::candidate next;
    /// For pass_on: the header to encode before the unchanged packet.
    frame_header header;
};

/// Who an agent is.
struct agent_identity {
    support::member_id id;
    /// Where it receives frames.
    support::endpoint data;
    /// The address of the service whose flows it holds.
    support::endpoint service;
};

/// Bounds and times of a flow_table.
struct flow_table_settings {
    /// Most flows, half-open ones included.
    std::size_t max_flows = 100'000;
    std::size_t max_half_open = 4'096;
    /// Life of a half-open flow; longer than the TCP stack's own.
    support::duration half_open_timeout = support::seconds(30);
    std::size_t max_redirects = 65'536;
    /// A redirect unused for so long is forgotten.
    support::duration redirect_timeout = support::seconds(300);
    /// Members that have left are remembered for so long: longer than frames
    /// may still list them.
    support::duration left_member_timeout = support::seconds(300);
    std::size_t max_left_members = 4'096;
    /// Flows that were looked for in vain and may get a reset.
    std::size_t max_lost_flows = 4'096;
    /// How many searches may go on in the agent's own view between two ticks;
    /// bounds what packets of flows that never were can cost.
    std::size_t max_extended_searches = 1'000;
    /// How long a flow must have been looked for in vain before its caller
    /// gets a reset: longer than views of the fleet differ.
    support::duration reset_after = support::seconds(6);
    /// For so long after its start an agent passes opening packets on where it
    /// can, because not every view lists it yet.
    support::duration opening_delay = support::seconds(5);
};

/// Sizes of a flow_table's parts.
struct flow_table_counts {
    /// Flows whose handshake is complete.
    std::size_t established = 0;
    std::size_t half_open = 0;
    std::size_t redirects = 0;
    std::size_t lost_flows = 0;
};

/// The flows that live beside one backend server, and the agent's decision
/// about each packet. Bounded in every part. Not thread-safe.
class flow_table {
public:
    flow_table(const agent_identity& identity,
               const flow_table_settings& settings, support::instant now);
    ~flow_table();
    flow_table(const flow_table&) = delete;
    flow_table& operator=(const flow_table&) = delete;

    /// Decides about `packet`, which came in a frame with `header`.
    /// `admission` is asked if the packet opens a flow that is not here.
    /// `own_view` is this agent's table of its service, or null: where to look
    /// once all candidates of the frame have been visited.
    agent_action on_packet(const frame_header& header, const packet& packet,
                           support::instant now, admission_policy& admission,
                           const placement::service_table* own_view);

    /// The TCP stack answered `caller`'s opening packet with a SYN-ACK of this
    /// initial sequence number. Until then, and unless the acknowledgement
    /// matches, no packet but an opening one is delivered.
    void on_syn_ack_sent(support::endpoint caller,
                         std::uint32_t initial_sequence);

    /// The flow has ended, or its opening failed; it does not live here.
    void on_flow_closed(support::endpoint caller);

    /// `id` is no longer a member and, ids being drawn afresh at each start,
    /// never will be again: nothing is passed on to it any more.
    void on_member_left(support::member_id id);

    /// A draining agent keeps its flows and refuses new ones.
    void set_draining(bool draining) noexcept;

    /// Forgets what has expired. Half-open flows go silently. Call it about
    /// once a second.
    void tick(support::instant now);

    bool owns(support::endpoint caller) const;
    flow_table_counts counts() const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace guavastair::flow

#endif
