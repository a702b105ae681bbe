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

static constexpr std::array<absl::string_view, 12> basis_names{
    "opening",       "repeated_opening", "located",      "searching",
    "no_route",      "no_configuration", "no_candidate", "held",
    "search_failed", "overload",         "nowhere",      "starting"};

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

/// Where a flow lives, and what a reset of it needs.
struct location {
    support::endpoint agent;
    lost_flow flow;
    /// Whether this balancer has carried packets of the flow. Another one
    /// answers for flows that it has only heard of.
    bool carried = true;
};

/// The look for the owner of one flow.
struct search {
    /// Agents that may own the flow, those already asked first.
    std::vector<support::endpoint> order;
    std::size_t asked = 0;
    /// Agents that have said no.
    std::set<support::endpoint> denied;
    /// Those of them that are certain.
    std::set<support::endpoint> ruled_out;
    /// The packet that goes round.
    bytes packet;
    /// Packets that came meanwhile.
    std::vector<bytes> held;
    support::instant step_started;
};

dispatch refuse(dispatch_kind kind, dispatch_basis basis) {
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
    implementation(dispatcher_settings chosen, member_table& known,
                   const routing::routing_state& held)
        : settings(std::move(chosen)), members(known), rules(held),
          locations(settings.max_locations, settings.location_lifetime),
          budget(settings.search_messages_per_second,
                 settings.search_message_burst),
          early(settings.max_early, settings.early_time) {}

    dispatch decide(support::instant now, const flow::packet& packet,
                    std::span<const std::byte> bytes);
    std::vector<released> decide_early(support::instant now);
    dispatch open(support::instant now, const flow::packet& packet);
    std::vector<support::endpoint>
    candidates(support::instant now, const support::service_name* service,
               std::uint64_t hash) const;
    dispatch offer(support::instant now, const routing::route& target,
                   std::uint64_t hash);
    bool is_starting(support::instant now,
                     const support::service_name* service) const;
    dispatch begin_search(support::instant now, const flow::flow_key& key,
                          std::span<const std::byte> packet,
                          std::optional<support::endpoint> excluded);
    std::optional<dispatch> next_step(support::instant now, search& under_way);
    dispatch hold(search& under_way, std::span<const std::byte> packet) const;
    void add_new_members(support::instant now, const flow::flow_key& key,
                         search& under_way) const;
    bool is_ruled_out(support::instant now, const search& under_way) const;
    std::optional<released> go_on(support::instant now,
                                  const flow::flow_key& key, search& under_way);
    std::vector<released> release(const flow::flow_key& key, search found,
                                  support::endpoint agent) const;

    dispatcher_settings settings;
    member_table& members;
    const routing::routing_state& rules;
    recent_map<location> locations;
    search_budget budget;
    early_packets early;
    absl::flat_hash_map<flow::flow_key, search> searches;
    bool members_complete = false;
};

/// Whether an agent of `service` will take openings soon.
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

/// The agents to offer an opening to; none without a service.
std::vector<support::endpoint>
dispatcher::implementation::candidates(support::instant now,
                                       const support::service_name* service,
                                       std::uint64_t hash) const {
    if (service == nullptr) {
        return {};
    }
    return choose_opening(now, this->settings.opening, this->members,
                          this->rules, *service, hash);
}

dispatch dispatcher::implementation::offer(support::instant now,
                                           const routing::route& target,
                                           std::uint64_t hash) {
    const support::service_name* service =
        routing::choose_service(target.services, hash);
    const std::vector<support::endpoint> chosen =
        this->candidates(now, service, hash);
    if (chosen.empty()) {
        // The caller sends its opening packet again soon.
        return this->is_starting(now, service)
                   ? refuse(dispatch_kind::drop, dispatch_basis::starting)
                   : refuse(dispatch_kind::reset, dispatch_basis::no_candidate);
    }
    dispatch result = send_to(chosen.front(), dispatch_basis::opening);
    result.carry = peer::carry_kind::open;
    result.candidates.assign(chosen.begin() + 1, chosen.end());
    this->members.on_opening_sent(chosen.front());
    return result;
}

