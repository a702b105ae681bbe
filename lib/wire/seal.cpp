#include <guavastair/wire.hpp>

#include <absl/container/flat_hash_map.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <list>
#include <utility>

namespace guavastair::wire {

namespace {

constexpr std::uint8_t version = 1;
constexpr std::size_t tag_size = 16;
constexpr std::size_t header_size = seal_size - tag_size;
/// Size of the replay window: sequence numbers this far below the newest are
/// rejected.
constexpr std::uint64_t window_size = 64;

using tag = std::array<std::uint8_t, tag_size>;

/// The fields before the tag. On the wire: version, kind, sender id, sender
/// start, sequence.
struct header {
    payload_kind kind = payload_kind::membership;
    sender_identity sender;
    std::uint64_t sequence = 0;
};

void put(bytes& to, std::uint64_t value, std::size_t size) {
    constexpr unsigned bits_per_byte = 8;
    for (std::size_t i = 0; i < size; ++i) {
        to.push_back(static_cast<std::uint8_t>(value >> (i * bits_per_byte)));
    }
}

std::uint64_t get(byte_view from, std::size_t offset, std::size_t size) {
    constexpr unsigned bits_per_byte = 8;
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
        value |= std::uint64_t{from[offset + i]} << (i * bits_per_byte);
    }
    return value;
}

void put_header(bytes& to, const header& fields) {
    put(to, version, 1);
    put(to, static_cast<std::uint8_t>(fields.kind), 1);
    put(to, fields.sender.id.value, sizeof(std::uint64_t));
    put(to, fields.sender.start, sizeof(std::uint64_t));
    put(to, fields.sequence, sizeof(std::uint64_t));
}

header get_header(byte_view from) {
    constexpr std::size_t id_offset = 2;
    constexpr std::size_t start_offset = 10;
    constexpr std::size_t sequence_offset = 18;
    constexpr std::size_t size = sizeof(std::uint64_t);
    return {static_cast<payload_kind>(from[1]),
            {{get(from, id_offset, size)}, get(from, start_offset, size)},
            get(from, sequence_offset, size)};
}

/// SHA-256 with the two constants that Poco::HMACEngine requires of its hash.
class sha256_engine : public Poco::SHA2Engine {
public:
    // NOLINTNEXTLINE(readability-identifier-naming)
    enum : std::uint8_t { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };
};

/// HMAC-SHA-256 over the receiver's address and the sealed bytes without the
/// tag.
class authenticator {
public:
    explicit authenticator(const shared_key& key) : engine(key.value) {
        assert(key.value.size() >= min_key_size && "key too short");
    }

    tag compute(support::endpoint receiver, byte_view head, byte_view payload) {
        bytes address;
        put(address, receiver.address.value, sizeof receiver.address.value);
        put(address, receiver.port, sizeof receiver.port);
        this->engine.reset();
        this->engine.update(address.data(), address.size());
        this->engine.update(head.data(), head.size());
        this->engine.update(payload.data(), payload.size());
        const Poco::DigestEngine::Digest& full = this->engine.digest();
        tag result;
        std::copy_n(full.begin(), tag_size, result.begin());
        return result;
    }

private:
    Poco::HMACEngine<sha256_engine> engine;
};

/// Compares in constant time, independent of where the two differ.
bool equals(const tag& computed, byte_view received) {
    const Poco::DigestEngine::Digest left(computed.begin(), computed.end());
    const Poco::DigestEngine::Digest right(received.begin(), received.end());
    return Poco::DigestEngine::constantTimeEquals(left, right);
}

/// Sequence numbers received from one sender.
struct replay_window {
    std::uint64_t start = 0;
    std::uint64_t newest = 0;
    /// Bit i stands for `newest` - i.
    std::uint64_t seen_mask = 0;
    std::list<support::member_id>::iterator lru_position;

