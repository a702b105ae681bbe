/// Per-packet forwarding: header parsing, the encapsulation of packets between
/// balancers and agents, and the forwarding decisions of both.
///
/// The balancer keeps no flow state. The agent beside a backend server owns
/// the flows that were opened there. A packet that arrives at another agent is
/// passed on along the candidates listed in its frame until it reaches the
/// owner.
///
/// Nothing here does I/O, reads a clock, starts a thread or writes a log.
/// Parsing, encoding, the balancer's decision and the agent's decision about a
/// packet of an established flow allocate no memory.

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

/// Every reason for which a packet or frame is dropped. Logs and metrics use
/// the names of the enumerators.
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

/// The stable name of `reason` in logs and metrics.
absl::string_view to_string(drop_reason reason);

/// A value parsed from bytes, or the reason why parsing failed.
template <typename Value> struct parse_result {
    drop_reason reason = drop_reason::none;
    /// Meaningful only if ok().
    Value value{};

    bool ok() const noexcept {
        return this->reason == drop_reason::none;
    }
};

// ------------------------------------------------------------- packets

/// The endpoints of a flow.
struct flow_key {
    support::endpoint caller;
    support::endpoint service;

    auto operator<=>(const flow_key&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, flow_key key) {
        return Hash::combine(std::move(state), key.caller, key.service);
    }
};

/// The hash that selects the bucket of a flow: XXH3 with a fixed seed, the same
/// in every process.
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

    /// Whether the packet requests a new flow: SYN without ACK.
    bool is_initial_syn() const noexcept {
        return this->syn() && !this->ack();
    }

    bool operator==(const tcp_flags&) const = default;
};

/// The header fields of an IPv4 packet with a TCP segment that the forwarding
/// decisions need.
struct packet {
    flow_key key;
    tcp_flags flags;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    /// TCP payload in bytes.
    std::uint16_t payload_size = 0;
};

/// Maximum size of a forwarded IPv4 packet, in bytes.
inline constexpr std::size_t max_packet_size = 9000;

/// Optional checks of parse_packet.
struct parse_options {
    /// Whether to verify the checksum over the whole TCP segment. Agents do;
    /// balancers leave it to them.
    bool verify_tcp_checksum = false;
};

/// Parses an IPv4 packet that carries TCP. The total length field of the IPv4
/// header must equal bytes.size().
parse_result<packet> parse_packet(std::span<const std::byte> bytes,
                                  parse_options options = {}) noexcept;

/// Size of the packet that encode_reset writes, in bytes.
inline constexpr std::size_t reset_packet_size = 40;

/// Writes the IPv4 packet with a TCP reset that the service sends to the caller
/// in response to `cause`. `cause` must not carry RST itself.
void encode_reset(const packet& cause,
                  std::span<std::byte, reset_packet_size> out) noexcept;

// -------------------------------------------------------------- frames

/// Maximum number of candidates in a frame.
inline constexpr std::size_t max_frame_candidates = placement::max_candidates;

/// Maximum number of times that a packet is passed on between agents.
inline constexpr std::uint8_t max_passes = 15;

/// The header that precedes a packet on its way between balancers and agents:
/// the candidates in the order in which they are visited, and the progress so
/// far.
struct frame_header {
    placement::candidate_list candidates;
    /// Index of the candidate that the frame is sent to.
    std::uint8_t hop = 0;
    /// Number of times that agents have passed the packet on.
    std::uint8_t passes = 0;
    /// Whether an agent has replaced the balancer's candidates with members
    /// of its own view because none remained to be visited. This is done at
    /// most once for a frame.
    bool extended = false;
};

/// Maximum size of a frame header, in bytes.
inline constexpr std::size_t max_frame_header_size = 120;

/// Maximum size of a frame, in bytes.
inline constexpr std::size_t max_frame_size =
    max_frame_header_size + max_packet_size;

/// Writes a GUE variant 0 header with `header` as its private data, and returns
/// the size in bytes. The packet follows it in the same datagram. `header` must
/// be one that parse_frame would accept.
std::size_t
encode_frame_header(const frame_header& header,
                    std::span<std::byte, max_frame_header_size> out) noexcept;

/// A parsed frame.
struct frame {
    frame_header header;
    /// The encapsulated packet, not yet parsed. Points into the frame's bytes.
    std::span<const std::byte> packet;
};

/// Parses one datagram. Accepts only headers that encode_frame_header writes.
parse_result<frame> parse_frame(std::span<const std::byte> bytes) noexcept;

// ------------------------------------------------------------ balancer

enum class forward_kind : std::uint8_t { send, drop };

/// The balancer's decision about one packet.
struct forward_action {
    forward_kind kind = forward_kind::drop;
    drop_reason reason = drop_reason::none;
    /// For send: the destination of the frame.
    support::endpoint next;
    /// For send: number of bytes of `header` in use. The frame consists of
    /// these bytes and the unchanged packet.
    std::size_t header_size = 0;
    std::array<std::byte, max_frame_header_size> header;
    /// The packet's header fields if parsing succeeded; for the log line.
    packet headers;
    /// The table of the packet's service, or null if the service is unknown;
    /// for the log line.
    const placement::service_table* service = nullptr;
};

/// Decides about one IPv4 packet from the packet fabric. Writes into `action`,
/// so that the packets of a batch reuse its memory.
void forward_decision(const placement::fleet_view& view,
                      std::span<const std::byte> bytes,
                      forward_action& action) noexcept;

// --------------------------------------------------------------- agent

/// Whether the server beside an agent accepts another flow.
enum class admission_decision : std::uint8_t {
    accept,
    /// The server has capacity, but another one is a better choice.
    prefer_other,
    refuse,
};