dispatch dispatcher::implementation::open(support::instant now,
                                          const flow::packet& packet) {
    if (!this->rules.has_configuration()) {
        return refuse(dispatch_kind::drop, dispatch_basis::no_configuration);
    }
    const routing::route* target = this->rules.find_route(packet.key.service);
    if (target == nullptr) {
        const bool certain =
            now - this->rules.confirmed_at() <= this->settings.certain_for;
        return refuse(certain ? dispatch_kind::reset : dispatch_kind::drop,
                      dispatch_basis::no_route);
    }
    const std::uint64_t hash = flow::flow_hash(packet.key);
    const location* located = this->locations.find(hash);
    const member* each =
        located == nullptr ? nullptr : this->members.find(located->agent);
    if (each == nullptr || !this->members.is_present(now, *each)) {
        dispatch result = this->offer(now, *target, hash);
        if (result.kind == dispatch_kind::send) {
            this->locations.put(hash, {result.to.front(), {packet.key, 0}},
                                now);
        }
        return result;
    }
    dispatch result = send_to(located->agent, dispatch_basis::repeated_opening);
    result.carry = peer::carry_kind::open;
    result.candidates = this->candidates(
        now, routing::choose_service(target->services, hash), hash);
    std::erase(result.candidates, located->agent);
    return result;
}

std::optional<dispatch>
dispatcher::implementation::next_step(support::instant now, search& under_way) {
    if (under_way.asked == under_way.order.size()) {
        return std::nullopt;
    }
    const std::size_t size = under_way.asked == 0 ? this->settings.first_step
                                                  : this->settings.further_step;
    const std::size_t last =
        std::min(under_way.order.size(), under_way.asked + size);
    dispatch result;
    result.kind = dispatch_kind::send;
    result.basis = dispatch_basis::searching;
    result.carry = peer::carry_kind::locate;
    const auto begin = under_way.order.begin();
    result.to.assign(begin + static_cast<std::ptrdiff_t>(under_way.asked),
                     begin + static_cast<std::ptrdiff_t>(last));
    this->budget.spend(last - under_way.asked);
    under_way.asked = last;
    under_way.step_started = now;
    return result;
}

dispatch dispatcher::implementation::begin_search(
    support::instant now, const flow::flow_key& key,
    std::span<const std::byte> packet,
    std::optional<support::endpoint> excluded) {
    if (this->searches.size() >= this->settings.max_searches ||
        !this->budget.allows(now)) {
        return refuse(dispatch_kind::drop, dispatch_basis::overload);
    }
    search begun;
    begun.order = search_order(now, this->settings.opening, this->members,
                               this->rules.services_of(key.service),
                               flow::flow_hash(key));
    if (excluded.has_value()) {
        // It has answered already: as if it had been asked first.
        std::erase(begun.order, *excluded);
        begun.order.insert(begun.order.begin(), *excluded);
        begun.denied.insert(*excluded);
        begun.asked = 1;
    }
    begun.packet = copy(packet);
    const auto step = this->next_step(now, begun);
    if (!step.has_value()) {
        return refuse(dispatch_kind::drop, dispatch_basis::search_failed);
    }
    this->searches.emplace(key, std::move(begun));
    return *step;
}

dispatch
dispatcher::implementation::hold(search& under_way,
                                 std::span<const std::byte> packet) const {
    if (under_way.held.size() >= this->settings.max_held) {
        return refuse(dispatch_kind::drop, dispatch_basis::overload);
    }
    under_way.held.push_back(copy(packet));
    return refuse(dispatch_kind::hold, dispatch_basis::held);
}

std::vector<released>
dispatcher::implementation::release(const flow::flow_key& key, search found,
                                    support::endpoint agent) const {
    std::vector<released> result;
    for (bytes& packet : found.held) {
        result.push_back(
            {key, send_to(agent, dispatch_basis::located), std::move(packet)});
    }
    return result;
}