    /// Records the number. Returns false if it was seen before, is below the
    /// window or belongs to an earlier run of the sender.
    bool accept(std::uint64_t sender_start, std::uint64_t sequence) {
        if (sender_start < this->start) {
            return false;
        }
        if (sender_start > this->start) {
            this->start = sender_start;
            this->newest = sequence;
            this->seen_mask = 1;
            return true;
        }
        if (sequence > this->newest) {
            const std::uint64_t ahead = sequence - this->newest;
            this->seen_mask =
                ahead < window_size ? this->seen_mask << ahead : 0;
            this->seen_mask |= 1;
            this->newest = sequence;
            return true;
        }
        const std::uint64_t behind = this->newest - sequence;
        if (behind >= window_size) {
            return false;
        }
        const std::uint64_t bit = std::uint64_t{1} << behind;
        const bool is_new = (this->seen_mask & bit) == 0;
        this->seen_mask |= bit;
        return is_new;
    }
};

absl::Status unauthorized(absl::string_view reason) {
    return support::make_error(support::error_kind::unauthorized, reason);
}

} // namespace

// ---------------------------------------------------------------- sealer

class sealer::impl {
public:
    impl(const shared_key& key, sender_identity self)
        : authenticate(key), self(self) {}

    authenticator authenticate;
    sender_identity self;
    std::uint64_t sequence = 0;
};

sealer::sealer(const shared_key& key, sender_identity self)
    : pimpl(std::make_unique<impl>(key, self)) {}

sealer::~sealer() = default;

bytes sealer::seal(payload_kind kind, support::endpoint receiver,
                   byte_view payload) {
    bytes sealed;
    sealed.reserve(payload.size() + seal_size);
    put_header(sealed, {kind, this->pimpl->self, ++this->pimpl->sequence});
    const tag computed =
        this->pimpl->authenticate.compute(receiver, sealed, payload);
    sealed.insert(sealed.end(), computed.begin(), computed.end());
    sealed.insert(sealed.end(), payload.begin(), payload.end());
    return sealed;
}

// ---------------------------------------------------------------- opener

class opener::impl {
public:
    impl(const shared_key& key, support::endpoint self, std::size_t max_senders)
        : authenticate(key), self(self), max_senders(max_senders) {}

    bool accept(const header& fields);

    authenticator authenticate;
    support::endpoint self;
    std::size_t max_senders;
    absl::flat_hash_map<support::member_id, replay_window> windows;
    /// Senders, the least recently active first.
    std::list<support::member_id> lru;
    rejection_counters counts;
};

bool opener::impl::accept(const header& fields) {
    const support::member_id id = fields.sender.id;
    const auto [item, added] = this->windows.try_emplace(id);
    replay_window& window = item->second;
    if (added) {
        window.lru_position = this->lru.insert(this->lru.end(), id);
    } else {
        this->lru.splice(this->lru.end(), this->lru, window.lru_position);
    }
    const bool is_new = window.accept(fields.sender.start, fields.sequence);
    if (this->windows.size() > this->max_senders) {
        this->windows.erase(this->lru.front());
        this->lru.pop_front();
    }
    return is_new;
}

opener::opener(const shared_key& key, support::endpoint self,
               std::size_t max_senders)
    : pimpl(std::make_unique<impl>(key, self, max_senders)) {}

opener::~opener() = default;

absl::StatusOr<opened_payload> opener::open(byte_view sealed) {
    if (sealed.size() < seal_size || sealed[0] != version) {
        ++this->pimpl->counts.malformed;
        return support::make_error(
            support::error_kind::invalid_input,
            "not a sealed message: too short or unknown version");
    }
    const byte_view head = sealed.first(header_size);
    const byte_view received = sealed.subspan(header_size, tag_size);
    const byte_view payload = sealed.subspan(seal_size);
    const tag computed =
        this->pimpl->authenticate.compute(this->pimpl->self, head, payload);
    if (!equals(computed, received)) {
        ++this->pimpl->counts.forged;
        return unauthorized("message authentication failed");
    }
    const header fields = get_header(head);
    if (!this->pimpl->accept(fields)) {
        ++this->pimpl->counts.replayed;
        return unauthorized("sequence number was seen before or is too old");
    }
    return opened_payload{fields.kind, fields.sender.id, payload};
}

rejection_counters opener::rejections() const {
    return this->pimpl->counts;
}

} // namespace guavastair::wire