/// The stable name of `decision`. The name of `accept` is "take".
absl::string_view to_string(admission_decision decision);

/// Admission control of the server beside an agent. Called only for opening
/// packets of flows that this agent does not own.
class admission_policy {
public:
    virtual ~admission_policy() = default;

    virtual admission_decision decide_admission(support::instant now) = 0;
};

enum class action_kind : std::uint8_t {
    /// Deliver the packet to this agent's TCP stack.
    deliver,
    /// Send the packet with the new frame header to `next`.
    pass_on,
    /// Send a TCP reset to the caller (encode_reset).
    reset,
    drop,
};

absl::string_view to_string(action_kind kind);

/// The reason for an agent's decision; for the log line.
enum class decision_basis : std::uint8_t {
    /// This agent owns the flow.
    owned,
    /// The packet opens a flow at this agent.
    opened,
    /// The packet completes the handshake of a half-open flow at this agent.
    completed,
    /// This agent passed the flow's opening packet on to `next` earlier.
    redirected,
    /// An opening packet that another candidate is better placed to accept.
    preferred_other,
    /// An opening packet that this agent does not accept. If no further
    /// candidate may be tried, the caller gets a reset.
    refused,
    /// This agent does not own the flow; the next candidate may.
    not_owner,
    /// The frame is addressed to a former agent at this address.
    wrong_member,
    /// No candidate remains, and the owner has not been found.
    exhausted,
    /// The frame or packet is malformed, or the packet is for a service that
    /// this agent does not serve.
    not_served,
};

absl::string_view to_string(decision_basis basis);

/// An agent's decision about one packet.
struct agent_action {
    action_kind kind = action_kind::drop;
    decision_basis basis = decision_basis::not_served;
    /// For drop.
    drop_reason reason = drop_reason::none;
    /// For pass_on: the agent to send to.
    placement::candidate next;
    /// For pass_on: the frame header to send in front of the unchanged packet.
    frame_header header;
};

struct agent_identity {
    support::member_id id;
    /// Where the agent receives frames.
    support::endpoint data;
    /// The address of the service whose flows the agent owns.
    support::endpoint service;
};

/// Limits and timeouts of a flow_table.
struct flow_table_settings {
    /// Maximum number of flows, including half-open ones.
    std::size_t max_flows = 100'000;
    std::size_t max_half_open = 4'096;
    /// Lifetime of a half-open flow. Must exceed the handshake timeout of the
    /// TCP stack.
    support::duration half_open_timeout = support::seconds(30);
    std::size_t max_redirects = 65'536;
    /// A redirect expires if it has not been used for this long.
    support::duration redirect_timeout = support::seconds(300);
    /// How long a departed member is remembered. Must exceed the time for which
    /// frames may still list it.
    support::duration departed_member_timeout = support::seconds(300);
    std::size_t max_departed_members = 4'096;
    /// Maximum number of remembered flows whose owner has not been found.
    std::size_t max_unlocated_flows = 4'096;
    /// Maximum number of searches extended to the agent's own view between two
    /// ticks. Bounds the cost of packets that belong to no flow.
    std::size_t max_extended_searches = 1'000;
    /// Time from the first unsuccessful search for a flow's owner until the
    /// caller gets a reset. Must exceed the time for which the processes' views
    /// of the fleet differ.
    support::duration reset_after = support::seconds(6);
    /// For this long after its start, an agent passes opening packets on if
    /// possible, because not every view lists it yet.
    support::duration opening_delay = support::seconds(5);
};

/// Number of entries in each part of a flow_table.
struct flow_table_counts {
    /// Flows whose handshake is complete.
    std::size_t established = 0;
    std::size_t half_open = 0;
    std::size_t redirects = 0;
    /// Remembered flows whose owner has not been found.
    std::size_t unlocated_flows = 0;
};

/// The flows owned by the agent beside one backend server, and the agent's
/// decision about each packet. Every part has a size limit. Not thread-safe.
class flow_table {
public:
    flow_table(const agent_identity& identity,
               const flow_table_settings& settings, support::instant now);
    ~flow_table();
    flow_table(const flow_table&) = delete;
    flow_table& operator=(const flow_table&) = delete;

    /// Decides about `packet`, which arrived in a frame with `header`.
    /// `admission` is called if the packet opens a flow that this agent does
    /// not own. `own_view` is this agent's table of its service, or null; it
    /// supplies further candidates when none remain in the frame.
    agent_action on_packet(const frame_header& header, const packet& packet,
                           support::instant now, admission_policy& admission,
                           const placement::service_table* own_view);

    /// Reports that the TCP stack answered `caller`'s opening packet with a
    /// SYN-ACK of this initial sequence number. Packets of a half-open flow
    /// other than opening ones are delivered only if they acknowledge this
    /// SYN-ACK.
    void on_syn_ack_sent(support::endpoint caller,
                         std::uint32_t initial_sequence);

    /// Reports that the flow has ended or that its handshake failed. This agent
    /// no longer owns it.
    void on_flow_closed(support::endpoint caller);

    /// Reports that member `id` has left the fleet. It cannot return, because
    /// an agent gets a new id at each start. The candidates of a frame and the
    /// redirects no longer lead to it.
    void on_member_left(support::member_id id);

    /// A draining agent keeps its flows but opens no new ones.
    void set_draining(bool is_draining) noexcept;

    /// Removes expired entries; the callers of expired half-open flows get no
    /// reset. Call it about once a second.
    void tick(support::instant now);

    /// Whether the flow of `caller` is established or half-open at this agent.
    bool owns(support::endpoint caller) const;
    flow_table_counts counts() const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace guavastair::flow

#endif