dispatcher::dispatcher(dispatcher_settings chosen, member_table& members,
                       const routing::routing_state& rules)
    : self(std::make_unique<implementation>(std::move(chosen), members,
                                            rules)) {}

dispatcher::~dispatcher() = default;

/// Whether the decision is only that nothing can be decided yet.
static bool is_early(const dispatch& decided) {
    return decided.kind == dispatch_kind::drop &&
           (decided.basis == dispatch_basis::no_configuration ||
            decided.basis == dispatch_basis::starting);
}

dispatch dispatcher::on_packet(support::instant now, const flow::packet& packet,
                               std::span<const std::byte> bytes) {
    implementation& state = *this->self;
    dispatch decided = state.decide(now, packet, bytes);
    if (is_early(decided) && state.early.keep({now, packet, copy(bytes)})) {
        decided.kind = dispatch_kind::hold;
    }
    return decided;
}

/// Decides anew about packets that came before anything was known.
std::vector<released>
dispatcher::implementation::decide_early(support::instant now) {
    std::vector<released> result;
    for (early_packet& each : this->early.take_all()) {
        dispatch decided = this->decide(now, each.head, each.bytes);
        if (is_early(decided) && !this->early.has_expired(now, each)) {
            this->early.keep(std::move(each));
            continue;
        }
        result.push_back(
            {each.head.key, std::move(decided), std::move(each.bytes)});
    }
    return result;
}

dispatch dispatcher::implementation::decide(support::instant now,
                                            const flow::packet& packet,
                                            std::span<const std::byte> bytes) {
    if (packet.flags.is_initial_syn()) {
        return this->open(now, packet);
    }
    if (this->members.size() == 0) {
        return refuse(dispatch_kind::drop, dispatch_basis::starting);
    }
    const std::uint64_t hash = flow::flow_hash(packet.key);
    if (location* located = this->locations.find(hash)) {
        const member* each = this->members.find(located->agent);
        if (each != nullptr && this->members.is_present(now, *each)) {
            located->flow.acknowledgement = packet.acknowledgement;
            located->carried = true;
            this->locations.touch(hash, now);
            return send_to(located->agent, dispatch_basis::located);
        }
    }
    const auto found = this->searches.find(packet.key);
    if (found != this->searches.end()) {
        return this->hold(found->second, bytes);
    }
    return this->begin_search(now, packet.key, bytes, std::nullopt);
}

std::vector<released> dispatcher::on_owned(support::instant now,
                                           const flow::flow_key& key,
                                           support::endpoint agent) {
    implementation& state = *this->self;
    const std::uint64_t hash = flow::flow_hash(key);
    if (location* located = state.locations.find(hash)) {
        located->agent = agent;
    } else {
        state.locations.put(hash, {agent, {key, 0}}, now);
    }
    const auto found = state.searches.find(key);
    if (found == state.searches.end()) {
        return {};
    }
    search ended = std::move(found->second);
    state.searches.erase(found);
    return state.release(key, std::move(ended), agent);
}

std::vector<released> dispatcher::on_held(support::instant now,
                                          const peer::listed_flow& each,
                                          support::endpoint agent) {
    implementation& state = *this->self;
    if (state.searches.count(each.key) != 0) {
        return this->on_owned(now, each.key, agent);
    }
    const std::uint64_t hash = flow::flow_hash(each.key);
    if (state.locations.find(hash) == nullptr) {
        state.locations.put(hash, {agent, {each.key, each.acknowledged}, false},
                            now);
    }
    return {};
}

void dispatcher::implementation::add_new_members(support::instant now,
                                                 const flow::flow_key& key,
                                                 search& under_way) const {
    const auto order = search_order(now, this->settings.opening, this->members,
                                    this->rules.services_of(key.service),
                                    flow::flow_hash(key));
    for (const support::endpoint agent : order) {
        const bool known =
            std::find(under_way.order.begin(), under_way.order.end(), agent) !=
            under_way.order.end();
        if (!known) {
            under_way.order.push_back(agent);
        }
    }
}

