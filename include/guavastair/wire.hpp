/// Encoding and authentication of the messages between guavastair processes.
///
/// Messages are packed Cap'n Proto. Decoding limits the size and depth of its
/// input; malformed input is an error, never a crash.

#ifndef GUAVASTAIR_WIRE_HPP
#define GUAVASTAIR_WIRE_HPP

#include <guavastair/config.hpp>
#include <guavastair/membership.hpp>
#include <guavastair/support.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace guavastair::wire {

using bytes = std::vector<std::uint8_t>;
using byte_view = std::span<const std::uint8_t>;

/// Encodes `message`. The size of the result is not limited here; the sender
/// keeps the message small enough.
bytes encode(const membership::message& message);

/// Decodes a message made by encode(). Fails with error_kind::invalid_input if
/// `data` is malformed, and with error_kind::too_large if it is out of bounds.
absl::StatusOr<membership::message> decode_membership(byte_view data);

/// Encodes the documents of a pull response.
bytes encode(const config::change_set& changes);

/// Decodes a change set. Fails like decode_membership().
absl::StatusOr<config::change_set> decode_change_set(byte_view data);

/// Encodes a request for every change after `from`.
bytes encode_pull_request(support::revision from);

/// Decodes a pull request. Fails with error_kind::invalid_input if `data` is
/// malformed.
absl::StatusOr<support::revision> decode_pull_request(byte_view data);

/// Largest encoded change set that is decoded, in bytes.
inline constexpr std::size_t max_change_set_size = std::size_t{32} << 20;

// ---------------------------------------------------------------- seal

/// Type of a sealed payload.
enum class payload_kind : std::uint8_t {
    membership = 1,
    pull_request = 2,
    pull_response = 3,
};

/// Bytes that sealing adds to a payload.
inline constexpr std::size_t seal_size = 42;

/// Minimum size of a shared key, in bytes.
inline constexpr std::size_t min_key_size = 16;

/// The key shared by all processes of one installation.
struct shared_key {
    std::string value;
};

/// Identifies one run of a process as a sender of sealed payloads. Of two runs
/// with the same id, the one with the higher start is the later one.
struct sender_identity {
    support::member_id id;
    /// Milliseconds since the Unix epoch at the process's start.
    std::uint64_t start = 0;
};

/// Seals payloads with HMAC-SHA-256, truncated to 128 bits, over the payload,
/// the sender, a sequence number and the receiver's address. Not thread safe.
class sealer {
public:
    sealer(const shared_key& key, sender_identity self);
    ~sealer();

    /// Returns a sealed copy of `payload`. Only the process at `receiver`
    /// accepts it, and only once.
    bytes seal(payload_kind kind, support::endpoint receiver,
               byte_view payload);

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

/// A verified payload. `payload` points into the sealed bytes that were passed
/// to opener::open().
struct opened_payload {
    payload_kind kind = payload_kind::membership;
    support::member_id sender;
    byte_view payload;
};

/// Payloads that an opener rejected, by reason.
struct rejection_counters {
    std::uint64_t malformed = 0;
    std::uint64_t forged = 0;
    std::uint64_t replayed = 0;
};

/// Verifies sealed payloads and rejects replays. Keeps the newest sequence
/// numbers of at most `max_senders` senders and evicts the sender that was
/// least recently active. Not thread safe.
class opener {
public:
    /// `self` is the address to which senders send to this process.
    opener(const shared_key& key, support::endpoint self,
           std::size_t max_senders = default_max_senders);
    ~opener();

    /// Opens `sealed`, or fails with error_kind::invalid_input (malformed) or
    /// error_kind::unauthorized (forged, for another receiver, or replayed).
    absl::StatusOr<opened_payload> open(byte_view sealed);

    rejection_counters rejections() const;

    /// Twice the maximum number of processes of one installation.
    static constexpr std::size_t default_max_senders = 34'000;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace guavastair::wire

#endif
