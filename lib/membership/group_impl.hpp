/// The state behind membership::group. Its functions are spread over several
/// files by the part of the protocol that they serve.

#ifndef GUAVASTAIR_LIB_MEMBERSHIP_GROUP_IMPL_HPP
#define GUAVASTAIR_LIB_MEMBERSHIP_GROUP_IMPL_HPP

#include "member_table.hpp"
#include "probes.hpp"
#include "rumour_queue.hpp"
#include "suspicions.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace guavastair::membership {

/// What a relay knows of its way to another data centre.
struct remote_contact {
    support::instant last_heard;
    support::instant last_ping;
    std::size_t unanswered = 0;
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
    support::revision complete;
    support::revision applied;
    counters counts;
    /// Data centres that count as out of reach here.
    std::set<support::data_centre_name> out_of_reach;

private:
    // group.cpp
    std::vector<action> take_actions();
    message make(message_kind kind) const;
    void send(support::endpoint to, message body);
    void changed(support::member_id id);
    void announce();
    void announce_to_relays();
    void announce_applied();
    void wake_from_pause();
    void forget_tombstones();
    void join();
    void try_seed();
    void reconnect();
    std::size_t max_sends() const;
    std::optional<support::member_id> random_local();
    std::optional<support::member_id>
    random_relay(const support::data_centre_name& data_centre);

    // group_receive.cpp
    void take_record(const node_record& record, const message& received,
                     support::endpoint from);
    void take_own_record(const node_record& record);
    void take_verdict(const verdict& observed, support::endpoint from);
    void refute(std::uint32_t incarnation);
    void resolve_conflict(const node_record& other);
    void note_heard(const message& received);
    void answer_ping(const message& received, support::endpoint from);
    void take_ack(const message& received);
    void take_nack(const message& received);
    void help(const message& received, support::endpoint from);
    void correct_sender(const message& received, support::endpoint from);
    verdict verdict_on(const member_entry& entry) const;

    // group_probe.cpp
    void probe_members();
    void ping(const member_entry& target, bool is_remote);
    void check_probes();
    void check_helped_probes();
    void ask_helpers(std::uint32_t sequence, probe& under_way);
    void probe_failed(const probe& failed);
    void suspect(const member_entry& target);
    void check_suspicions();
    void ping_suspects();
    suspicion_limits limits_for(const member_entry& target) const;
    support::duration scaled(support::duration timeout) const;
    void adjust_health(int by);
    void accuse(const verdict& observed);

    // group_spread.cpp
    void gossip();
    void gossip_to_relays();
    bool spend(const message& body);
    void refill_budget();
    void spread_record(support::member_id id);
    void spread_verdict(const verdict& observed);
    bool is_local(const node_record& record) const;

    // group_remote.cpp
    void probe_data_centres();
    void probe_data_centre(const support::data_centre_name& name,
                           remote_contact& contact);
    void judge_data_centres();
    void update_reach();
    support::duration remote_interval() const;
    std::size_t members_in_contact() const;

    // group_repair.cpp
    void repair();
    void send_digest(const member_entry& partner);
    void answer_digest(const message& received, support::endpoint from);
    void take_versions(const message& received, support::endpoint from);
    void answer_pull(const message& received, support::endpoint from);
    void send_records(support::endpoint to,
                      const std::vector<support::member_id>& ids);

    support::instant now;
    std::mt19937_64 random;
    std::vector<action> actions;
    std::set<support::member_id> changed_ids;

    rumour_queue local_news;
    /// News of this data centre for the relays of the others.
    rumour_queue relay_news;
    std::int64_t budget_bytes = 0;

    probe_order order;
    probe_order gossip_order;
    probe_table probes;
    contact_record contact;
    suspicions suspected;
    std::uint32_t next_sequence = 0;
    /// Lifeguard's local health: 0 is healthy.
    int health = 0;

    std::map<support::data_centre_name, remote_contact> remote;

    support::instant last_tick;
    support::instant last_refill;
    support::instant next_probe;
    support::instant next_gossip;
    support::instant next_repair;
    support::instant next_join;
    support::instant next_seed_try;
    support::instant next_reconnect;
    support::instant next_forget;
    support::instant next_applied;
    support::instant next_conflict;
    /// When the last digest found differences.
    support::instant last_difference;
    bool synchronised = false;
    std::size_t next_repair_partner = 0;
};

} // namespace guavastair::membership

#endif
