#include <guavastair/ownership.hpp>
#include <guavastair/recent_map.hpp>

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace guavastair::ownership {

using cache::map_key;
using cache::recent_map;

/// Weight of a new sample in the mean of the requests in progress. At ten
/// samples per second the mean covers about one second.
static constexpr double mean_sample_weight = 0.15;

/// How far, in bytes, the first acknowledgement of a caller may be past the
/// server's initial sequence number. This is more than a caller's full receive
/// window.
static constexpr std::uint32_t max_first_acknowledgement = 1U << 20;

namespace {

enum class stage : std::uint8_t {
    /// The opening packet was delivered.
    opening,
    /// The server accepted the flow; the caller has not confirmed yet.
    accepted,
    open,
    /// One end has sent a reset.
    ended,
};

struct flow_record {
    stage current_stage = stage::opening;
    bool caller_finished = false;
    bool server_finished = false;
    /// A request has not been answered yet.
    bool is_awaiting_answer = false;
    /// The flow counts as a request in progress although its first request has
    /// not arrived yet.
    bool is_awaiting_first_request = false;
    /// Sequence number of the server's SYN-ACK; empty before that packet.
    std::optional<std::uint32_t> server_initial_sequence;
    /// The caller's last acknowledgement number.
    std::uint32_t acknowledged = 0;
    support::instant opened;
    support::instant last_used;
    /// Arrival of the request, or of the opening packet for the first request.
    support::instant request_started;
    /// Requests in progress when this one arrived, including itself.
    std::uint32_t in_progress_at_request = 0;
    support::duration request_timeout;
    /// While the flow opens: the agents to ask if the server returns the
    /// opening packet. Once the flow is open, only the balancer is kept.
    offer opening_offer;
};

/// A packet that was delivered to find out whether the server has its flow.
struct pending_query {
    support::endpoint balancer;
    bool is_locate = false;
};

map_key to_key(const flow::flow_key& key) {
    return flow::flow_hash(key);
}

} // namespace

struct owner_table::implementation {
    implementation(owner_settings initial_settings, support::instant now)
        : settings(initial_settings), started(now),
          pending_queries(initial_settings.max_cache_entries,
                          initial_settings.opening_timeout),
          absent_flows(initial_settings.max_cache_entries,
                       initial_settings.longest_flow),
          lost_flows(initial_settings.max_cache_entries,
                     initial_settings.longest_flow) {}

    action pass_on(offer incoming, basis why) const;
    action open(support::instant now, const flow::packet& packet,
                offer incoming);
    action deliver_owned(support::instant now, flow_record& record,
                         const flow::packet& packet, bool is_locate);
    action query_server(support::instant now, const flow::packet& packet,
                        support::endpoint balancer, bool is_locate);
    action absent_answer(support::endpoint balancer, bool is_locate,
                         basis why) const;
    void record_request(support::instant now, flow_record& record,
                        const flow::packet& packet);
    void begin_request(support::instant now, flow_record& record);
    void end_request(flow_record& record);
    void erase(const flow::flow_key& key);
    support::duration retention_time(const flow_record& record) const;

    owner_settings settings;
    support::instant started;
    bool complete = false;
    absl::flat_hash_map<flow::flow_key, flow_record> flows;
    recent_map<pending_query> pending_queries;
    recent_map<bool> absent_flows;
    recent_map<bool> lost_flows;
    std::uint32_t requests_in_progress = 0;
    double mean_requests_in_progress = 0.0;
};

/// Passes an opening on to the next candidate. After the last candidate it goes
/// to the agents that were willing to accept it, and is reset if none is left.
action owner_table::implementation::pass_on(offer incoming, basis why) const {
    action result;
    result.balancer = incoming.balancer;
    incoming.is_last = incoming.is_last || incoming.candidates.empty();
    auto& next = incoming.is_last ? incoming.willing : incoming.candidates;
    if (next.empty()) {
        result.kind = action_kind::reset;
        result.why = basis::turned_away;
        return result;
    }
    result.kind = action_kind::pass_on;
    result.why = why;
    result.next = next.front();
    next.erase(next.begin());
    result.next_offer = std::move(incoming);
    return result;
}

action owner_table::implementation::open(support::instant now,
                                         const flow::packet& packet,
                                         offer incoming) {
    action result;
    result.kind = action_kind::deliver;
    result.why = basis::opened;
    result.balancer = incoming.balancer;
    result.notify_balancer = incoming.was_passed_on;
    flow_record& record = this->flows[packet.key];
    record = {};
    record.opened = now;
    record.last_used = now;
    record.opening_offer = std::move(incoming);
    this->begin_request(now, record);
    record.is_awaiting_first_request = true;
    this->absent_flows.erase(to_key(packet.key));
    return result;
}

void owner_table::implementation::begin_request(support::instant now,
                                                flow_record& record) {
    record.is_awaiting_answer = true;
    record.request_started = now;
    record.in_progress_at_request = ++this->requests_in_progress;
}

void owner_table::implementation::end_request(flow_record& record) {
    if (record.is_awaiting_answer) {
        record.is_awaiting_answer = false;
        --this->requests_in_progress;
    }
}

void owner_table::implementation::record_request(support::instant now,
                                                 flow_record& record,
                                                 const flow::packet& packet) {
    if (packet.payload_size == 0) {
        return;
    }
    record.is_awaiting_first_request = false;
    if (record.is_awaiting_answer) {
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

action owner_table::implementation::absent_answer(support::endpoint balancer,
                                                  bool is_locate,
                                                  basis why) const {
    action result;
    result.kind = action_kind::answer_absent;
    result.why = why;
    result.balancer = balancer;
    result.return_packet = !is_locate;
    return result;
}

action owner_table::implementation::deliver_owned(support::instant now,
                                                  flow_record& record,
                                                  const flow::packet& packet,
                                                  bool is_locate) {
    record.last_used = now;
    record.acknowledged = packet.acknowledgement;
    if (packet.flags.fin()) {
        record.caller_finished = true;
    }
    if (packet.flags.rst()) {
        record.current_stage = stage::ended;
        this->end_request(record);
    }
    this->record_request(now, record, packet);
    action result;
    result.kind = action_kind::deliver;
    result.why = basis::owned;
    result.notify_balancer = is_locate;
    return result;
}

action owner_table::implementation::query_server(support::instant now,
                                                 const flow::packet& packet,
                                                 support::endpoint balancer,
                                                 bool is_locate) {
    const map_key key = to_key(packet.key);
    this->pending_queries.put(key, {balancer, is_locate}, now);
    action result;
    result.kind = action_kind::deliver;
    result.why = basis::asked_server;
    result.balancer = balancer;
    return result;
}

support::duration
owner_table::implementation::retention_time(const flow_record& record) const {
    const bool finished = record.caller_finished && record.server_finished;
    if (record.current_stage == stage::ended || finished) {
        return this->settings.ended_timeout;
    }
    if (record.current_stage == stage::opening ||
        record.current_stage == stage::accepted) {
        return this->settings.opening_timeout;
    }
    return this->settings.idle_timeout;
}

owner_table::owner_table(owner_settings initial_settings, support::instant now)
    : self(std::make_unique<implementation>(initial_settings, now)) {}

owner_table::~owner_table() = default;

action owner_table::on_opening(support::instant now, const flow::packet& packet,
                               const gate_state& gate, offer incoming) {
    implementation& table = *this->self;
    const auto found = table.flows.find(packet.key);
    if (found != table.flows.end()) {
        found->second.last_used = now;
        action result;
        result.kind = action_kind::deliver;
        result.why = basis::repeated_opening;
        result.balancer = incoming.balancer;
        result.notify_balancer = incoming.was_passed_on;
        return result;
    }
    const bool has_candidates = !incoming.candidates.empty();
    const bool is_exhausted = !has_candidates && incoming.willing.empty();
    const bool is_outdated = gate.reason == gate_reason::outdated;
    if (gate.answer == gate_answer::refuse && is_exhausted &&
        (is_outdated || is_starting(gate.reason))) {
        // The caller soon retransmits its opening packet.
        action result;
        result.why = is_outdated ? basis::outdated : basis::starting;
        result.balancer = incoming.balancer;
        return result;
    }
    if (gate.answer == gate_answer::refuse) {
        return table.pass_on(std::move(incoming), basis::passed);
    }
    if (table.flows.size() >= table.settings.max_flows) {
        return table.pass_on(std::move(incoming), basis::table_full);
    }
    if (gate.answer == gate_answer::prefer_other && has_candidates) {
        if (table.settings.accepts_second_offers) {
            incoming.willing.push_back(table.settings.self);
        }
        return table.pass_on(std::move(incoming), basis::passed);
    }
    action result = table.open(now, packet, std::move(incoming));
    table.flows[packet.key].request_timeout = gate.request_timeout;
    return result;
}

action owner_table::on_packet(support::instant now, const flow::packet& packet,
                              support::endpoint balancer, bool is_locate) {
    implementation& table = *this->self;
    const auto found = table.flows.find(packet.key);
    if (found != table.flows.end()) {
        flow_record& record = found->second;
        if (record.current_stage == stage::open ||
            record.current_stage == stage::ended) {
            return table.deliver_owned(now, record, packet, is_locate);
        }
        // Another server may have accepted a copy of the opening packet. The
        // flow belongs to the server whose SYN-ACK the caller acknowledges.
        const bool matches =
            record.server_initial_sequence.has_value() && packet.flags.ack() &&
            packet.acknowledgement - *record.server_initial_sequence <
                max_first_acknowledgement;
        if (!matches) {
            return table.absent_answer(balancer, is_locate, basis::not_here);
        }
        record.current_stage = stage::open;
        record.opening_offer.candidates.clear();
        record.opening_offer.willing.clear();
        return table.deliver_owned(now, record, packet, is_locate);
    }
    const map_key key = to_key(packet.key);
    if (table.lost_flows.find(key) != nullptr) {
        action result;
        result.kind = action_kind::reset;
        result.why = basis::lost_with_server;
        result.balancer = balancer;
        return result;
    }
    const bool is_certainly_absent =
        this->is_complete(now) || table.absent_flows.find(key) != nullptr;
    if (is_certainly_absent) {
        action result =
            table.absent_answer(balancer, is_locate, basis::not_here);
        result.certain = true;
        return result;
    }
    return table.query_server(now, packet, balancer, is_locate);
}

action owner_table::on_returned(support::instant now,
                                const flow::packet& packet) {
    implementation& table = *this->self;
    const map_key key = to_key(packet.key);
    const auto found = table.flows.find(packet.key);
    if (packet.flags.is_initial_syn()) {
        if (found == table.flows.end() ||
            found->second.current_stage != stage::opening) {
            return {};
        }
        offer incoming = std::move(found->second.opening_offer);
        table.erase(packet.key);
        return table.pass_on(std::move(incoming), basis::returned_by_server);
    }
    if (found != table.flows.end()) {
        const bool was_open = found->second.current_stage == stage::open;
        const support::endpoint balancer = found->second.opening_offer.balancer;
        table.erase(packet.key);
        if (!was_open) {
            return table.absent_answer(balancer, false,
                                       basis::returned_by_server);
        }
        table.lost_flows.put(key, true, now);
        action result;
        result.kind = action_kind::reset;
        result.why = basis::lost_with_server;
        result.balancer = balancer;
        return result;
    }
    const pending_query* query = table.pending_queries.find(key);
    if (query == nullptr) {
        return {};
    }
    const pending_query answered = *query;
    table.pending_queries.erase(key);
    table.absent_flows.put(key, true, now);
    action result = table.absent_answer(answered.balancer, answered.is_locate,
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
        flow_record& new_record = table.flows[packet.key];
        new_record.current_stage = accepts ? stage::accepted : stage::open;
        new_record.opened = now;
        new_record.request_timeout = table.settings.request_timeout;
        new_record.last_used = now;
        if (accepts) {
            new_record.server_initial_sequence = packet.sequence;
        }
        table.absent_flows.erase(to_key(packet.key));
        return std::nullopt;
    }
    flow_record& record = found->second;
    record.last_used = now;
    if (packet.flags.rst()) {
        record.current_stage = stage::ended;
        table.end_request(record);
        return std::nullopt;
    }
    if (accepts) {
        record.server_initial_sequence = packet.sequence;
        if (record.current_stage == stage::opening) {
            record.current_stage = stage::accepted;
        }
        return std::nullopt;
    }
    if (packet.flags.fin()) {
        record.server_finished = true;
    }
    if (packet.payload_size == 0 || !record.is_awaiting_answer) {
        return std::nullopt;
    }
    table.end_request(record);
    return answered_request{now - record.request_started,
                            record.in_progress_at_request};
}

std::vector<peer::listed_flow>
owner_table::on_server_lost(support::instant now) {
    implementation& table = *this->self;
    std::vector<peer::listed_flow> flows_to_reset;
    for (const auto& [key, record] : table.flows) {
        const bool finished = record.caller_finished && record.server_finished;
        if (record.current_stage != stage::open || finished) {
            continue;
        }
        table.lost_flows.put(to_key(key), true, now);
        flows_to_reset.push_back({key, record.acknowledged});
    }
    table.flows.clear();
    table.requests_in_progress = 0;
    return flows_to_reset;
}

std::vector<peer::listed_flow>
owner_table::open_flows(support::instant now, support::duration min_age) const {
    std::vector<peer::listed_flow> result;
    for (const auto& [key, record] : this->self->flows) {
        const bool is_listable =
            record.current_stage == stage::open && !record.caller_finished &&
            !record.server_finished && now - record.opened >= min_age;
        if (is_listable) {
            result.push_back({key, record.acknowledged});
        }
    }
    std::sort(result.begin(), result.end(),
              [](const auto& left, const auto& right) {
                  return left.key < right.key;
              });
    return result;
}

void owner_table::mark_all_flows_known() {
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
        const support::duration longest =
            record.is_awaiting_first_request
                ? table.settings.first_request_timeout
                : record.request_timeout;
        const bool is_timed_out =
            record.is_awaiting_answer && now - record.request_started > longest;
        if (is_timed_out) {
            table.end_request(record);
        }
        if (now - record.last_used > table.retention_time(record)) {
            table.end_request(record);
            table.flows.erase(current);
        }
    }
    table.pending_queries.expire(now);
    table.absent_flows.expire(now);
    table.lost_flows.expire(now);
    table.mean_requests_in_progress +=
        mean_sample_weight *
        (table.requests_in_progress - table.mean_requests_in_progress);
}

bool owner_table::owns(const flow::flow_key& key) const {
    const auto found = this->self->flows.find(key);
    return found != this->self->flows.end() &&
           (found->second.current_stage == stage::open ||
            found->second.current_stage == stage::accepted);
}

peer::load_report owner_table::load() const {
    constexpr double thousandths = 1000.0;
    peer::load_report report;
    report.in_progress = this->self->requests_in_progress;
    report.mean_in_progress = static_cast<std::uint32_t>(
        this->self->mean_requests_in_progress * thousandths);
    report.flows = static_cast<std::uint32_t>(this->self->flows.size());
    return report;
}

} // namespace guavastair::ownership
