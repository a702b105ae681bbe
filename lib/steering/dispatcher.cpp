#include "early_packets.hpp"
#include "search_budget.hpp"

#include <guavastair/recent_map.hpp>
#include <guavastair/steering.hpp>

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <array>
#include <set>

namespace guavastair::steering {

using cache::recent_map;

static constexpr std::array<absl::string_view, 4> dispatch_names{
    "send", "hold", "reset", "drop"};

static constexpr std::array<absl::string_view, 13> basis_names{
    "opening",       "repeated_opening", "located",      "searching",
    "no_route",      "no_configuration", "no_candidate", "held",
    "search_failed", "overload",         "nowhere",      "starting",
    "outdated"};

absl::string_view to_string(dispatch_kind kind) {
    return dispatch_names[static_cast<std::size_t>(kind)];
}

absl::string_view to_string(dispatch_basis basis) {
    return basis_names[static_cast<std::size_t>(basis)];
}

namespace {

using bytes = std::vector<std::byte>;

bytes copy(std::span<const std::byte> from) {
    return {from.begin(), from.end()};
}

/// The owner of a flow, and the data needed to reset the flow.
struct location {
    support::endpoint agent;
    lost_flow flow;
    /// Whether this balancer has forwarded packets of the flow. Flows that it
    /// only knows from an advertisement are reset by other balancers.
    bool has_forwarded = true;
};

/// A search for the owner of one flow.
struct search {
    /// Agents that may own the flow; the first asked_count have been asked.
    std::vector<support::endpoint> agents;
    std::size_t asked_count = 0;
    /// Agents that have answered that they do not own the flow.
    std::set<support::endpoint> non_owners;
    /// Agents that have ruled out that their server holds the flow.
    std::set<support::endpoint> ruled_out;
    /// The packet that is sent to the agents.
    bytes packet;
    /// Packets of the flow that arrived during the search.
    std::vector<bytes> held_packets;
    support::instant step_started_at;
};

dispatch make_dispatch(dispatch_kind kind, dispatch_basis basis) {
    dispatch result;
    result.kind = kind;
    result.basis = basis;
    return result;
}

dispatch send_to(support::endpoint agent, dispatch_basis basis) {
    dispatch result;
    result.kind = dispatch_kind::send;
    result.basis = basis;
    result.to = {agent};
    return result;
}

} // namespace

struct dispatcher::implementation {
    implementation(dispatcher_settings initial_settings,
                   member_table& member_list,
                   const routing::routing_state& routing_table)
        : settings(std::move(initial_settings)), members(member_list),
          routes(routing_table),
          locations(settings.max_locations, settings.location_lifetime),
          budget(settings.search_messages_per_second,
                 settings.search_message_burst),
          early_queue(settings.max_early_packets,
                      settings.early_packet_timeout) {}

    dispatch decide(support::instant now, const flow::packet& packet,
                    std::span<const std::byte> bytes);
    std::vector<released_packet> retry_early_packets(support::instant now);
    dispatch dispatch_opening(support::instant now, const flow::packet& packet);
    std::vector<support::endpoint>
    opening_candidates(support::instant now,
                       const support::service_name* service,
                       std::uint64_t hash) const;
    dispatch open_new_flow(support::instant now, const routing::route& target,
                           std::uint64_t hash);
    bool is_starting(support::instant now,
                     const support::service_name* service) const;
    dispatch start_search(support::instant now, const flow::flow_key& key,
                          std::span<const std::byte> packet,
                          std::optional<support::endpoint> excluded);
    std::optional<dispatch> next_search_step(support::instant now,
                                             search& active_search);
    dispatch hold_packet(search& active_search,
                         std::span<const std::byte> packet) const;
    void add_new_members(support::instant now, const flow::flow_key& key,
                         search& active_search) const;
    bool is_ruled_out_by_all(support::instant now,
                             const search& active_search) const;
    std::optional<released_packet> advance_search(support::instant now,
                                                  const flow::flow_key& key,
                                                  search& active_search);
    std::vector<released_packet>
    release_held_packets(const flow::flow_key& key, search ended,
                         support::endpoint agent) const;