bool dispatcher::implementation::is_ruled_out(support::instant now,
                                              const search& under_way) const {
    const std::vector<const member*> all = this->members.all();
    return !all.empty() &&
           std::all_of(all.begin(), all.end(), [&](const member* each) {
               return under_way.ruled_out.count(each->report.agent) != 0 ||
                      this->members.is_lost(now, *each);
           });
}

/// Takes a search further that need not wait any longer for the agents asked.
/// Returns nothing if there is no more to be done for now.
std::optional<released> dispatcher::implementation::go_on(
    support::instant now, const flow::flow_key& key, search& under_way) {
    if (under_way.asked == under_way.order.size()) {
        this->add_new_members(now, key, under_way);
    }
    if (const auto step = this->next_step(now, under_way)) {
        return released{key, *step, under_way.packet};
    }
    if (this->members_complete && this->is_ruled_out(now, under_way)) {
        return released{
            key, refuse(dispatch_kind::reset, dispatch_basis::nowhere),
            under_way.held.empty() ? under_way.packet : under_way.held.back()};
    }
    return std::nullopt;
}

std::vector<released> dispatcher::on_absent(support::instant now,
                                            const peer::absent& answer) {
    implementation& state = *this->self;
    const std::uint64_t hash = flow::flow_hash(answer.key);
    const location* located = state.locations.find(hash);
    if (located != nullptr && located->agent == answer.agent) {
        state.locations.erase(hash);
    }
    if (answer.lost) {
        state.searches.erase(answer.key);
        return {};
    }
    auto found = state.searches.find(answer.key);
    if (found == state.searches.end() && answer.packet.empty()) {
        return {};
    }
    if (found == state.searches.end()) {
        const dispatch begun =
            state.begin_search(now, answer.key, answer.packet, answer.agent);
        found = state.searches.find(answer.key);
        if (found != state.searches.end() && answer.certain) {
            found->second.ruled_out.insert(answer.agent);
        }
        return {{answer.key, begun, copy(answer.packet)}};
    }
    search& under_way = found->second;
    if (answer.certain) {
        under_way.ruled_out.insert(answer.agent);
    }
    if (!answer.packet.empty()) {
        state.hold(under_way, answer.packet);
        return {};
    }
    under_way.denied.insert(answer.agent);
    if (under_way.denied.size() < under_way.asked) {
        return {};
    }
    const auto next = state.go_on(now, answer.key, under_way);
    if (!next.has_value()) {
        return {};
    }
    if (next->step.kind == dispatch_kind::reset) {
        state.searches.erase(found);
    }
    return {*next};
}

void dispatcher::set_members_complete(bool complete) {
    this->self->members_complete = complete;
}

std::vector<released> dispatcher::tick(support::instant now) {
    implementation& state = *this->self;
    std::vector<released> result = state.decide_early(now);
    for (auto each = state.searches.begin(); each != state.searches.end();) {
        const auto current = each++;
        search& under_way = current->second;
        const support::duration waited = now - under_way.step_started;
        if (waited < state.settings.step_time) {
            continue;
        }
        if (auto next = state.go_on(now, current->first, under_way)) {
            const bool ends = next->step.kind == dispatch_kind::reset;
            result.push_back(*std::move(next));
            if (ends) {
                state.searches.erase(current);
            }
            continue;
        }
        const support::duration limit = state.is_ruled_out(now, under_way)
                                            ? state.settings.verdict_time
                                            : state.settings.last_step_time;
        if (waited > limit) {
            state.searches.erase(current);
        }
    }
    state.locations.expire(now);
    return result;
}

std::vector<lost_flow> dispatcher::take_lost(support::endpoint agent) {
    std::vector<lost_flow> lost;
    this->self->locations.erase_if([&](const location& each) {
        if (each.agent != agent) {
            return false;
        }
        if (each.carried) {
            lost.push_back(each.flow);
        }
        return true;
    });
    return lost;
}

bool dispatcher::is_holding() const {
    return !this->self->searches.empty() || !this->self->early.empty();
}

std::size_t dispatcher::location_count() const {
    return this->self->locations.size();
}

} // namespace guavastair::steering
