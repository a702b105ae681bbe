#include <guavastair/ownership.hpp>
#include <guavastair/recent_map.hpp>

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace guavastair::ownership {

using cache::map_key;
using cache::recent_map;

/// Weight of a new sample in the mean of the work in progress: at ten samples
/// a second the mean spans about a second.
static constexpr double sample_weight = 0.15;

/// How far behind the server's first sequence number an acknowledgement of
/// its flow may be: a caller's whole window and more.
static constexpr std::uint32_t max_first_acknowledgement = 1U << 20;

namespace {

enum class stage : std::uint8_t {
    /// The opening packet was delivered.
    opening,
    /// The server accepted; the caller has not confirmed.
    accepted,
    open,
    /// One end has sent a reset, or both have finished.
    ended,
};

struct flow_record {
    stage at = stage::opening;
    bool caller_finished = false;
    bool server_finished = false;
    /// A request has no answer yet.
    bool waiting = false;
    /// It is counted as waiting because its first request is on its way.
    bool expects_request = false;
    /// The server's first sequence number, once known.
    std::optional<std::uint32_t> server_first;
    /// The caller's last acknowledgement.
    std::uint32_t acknowledged = 0;
    support::instant opened;
    support::instant last_used;
    support::instant waiting_since;
    /// Requests in progress when it began to wait, itself included.
    std::uint32_t found_in_progress = 0;
    support::duration request_timeout;
    /// For openings: whom to ask if the server turns the flow down. Keeps the
    /// balancer only, once the flow is open.
    offer made;
};

/// A packet that was handed to the server to learn whether it has the flow.
struct question {
    support::endpoint balancer;
    bool locating = false;
};

map_key to_key(const flow::flow_key& key) {
    return flow::flow_hash(key);
}

} // namespace

struct owner_table::implementation {
    implementation(owner_settings chosen, support::instant now)
        : settings(chosen), started(now),
          questions(chosen.max_remembered, chosen.opening_timeout),
          not_here(chosen.max_remembered, chosen.longest_flow),
          lost(chosen.max_remembered, chosen.longest_flow) {}

    action pass_on(offer made, basis why) const;
    action open(support::instant now, const flow::packet& packet, offer made);
    action deliver_known(support::instant now, flow_record& record,
                         const flow::packet& packet, bool locating);
    action deliver_unknown(support::instant now, const flow::packet& packet,
                           support::endpoint balancer, bool locating);
    action absent(support::endpoint balancer, bool locating, basis why) const;
    void note_request(support::instant now, flow_record& record,
                      const flow::packet& packet);
    void begin_request(support::instant now, flow_record& record);
    void end_request(flow_record& record);
    void erase(const flow::flow_key& key);
    support::duration lifetime(const flow_record& record) const;

    owner_settings settings;
    support::instant started;
    bool complete = false;
    absl::flat_hash_map<flow::flow_key, flow_record> flows;
    recent_map<question> questions;
    recent_map<bool> not_here;
    recent_map<bool> lost;
    std::uint32_t waiting = 0;
    double mean_waiting = 0.0;
};

/// Sends an opening to the next candidate; once there is none, to the agents
/// that would have taken it.
action owner_table::implementation::pass_on(offer made, basis why) const {
    action result;
    result.balancer = made.balancer;
    made.is_last = made.is_last || made.candidates.empty();
    auto& next = made.is_last ? made.willing : made.candidates;
    if (next.empty()) {
        result.kind = action_kind::reset;
        result.why = basis::turned_away;
        return result;
    }
    result.kind = action_kind::pass_on;
    result.why = why;
    result.next = next.front();
    next.erase(next.begin());
    result.further = std::move(made);
    return result;
}

action owner_table::implementation::open(support::instant now,
                                         const flow::packet& packet,
                                         offer made) {
    action result;
    result.kind = action_kind::deliver;
    result.why = basis::opened;
    result.balancer = made.balancer;
    result.tell_owned = made.was_passed;
    flow_record& record = this->flows[packet.key];
    record = {};
    record.opened = now;
    record.last_used = now;
    record.made = std::move(made);
    this->begin_request(now, record);
    record.expects_request = true;
    this->not_here.erase(to_key(packet.key));
    return result;
}

void owner_table::implementation::begin_request(support::instant now,
                                                flow_record& record) {
    record.waiting = true;
    record.waiting_since = now;
    record.found_in_progress = ++this->waiting;
}

void owner_table::implementation::end_request(flow_record& record) {
    if (record.waiting) {
        record.waiting = false;
        --this->waiting;
    }
}

void owner_table::implementation::note_request(support::instant now,
                                               flow_record& record,
                                               const flow::packet& packet) {
    if (packet.payload_size == 0) {
        return;
    }
    record.expects_request = false;
    if (record.waiting) {
        return;
    }
    this->begin_request(now, record);
}

void owner_table::implementation::erase(const flow::flow_key& key) {
    const auto found = this->flows.find(key);
    if (found == this->flows.end()) {
        return;
    }
    this->end_request(found->second);
    this->flows.erase(found);
}

action owner_table::implementation::absent(support::endpoint balancer,
                                           bool locating, basis why) const {
    action result;
    result.kind = action_kind::answer_absent;
    result.why = why;
    result.balancer = balancer;
    result.give_back = !locating;
    return result;
}

action owner_table::implementation::deliver_known(support::instant now,
                                                  flow_record& record,
                                                  const flow::packet& packet,
                                                  bool locating) {
    record.last_used = now;
    record.acknowledged = packet.acknowledgement;
    if (packet.flags.fin()) {
        record.caller_finished = true;
    }
    if (packet.flags.rst()) {
        record.at = stage::ended;
        this->end_request(record);
    }
    this->note_request(now, record, packet);
    action result;
    result.kind = action_kind::deliver;
    result.why = basis::owned;
    result.tell_owned = locating;
    return result;
}

action owner_table::implementation::deliver_unknown(support::instant now,
                                                    const flow::packet& packet,
                                                    support::endpoint balancer,
                                                    bool locating) {
    const map_key key = to_key(packet.key);
    this->questions.put(key, {balancer, locating}, now);
    action result;
    result.kind = action_kind::deliver;
    result.why = basis::asked_server;
    result.balancer = balancer;
    return result;
}

support::duration
owner_table::implementation::lifetime(const flow_record& record) const {
    const bool finished = record.caller_finished && record.server_finished;
    if (record.at == stage::ended || finished) {
        return this->settings.ended_timeout;
    }
    if (record.at == stage::opening || record.at == stage::accepted) {
        return this->settings.opening_timeout;
    }
    return this->settings.idle_timeout;
}

owner_table::owner_table(owner_settings chosen, support::instant now)
    : self(std::make_unique<implementation>(chosen, now)) {}

owner_table::~owner_table() = default;

action owner_table::on_opening(support::instant now, const flow::packet& packet,
                               const gate_state& gate, offer made) {
    implementation& table = *this->self;
    const auto found = table.flows.find(packet.key);
    if (found != table.flows.end()) {
        found->second.last_used = now;
        action result;
        result.kind = action_kind::deliver;
        result.why = basis::repeated_opening;
        result.balancer = made.balancer;
        result.tell_owned = made.was_passed;
        return result;
    }
    const bool others_exist = !made.candidates.empty();
    const bool nobody_left = !others_exist && made.willing.empty();
    if (gate.answer == gate_answer::refuse && nobody_left &&
        is_starting(gate.reason)) {
        // The caller sends its opening packet again soon.
        action result;
        result.why = basis::starting;
        result.balancer = made.balancer;
        return result;
    }
    if (gate.answer == gate_answer::refuse) {
        return table.pass_on(std::move(made), basis::passed);
    }
    if (table.flows.size() >= table.settings.max_flows) {
        return table.pass_on(std::move(made), basis::table_full);
    }
    if (gate.answer == gate_answer::prefer_other && others_exist) {
        if (table.settings.takes_second_offers) {
            made.willing.push_back(table.settings.self);
        }
        return table.pass_on(std::move(made), basis::passed);
    }
    action result = table.open(now, packet, std::move(made));
    table.flows[packet.key].request_timeout = gate.request_timeout;
    return result;
}

action owner_table::on_packet(support::instant now, const flow::packet& packet,
                              support::endpoint balancer, bool locating) {
    implementation& table = *this->self;
    const auto found = table.flows.find(packet.key);
    if (found != table.flows.end()) {
        flow_record& record = found->second;
        if (record.at == stage::open || record.at == stage::ended) {
            return table.deliver_known(now, record, packet, locating);
        }
        // Another server may have accepted a copy of the opening packet: only
        // the one whose sequence number the caller acknowledges has the flow.
        const bool matches = record.server_first.has_value() &&
                             packet.flags.ack() &&
                             packet.acknowledgement - *record.server_first <
                                 max_first_acknowledgement;
        if (!matches) {
            return table.absent(balancer, locating, basis::not_here);
        }
        record.at = stage::open;
        record.made.candidates.clear();
        record.made.willing.clear();
        return table.deliver_known(now, record, packet, locating);
    }
    const map_key key = to_key(packet.key);
    if (table.lost.find(key) != nullptr) {
        action result;
        result.kind = action_kind::reset;
        result.why = basis::lost_with_server;
        result.balancer = balancer;
        return result;
    }
    const bool known_not_here =
        this->is_complete(now) || table.not_here.find(key) != nullptr;
    if (known_not_here) {
        action result = table.absent(balancer, locating, basis::not_here);
        result.certain = true;
        return result;
    }
    return table.deliver_unknown(now, packet, balancer, locating);
}

action owner_table::on_returned(support::instant now,
                                const flow::packet& packet) {
    implementation& table = *this->self;
    const map_key key = to_key(packet.key);
    const auto found = table.flows.find(packet.key);
    if (packet.flags.is_initial_syn()) {
        if (found == table.flows.end() || found->second.at != stage::opening) {
            return {};
        }
        offer made = std::move(found->second.made);
        table.erase(packet.key);
        return table.pass_on(std::move(made), basis::returned_by_server);
    }
    if (found != table.flows.end()) {
        const bool was_open = found->second.at == stage::open;
        const support::endpoint balancer = found->second.made.balancer;
        table.erase(packet.key);
        if (!was_open) {
            return table.absent(balancer, false, basis::returned_by_server);
        }
        table.lost.put(key, true, now);
        action result;
        result.kind = action_kind::reset;
        result.why = basis::lost_with_server;
        result.balancer = balancer;
        return result;
    }
    const question* asked = table.questions.find(key);
    if (asked == nullptr) {
        return {};
    }
    const question answered = *asked;
    table.questions.erase(key);
    table.not_here.put(key, true, now);
    action result = table.absent(answered.balancer, answered.locating,
                                 basis::returned_by_server);
    result.certain = true;
    return result;
}

std::optional<answered_request>
owner_table::on_server_packet(support::instant now,
                              const flow::packet& packet) {
    implementation& table = *this->self;
    const auto found = table.flows.find(packet.key);
    const bool accepts = packet.flags.syn() && packet.flags.ack();
    if (found == table.flows.end()) {
        if (packet.flags.rst() ||
            table.flows.size() >= table.settings.max_flows) {
            return std::nullopt;
        }
        flow_record& learned = table.flows[packet.key];
        learned.at = accepts ? stage::accepted : stage::open;
        learned.opened = now;
        learned.request_timeout = table.settings.request_timeout;
        learned.last_used = now;
        if (accepts) {
            learned.server_first = packet.sequence;
        }
        table.not_here.erase(to_key(packet.key));
        return std::nullopt;
    }
    flow_record& record = found->second;
    record.last_used = now;
    if (packet.flags.rst()) {
        record.at = stage::ended;
        table.end_request(record);
        return std::nullopt;
    }
    if (accepts) {
        record.server_first = packet.sequence;
        if (record.at == stage::opening) {
            record.at = stage::accepted;
        }
        return std::nullopt;
    }
    if (packet.flags.fin()) {
        record.server_finished = true;
    }
    if (packet.payload_size == 0 || !record.waiting) {
        return std::nullopt;
    }
    table.end_request(record);
    return answered_request{now - record.waiting_since,
                            record.found_in_progress};
}

std::vector<peer::listed_flow>
owner_table::on_server_lost(support::instant now) {
    implementation& table = *this->self;
    std::vector<peer::listed_flow> orders;
    for (const auto& [key, record] : table.flows) {
        const bool finished = record.caller_finished && record.server_finished;
        if (record.at != stage::open || finished) {
            continue;
        }
        table.lost.put(to_key(key), true, now);
        orders.push_back({key, record.acknowledged});
    }
    table.flows.clear();
    table.waiting = 0;
    return orders;
}

std::vector<peer::listed_flow>
owner_table::open_flows(support::instant now,
                        support::duration least_age) const {
    std::vector<peer::listed_flow> result;
    for (const auto& [key, record] : this->self->flows) {
        const bool lasting =
            record.at == stage::open && !record.caller_finished &&
            !record.server_finished && now - record.opened >= least_age;
        if (lasting) {
            result.push_back({key, record.acknowledged});
        }
    }
    std::sort(result.begin(), result.end(),
              [](const auto& left, const auto& right) {
                  return left.key < right.key;
              });
    return result;
}

void owner_table::set_complete() {
    this->self->complete = true;
}

bool owner_table::is_complete(support::instant now) const {
    return this->self->complete ||
           now - this->self->started > this->self->settings.longest_flow;
}

void owner_table::tick(support::instant now) {
    implementation& table = *this->self;
    for (auto each = table.flows.begin(); each != table.flows.end();) {
        const auto current = each++;
        flow_record& record = current->second;
        const support::duration longest = record.expects_request
                                              ? table.settings.first_request
                                              : record.request_timeout;
        const bool too_long =
            record.waiting && now - record.waiting_since > longest;
        if (too_long) {
            table.end_request(record);
        }
        if (now - record.last_used > table.lifetime(record)) {
            table.end_request(record);
            table.flows.erase(current);
        }
    }
    table.questions.expire(now);
    table.not_here.expire(now);
    table.lost.expire(now);
    table.mean_waiting += sample_weight * (table.waiting - table.mean_waiting);
}

bool owner_table::owns(const flow::flow_key& key) const {
    const auto found = this->self->flows.find(key);
    return found != this->self->flows.end() &&
           (found->second.at == stage::open ||
            found->second.at == stage::accepted);
}

peer::load_report owner_table::load() const {
    constexpr double thousandths = 1000.0;
    peer::load_report report;
    report.in_progress = this->self->waiting;
    report.mean_in_progress =
        static_cast<std::uint32_t>(this->self->mean_waiting * thousandths);
    report.flows = static_cast<std::uint32_t>(this->self->flows.size());
    return report;
}

} // namespace guavastair::ownership
