#include "group_impl.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace guavastair::membership {

namespace {

constexpr std::size_t members_per_bucket = 16;
/// Interval between digests while the tables still differ.
constexpr support::duration catch_up_interval = support::milliseconds(200);
/// Upper bound of versions messages sent in reply to one digest.
constexpr std::size_t max_version_messages = 4;
/// Upper bound of records messages sent by one send_records().
constexpr std::size_t max_record_messages = 16;

/// Number of buckets whose hashes fit in one message.
constexpr std::size_t max_digest_buckets = 128;

/// The number of buckets at which the versions of any one bucket fit in a
/// message.
std::size_t bucket_count_for(std::size_t members) {
    const std::size_t wanted = std::bit_ceil(members / members_per_bucket + 1);
    return std::min(wanted, max_buckets);
}

} // namespace

/// Sends a digest of the live records to another member, once per
/// anti_entropy_interval, or per catch_up_interval while the tables differ.
/// Relays use every second round for a relay of another data centre.
void group::impl::run_anti_entropy() {
    if (this->now < this->next_anti_entropy || this->budget_bytes <= 0) {
        return;
    }
    const bool is_catching_up =
        !this->is_synchronised ||
        this->now - this->last_difference <= catch_up_interval * 2;
    this->next_anti_entropy =
        this->now + (is_catching_up ? catch_up_interval
                                    : this->settings.anti_entropy_interval);
    std::optional<support::member_id> partner = this->random_local_member();
    ++this->anti_entropy_rounds;
    const bool is_remote_round =
        this->is_relay() && this->anti_entropy_rounds % 2 == 0;
    if (is_remote_round || !partner.has_value()) {
        std::vector<support::data_centre_name> others =
            this->table.data_centres();
        std::erase(others, this->table.self().data_centre);
        if (!others.empty()) {
            partner =
                this->random_relay(others[this->random() % others.size()]);
        }
    }
    if (partner.has_value()) {
        this->send_digest(*this->table.find(*partner));
    }
}

void group::impl::send_digest(const member_entry& partner) {
    message body = this->make_message(message_kind::digest);
    body.bucket_hashes = this->table.bucket_hashes(std::min(
        bucket_count_for(this->table.live_count()), max_digest_buckets));
    ++this->counts.digests_sent;
    this->charge_budget(body);
    this->send(partner.record.control, std::move(body));
}

void group::impl::handle_digest(const message& received,
                                support::endpoint from) {
    const std::size_t count = received.bucket_hashes.size();
    if (!std::has_single_bit(count) || count > max_buckets) {
        return;
    }
    const auto own_hashes = this->table.bucket_hashes(count);
    // A sender with few members uses coarse buckets. The reply lists the finer
    // buckets that each differing one consists of.
    const std::size_t fine_count =
        std::max(count, bucket_count_for(this->table.live_count()));
    const std::size_t ratio = fine_count / count;
    std::vector<std::uint16_t> differing;
    for (std::size_t i = 0; i < fine_count; ++i) {
        if (own_hashes[i / ratio] != received.bucket_hashes[i / ratio]) {
            differing.push_back(static_cast<std::uint16_t>(i));
        }
    }
    std::shuffle(differing.begin(), differing.end(), this->random);
    message body = this->make_message(message_kind::versions);
    body.bucket_count = static_cast<std::uint16_t>(fine_count);
    std::size_t messages_sent = 0;
    for (const std::uint16_t bucket : differing) {
        const auto versions = this->table.versions_in(bucket, fine_count);
        message extended = body;
        extended.buckets.push_back(bucket);
        extended.versions.insert(extended.versions.end(), versions.begin(),
                                 versions.end());
        if (size_bound(extended) <= max_body_size) {
            body = std::move(extended);
            continue;
        }
        message single_bucket = this->make_message(message_kind::versions);
        single_bucket.bucket_count = body.bucket_count;
        single_bucket.buckets.push_back(bucket);
        single_bucket.versions = versions;
        if (size_bound(single_bucket) > max_body_size) {
            // Too large for one message. Gossip repairs it; ids are random, so
            // such a bucket is rare.
            continue;
        }
        if (++messages_sent == max_version_messages ||
            !this->charge_budget(body)) {
            return;
        }
        this->send(from, std::exchange(body, std::move(single_bucket)));
    }
    if (body.buckets.empty() && !differing.empty()) {
        return;
    }
    this->charge_budget(body);
    this->send(from, std::move(body));
}

