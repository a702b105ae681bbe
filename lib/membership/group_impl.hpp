/// The implementation of membership::group. Its functions are in several files,
/// one for each part of the protocol.

#ifndef GUAVASTAIR_LIB_MEMBERSHIP_GROUP_IMPL_HPP
#define GUAVASTAIR_LIB_MEMBERSHIP_GROUP_IMPL_HPP

#include "member_table.hpp"
#include "probes.hpp"
#include "suspicion_table.hpp"
#include "update_queue.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace guavastair::membership {

/// A relay's contact with one other data centre.
struct remote_link {
    support::instant last_received;
    support::instant last_ping_sent;
    std::size_t unanswered_pings = 0;
    /// Counts probes, to select the remote relays in turn.
    std::size_t next_relay = 0;
};

/// Largest size_bound() of a message, so that sealing it stays within
/// max_datagram_size.
inline constexpr std::size_t max_body_size = max_datagram_size - 50;

class group::impl {
public:
    impl(options settings, node_record self, std::uint64_t seed,
         support::instant now);

    // group.cpp
    std::vector<action> tick(support::instant now);
    std::vector<action> set_state(support::instant now, member_state state);
    std::vector<action> set_weight(support::instant now, std::uint32_t weight);
    member_view view_of(const member_entry& entry) const;
    std::vector<support::member_id>
    relays(const support::data_centre_name& data_centre) const;
    bool is_relay() const;
    bool is_isolated() const;

    // group_receive.cpp
    std::vector<action> receive(support::instant now, support::endpoint from,
                                const message& received);

    options settings;
    member_table table;
    support::revision complete_revision;
    support::revision applied;
    counters counts;
    /// Data centres that most relays of the local data centre cannot reach.
    std::set<support::data_centre_name> unreachable_data_centres;

private:
    // group.cpp
    std::vector<action> collect_actions();
    message make_message(message_kind kind) const;
    void send(support::endpoint to, message body);
    void mark_changed(support::member_id id);
    void announce();
    void announce_to_relays();
    void announce_applied_revision();
    void recover_from_pause();
    void remove_expired_tombstones();
    void join();
    void probe_seed();
    void probe_failed_member();
    std::size_t max_sends() const;
    std::optional<support::member_id> random_local_member();
    std::optional<support::member_id>
    random_relay(const support::data_centre_name& data_centre);

    // group_receive.cpp
    void handle_record(const node_record& record, const message& received,
                       support::endpoint from);
    void handle_own_record(const node_record& record);
    void handle_verdict(const verdict& observed, support::endpoint from);
    void refute(std::uint32_t incarnation);
    void handle_identity_conflict(const node_record& other);
    void update_remote_link(const message& received);
    void handle_ping(const message& received, support::endpoint from);
    void handle_ack(const message& received);
    void handle_nack(const message& received);
    void handle_ping_request(const message& received, support::endpoint from);
    void notify_accused_sender(const message& received, support::endpoint from);
    verdict current_verdict(const member_entry& entry) const;

    // group_probe.cpp
    void probe_members();
    void ping(const member_entry& target, bool is_remote);
    void check_probes();
    void check_requested_probes();
    void request_indirect_probes(std::uint32_t sequence, probe& pending);
    void handle_failed_probe(const probe& failed);
    void suspect(const member_entry& target);
    void check_suspicions();
    void ping_suspects();
    suspicion_limits suspicion_limits_for(const member_entry& target) const;
    support::duration scale_timeout(support::duration timeout) const;
    void adjust_health(int by);
    void record_suspicion(const verdict& observed);

    // group_gossip.cpp
    void gossip();
    void gossip_to_relays();
    bool charge_budget(const message& body);
    void refill_budget();
    void queue_record(support::member_id id);
    void queue_verdict(const verdict& observed);
    bool is_local(const node_record& record) const;

    // group_remote.cpp
    void probe_data_centres();
    void probe_data_centre(const support::data_centre_name& name,
                           remote_link& link);
    void evaluate_data_centres();
    void update_reachability();
    support::duration remote_probe_interval() const;
    std::size_t count_responsive_members() const;

    // group_anti_entropy.cpp
    void run_anti_entropy();
    void send_digest(const member_entry& partner);
    void handle_digest(const message& received, support::endpoint from);
    void handle_versions(const message& received, support::endpoint from);
    void handle_pull(const message& received, support::endpoint from);
    void send_records(support::endpoint to,
                      const std::vector<support::member_id>& ids);

    support::instant now;
    std::mt19937_64 random;
    std::vector<action> actions;
    std::set<support::member_id> changed_ids;

    update_queue local_updates;
    /// Updates about the local data centre, for relays of the other ones.
    update_queue relay_updates;
    /// Bytes left for gossip and anti-entropy; negative after an overdraft.
    std::int64_t budget_bytes = 0;

    member_rotation probe_rotation;
    member_rotation gossip_rotation;
    probe_table probes;
    probe_history recent_probes;
    suspicion_table active_suspicions;
    std::uint32_t next_sequence = 0;
    /// Lifeguard's local health score: 0 is healthy, higher is slower.
    int local_health = 0;

    std::map<support::data_centre_name, remote_link> remote_links;

    support::instant last_tick;
    support::instant last_refill;
    support::instant next_probe;
    support::instant next_gossip;
    support::instant next_anti_entropy;
    support::instant next_join;
    support::instant next_seed_probe;
    support::instant next_failed_member_probe;
    support::instant next_tombstone_check;
    support::instant next_applied_announcement;
    support::instant next_conflict_report;
    /// When a versions message last showed a difference.
    support::instant last_difference;
    /// Whether a peer has ever confirmed that its live records are the same.
    bool is_synchronised = false;
    std::size_t anti_entropy_rounds = 0;
};

} // namespace guavastair::membership

#endif