    dispatcher_settings settings;
    member_table& members;
    const routing::routing_state& routes;
    recent_map<location> locations;
    search_budget budget;
    early_packets early_queue;
    absl::flat_hash_map<flow::flow_key, search> searches;
    bool members_complete = false;
};

/// Whether an agent of `service` is expected to accept opening packets soon:
/// no agent is known yet, or one of the service is starting.
bool dispatcher::implementation::is_starting(
    support::instant now, const support::service_name* service) const {
    if (this->members.size() == 0) {
        return true;
    }
    if (service == nullptr) {
        return false;
    }
    const auto agents = this->members.members_of(*service);
    return std::any_of(agents.begin(), agents.end(), [&](const member* each) {
        return this->members.is_present(now, *each) && each->report.starting;
    });
}

/// The agents to offer an opening packet to; empty if `service` is null.
std::vector<support::endpoint> dispatcher::implementation::opening_candidates(
    support::instant now, const support::service_name* service,
    std::uint64_t hash) const {
    if (service == nullptr) {
        return {};
    }
    return choose_opening(now, this->settings.opening, this->members,
                          this->routes, *service, hash);
}

dispatch dispatcher::implementation::open_new_flow(support::instant now,
                                                   const routing::route& target,
                                                   std::uint64_t hash) {
    const support::service_name* service =
        routing::choose_service(target.services, hash);
    const std::vector<support::endpoint> agents =
        this->opening_candidates(now, service, hash);
    if (agents.empty()) {
        // A dropped opening packet is retransmitted by the caller.
        return this->is_starting(now, service)
                   ? make_dispatch(dispatch_kind::drop,
                                   dispatch_basis::starting)
                   : make_dispatch(dispatch_kind::reset,
                                   dispatch_basis::no_candidate);
    }
    dispatch result = send_to(agents.front(), dispatch_basis::opening);
    result.carry = peer::carry_kind::open;
    result.candidates.assign(agents.begin() + 1, agents.end());
    this->members.on_opening_sent(agents.front());
    return result;
}

dispatch
dispatcher::implementation::dispatch_opening(support::instant now,
                                             const flow::packet& packet) {
    if (!this->routes.has_configuration()) {
        return make_dispatch(dispatch_kind::drop,
                             dispatch_basis::no_configuration);
    }
    const routing::route* target = this->routes.find_route(packet.key.service);
    if (target == nullptr && this->routes.is_outdated(now)) {
        return make_dispatch(dispatch_kind::drop, dispatch_basis::outdated);
    }
    if (target == nullptr) {
        const bool is_configuration_fresh =
            now - this->routes.confirmed_at() <=
            this->settings.max_configuration_age;
        return make_dispatch(is_configuration_fresh ? dispatch_kind::reset
                                                    : dispatch_kind::drop,
                             dispatch_basis::no_route);
    }
    const std::uint64_t hash = flow::flow_hash(packet.key);
    const location* hint = this->locations.find(hash);
    const member* owner =
        hint == nullptr ? nullptr : this->members.find(hint->agent);
    if (owner == nullptr || !this->members.is_present(now, *owner)) {
        dispatch result = this->open_new_flow(now, *target, hash);
        if (result.kind == dispatch_kind::send) {
            this->locations.put(hash, {result.to.front(), {packet.key, 0}},
                                now);
        }
        return result;
    }
    dispatch result = send_to(hint->agent, dispatch_basis::repeated_opening);
    result.carry = peer::carry_kind::open;
    result.candidates = this->opening_candidates(
        now, routing::choose_service(target->services, hash), hash);
    std::erase(result.candidates, hint->agent);
    return result;
}

std::optional<dispatch>
dispatcher::implementation::next_search_step(support::instant now,
                                             search& active_search) {
    if (active_search.asked_count == active_search.agents.size()) {
        return std::nullopt;
    }
    const std::size_t size = active_search.asked_count == 0
                                 ? this->settings.first_step_size
                                 : this->settings.further_step_size;
    const std::size_t last =
        std::min(active_search.agents.size(), active_search.asked_count + size);
    dispatch result;
    result.kind = dispatch_kind::send;
    result.basis = dispatch_basis::searching;
    result.carry = peer::carry_kind::locate;
    const auto begin = active_search.agents.begin();
    result.to.assign(begin +
                         static_cast<std::ptrdiff_t>(active_search.asked_count),
                     begin + static_cast<std::ptrdiff_t>(last));
    this->budget.spend(last - active_search.asked_count);
    active_search.asked_count = last;
    active_search.step_started_at = now;
    return result;
}

dispatch dispatcher::implementation::start_search(
    support::instant now, const flow::flow_key& key,
    std::span<const std::byte> packet,
    std::optional<support::endpoint> excluded) {
    if (this->searches.size() >= this->settings.max_searches ||
        !this->budget.allows(now)) {
        return make_dispatch(dispatch_kind::drop, dispatch_basis::overload);
    }
    search new_search;
    new_search.agents = search_order(now, this->settings.opening, this->members,
                                     this->routes.services_of(key.service),
                                     flow::flow_hash(key));
    if (excluded.has_value()) {
        // This agent has already answered: count it as the first one asked.
        std::erase(new_search.agents, *excluded);
        new_search.agents.insert(new_search.agents.begin(), *excluded);
        new_search.non_owners.insert(*excluded);
        new_search.asked_count = 1;
    }
    new_search.packet = copy(packet);
    const auto step = this->next_search_step(now, new_search);
    if (!step.has_value()) {
        return make_dispatch(dispatch_kind::drop,
                             dispatch_basis::search_failed);
    }
    this->searches.emplace(key, std::move(new_search));
    return *step;
}

dispatch dispatcher::implementation::hold_packet(
    search& active_search, std::span<const std::byte> packet) const {
    if (active_search.held_packets.size() >= this->settings.max_held_per_flow) {
        return make_dispatch(dispatch_kind::drop, dispatch_basis::overload);
    }
    active_search.held_packets.push_back(copy(packet));
    return make_dispatch(dispatch_kind::hold, dispatch_basis::held);
}

std::vector<released_packet> dispatcher::implementation::release_held_packets(
    const flow::flow_key& key, search ended, support::endpoint agent) const {
    std::vector<released_packet> result;
    for (bytes& packet : ended.held_packets) {
        result.push_back(
            {key, send_to(agent, dispatch_basis::located), std::move(packet)});
    }
    return result;
}

dispatcher::dispatcher(dispatcher_settings initial_settings,
                       member_table& members,
                       const routing::routing_state& routes)
    : self(std::make_unique<implementation>(std::move(initial_settings),
                                            members, routes)) {}

dispatcher::~dispatcher() = default;

/// Whether the packet was dropped only because this balancer or the agents of
/// the service are still starting, or the configuration is outdated.
static bool is_early(const dispatch& decision) {
    return decision.kind == dispatch_kind::drop &&
           (decision.basis == dispatch_basis::no_configuration ||
            decision.basis == dispatch_basis::starting ||
            decision.basis == dispatch_basis::outdated);
}

dispatch dispatcher::on_packet(support::instant now, const flow::packet& packet,
                               std::span<const std::byte> bytes) {
    implementation& state = *this->self;
    dispatch decision = state.decide(now, packet, bytes);
    if (is_early(decision) &&
        state.early_queue.try_push({now, packet, copy(bytes)})) {
        decision.kind = dispatch_kind::hold;
    }
    return decision;
}

/// Decides again on early packets; those that still cannot be decided on stay
/// queued until they expire.
std::vector<released_packet>
dispatcher::implementation::retry_early_packets(support::instant now) {
    std::vector<released_packet> result;
    for (early_packet& each : this->early_queue.pop_all()) {
        dispatch decision = this->decide(now, each.head, each.bytes);
        if (is_early(decision) && !this->early_queue.has_expired(now, each)) {
            this->early_queue.try_push(std::move(each));
            continue;
        }
        result.push_back(
            {each.head.key, std::move(decision), std::move(each.bytes)});
    }
    return result;
}

dispatch dispatcher::implementation::decide(support::instant now,
                                            const flow::packet& packet,
                                            std::span<const std::byte> bytes) {
    if (packet.flags.is_initial_syn()) {
        return this->dispatch_opening(now, packet);
    }
    if (this->members.size() == 0) {
        return make_dispatch(dispatch_kind::drop, dispatch_basis::starting);
    }
    const std::uint64_t hash = flow::flow_hash(packet.key);
    if (location* hint = this->locations.find(hash)) {
        const member* owner = this->members.find(hint->agent);
        if (owner != nullptr && this->members.is_present(now, *owner)) {
            hint->flow.acknowledgement = packet.acknowledgement;
            hint->has_forwarded = true;
            this->locations.touch(hash, now);
            return send_to(hint->agent, dispatch_basis::located);
        }
    }
    const auto it = this->searches.find(packet.key);
    if (it != this->searches.end()) {
        return this->hold_packet(it->second, bytes);
    }
    return this->start_search(now, packet.key, bytes, std::nullopt);
}

std::vector<released_packet> dispatcher::on_owned(support::instant now,
                                                  const flow::flow_key& key,
                                                  support::endpoint agent) {
    implementation& state = *this->self;
    const std::uint64_t hash = flow::flow_hash(key);
    if (location* hint = state.locations.find(hash)) {
        hint->agent = agent;
    } else {
        state.locations.put(hash, {agent, {key, 0}}, now);
    }
    const auto it = state.searches.find(key);
    if (it == state.searches.end()) {
        return {};
    }
    search ended = std::move(it->second);
    state.searches.erase(it);
    return state.release_held_packets(key, std::move(ended), agent);
}

std::vector<released_packet>
dispatcher::on_flow_advertised(support::instant now,
                               const peer::listed_flow& advertised,
                               support::endpoint agent) {
    implementation& state = *this->self;
    if (state.searches.count(advertised.key) != 0) {
        return this->on_owned(now, advertised.key, agent);
    }
    const std::uint64_t hash = flow::flow_hash(advertised.key);
    if (state.locations.find(hash) == nullptr) {
        state.locations.put(
            hash, {agent, {advertised.key, advertised.acknowledged}, false},
            now);
    }
    return {};
}

void dispatcher::implementation::add_new_members(support::instant now,
                                                 const flow::flow_key& key,
                                                 search& active_search) const {
    const auto current_agents = search_order(
        now, this->settings.opening, this->members,
        this->routes.services_of(key.service), flow::flow_hash(key));
    for (const support::endpoint agent : current_agents) {
        const bool is_included =
            std::find(active_search.agents.begin(), active_search.agents.end(),
                      agent) != active_search.agents.end();
        if (!is_included) {
            active_search.agents.push_back(agent);
        }
    }
}

bool dispatcher::implementation::is_ruled_out_by_all(
    support::instant now, const search& active_search) const {
    const std::vector<const member*> all = this->members.all();
    return !all.empty() &&
           std::all_of(all.begin(), all.end(), [&](const member* each) {
               return active_search.ruled_out.count(each->report.agent) != 0 ||
                      this->members.is_lost(now, *each);
           });
}

/// Continues a search that no longer waits for the agents asked so far. Returns
/// the next step, a reset if all members have ruled out the flow, or nullopt if
/// the search can only wait.
std::optional<released_packet> dispatcher::implementation::advance_search(
    support::instant now, const flow::flow_key& key, search& active_search) {
    if (active_search.asked_count == active_search.agents.size()) {
        this->add_new_members(now, key, active_search);
    }
    if (const auto step = this->next_search_step(now, active_search)) {
        return released_packet{key, *step, active_search.packet};
    }
    if (this->members_complete &&
        this->is_ruled_out_by_all(now, active_search)) {
        return released_packet{
            key, make_dispatch(dispatch_kind::reset, dispatch_basis::nowhere),
            active_search.held_packets.empty()
                ? active_search.packet
                : active_search.held_packets.back()};
    }
    return std::nullopt;
}

std::vector<released_packet>
dispatcher::on_absent(support::instant now, const peer::flow_absent& answer) {
    implementation& state = *this->self;
    const std::uint64_t hash = flow::flow_hash(answer.key);
    const location* hint = state.locations.find(hash);
    if (hint != nullptr && hint->agent == answer.agent) {
        state.locations.erase(hash);
    }
    if (answer.lost) {
        state.searches.erase(answer.key);
        return {};
    }
    auto it = state.searches.find(answer.key);
    if (it == state.searches.end() && answer.packet.empty()) {
        return {};
    }
    if (it == state.searches.end()) {
        const dispatch first_step =
            state.start_search(now, answer.key, answer.packet, answer.agent);
        it = state.searches.find(answer.key);
        if (it != state.searches.end() && answer.certain) {
            it->second.ruled_out.insert(answer.agent);
        }
        return {{answer.key, first_step, copy(answer.packet)}};
    }
    search& active_search = it->second;
    if (answer.certain) {
        active_search.ruled_out.insert(answer.agent);
    }
    if (!answer.packet.empty()) {
        state.hold_packet(active_search, answer.packet);
        return {};
    }
    active_search.non_owners.insert(answer.agent);
    if (active_search.non_owners.size() < active_search.asked_count) {
        return {};
    }
    const auto next = state.advance_search(now, answer.key, active_search);
    if (!next.has_value()) {
        return {};
    }
    if (next->step.kind == dispatch_kind::reset) {
        state.searches.erase(it);
    }
    return {*next};
}

void dispatcher::set_members_complete(bool complete) {
    this->self->members_complete = complete;
}

std::vector<released_packet> dispatcher::tick(support::instant now) {
    implementation& state = *this->self;
    std::vector<released_packet> result = state.retry_early_packets(now);
    for (auto it = state.searches.begin(); it != state.searches.end();) {
        const auto current = it++;
        search& active_search = current->second;
        const support::duration waited = now - active_search.step_started_at;
        if (waited < state.settings.step_timeout) {
            continue;
        }
        if (auto next =
                state.advance_search(now, current->first, active_search)) {
            const bool is_final = next->step.kind == dispatch_kind::reset;
            result.push_back(*std::move(next));
            if (is_final) {
                state.searches.erase(current);
            }
            continue;
        }
        const support::duration limit =
            state.is_ruled_out_by_all(now, active_search)
                ? state.settings.ruled_out_timeout
                : state.settings.last_step_timeout;
        if (waited > limit) {
            state.searches.erase(current);
        }
    }
    state.locations.expire(now);
    return result;
}

std::vector<lost_flow> dispatcher::extract_lost_flows(support::endpoint agent) {
    std::vector<lost_flow> lost;
    this->self->locations.erase_if([&](const location& each) {
        if (each.agent != agent) {
            return false;
        }
        if (each.has_forwarded) {
            lost.push_back(each.flow);
        }
        return true;
    });
    return lost;
}

bool dispatcher::has_pending_packets() const {
    return !this->self->searches.empty() || !this->self->early_queue.empty();
}

std::size_t dispatcher::location_count() const {
    return this->self->locations.size();
}

} // namespace guavastair::steering