/// Requests the records that are newer at the sender, and sends those that are
/// missing or older there.
void group::impl::handle_versions(const message& received,
                                  support::endpoint from) {
    const std::size_t count = received.bucket_count;
    if (!std::has_single_bit(count) || count > max_buckets) {
        return;
    }
    if (received.buckets.empty()) {
        this->is_synchronised = true;
        return;
    }
    this->last_difference = this->now;
    this->next_anti_entropy =
        std::min(this->next_anti_entropy, this->now + catch_up_interval);
    std::map<support::member_id, std::uint32_t> sender_versions;
    for (const record_version& version : received.versions) {
        sender_versions[version.member] = version.incarnation;
    }
    std::vector<support::member_id> wanted;
    std::vector<support::member_id> missing;
    for (const auto& [id, incarnation] : sender_versions) {
        const member_entry* entry = this->table.find(id);
        if (id == this->table.self().id) {
            continue;
        }
        if (entry == nullptr || incarnation > entry->record.incarnation) {
            wanted.push_back(id);
        } else if (!entry->is_live() ||
                   incarnation < entry->record.incarnation) {
            missing.push_back(id);
        }
    }
    for (const std::uint16_t bucket : received.buckets) {
        if (bucket >= count) {
            continue;
        }
        for (const record_version& local_version :
             this->table.versions_in(bucket, count)) {
            const auto their_version =
                sender_versions.find(local_version.member);
            const bool is_self = local_version.member == this->table.self().id;
            if (their_version == sender_versions.end() ||
                (is_self &&
                 their_version->second < local_version.incarnation)) {
                missing.push_back(local_version.member);
            }
        }
    }
    this->send_records(from, missing);
    if (wanted.empty()) {
        return;
    }
    message body = this->make_message(message_kind::pull);
    body.wanted = std::move(wanted);
    this->charge_budget(body);
    this->send(from, std::move(body));
}

void group::impl::handle_pull(const message& received, support::endpoint from) {
    this->send_records(from, received.wanted);
}

/// Sends the records of `ids` that this process holds, in as many messages as
/// the budget and max_record_messages allow.
void group::impl::send_records(support::endpoint to,
                               const std::vector<support::member_id>& ids) {
    message body = this->make_message(message_kind::records);
    std::size_t messages_sent = 0;
    for (const support::member_id id : ids) {
        const member_entry* entry = this->table.find(id);
        const bool is_self = id == this->table.self().id;
        if (entry == nullptr && !is_self) {
            continue;
        }
        message extended = body;
        extended.records.push_back(is_self ? this->table.self()
                                           : entry->record);
        if (!is_self && entry->liveness != liveness::alive) {
            extended.verdicts.push_back(this->current_verdict(*entry));
        }
        if (size_bound(extended) <= max_body_size) {
            body = std::move(extended);
            continue;
        }
        if (++messages_sent == max_record_messages ||
            !this->charge_budget(body)) {
            return;
        }
        this->send(
            to, std::exchange(body, this->make_message(message_kind::records)));
        body.records.push_back(extended.records.back());
        if (!is_self && entry->liveness != liveness::alive) {
            body.verdicts.push_back(this->current_verdict(*entry));
        }
    }
    if (!body.records.empty()) {
        this->charge_budget(body);
        this->send(to, std::move(body));
    }
}

} // namespace guavastair::membership
