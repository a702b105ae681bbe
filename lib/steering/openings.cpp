#include <guavastair/steering.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <functional>

namespace guavastair::steering {

/// Weight of the mean number of requests in progress relative to the current
/// one. The mean includes the work of long-lived flows that are idle now.
static constexpr double mean_weight = 0.5;

/// Load of one open flow, in requests per slot. Breaks ties between idle
/// servers.
static constexpr double flow_weight = 0.002;

namespace {

struct ranked_member {
    const member* info = nullptr;
    std::uint64_t rank = 0;
    bool is_local = false;
};

/// The rank of an agent for a flow, by rendezvous hashing.
std::uint64_t rank_of(support::endpoint agent, std::uint64_t flow_hash) {
    const std::array<std::uint64_t, 2> input{
        flow_hash, (std::uint64_t{agent.address.value} << 16) | agent.port};
    return XXH3_64bits(input.data(), sizeof input);
}

/// Orders by own data centre first, then by rank.
bool is_ranked_before(const ranked_member& left, const ranked_member& right) {
    if (left.is_local != right.is_local) {
        return left.is_local;
    }
    return left.rank > right.rank;
}

std::vector<ranked_member>
rank_members(const std::vector<const member*>& members,
             const support::data_centre_name& own, std::uint64_t flow_hash) {
    std::vector<ranked_member> order;
    order.reserve(members.size());
    for (const member* each : members) {
        order.push_back({each, rank_of(each->report.agent, flow_hash),
                         each->report.data_centre == own});
    }
    std::sort(order.begin(), order.end(), is_ranked_before);
    return order;
}

/// Sorts the first `agents_compared` entries by load, lowest first.
void sort_first_by_load(std::span<ranked_member> group,
                        std::size_t agents_compared) {
    const auto count = std::min(group.size(), agents_compared);
    std::stable_sort(group.begin(),
                     group.begin() + static_cast<std::ptrdiff_t>(count),
                     [](const ranked_member& left, const ranked_member& right) {
                         return load_of(*left.info) < load_of(*right.info);
                     });
}

/// Removes agents that have not answered yet, unless none has. A listed agent
/// may not be running yet: an opening packet sent to it is lost, and the
/// caller's retransmission comes too late.
void exclude_unanswered(std::vector<const member*>& agents) {
    const auto is_confirmed = [](const member* each) {
        return each->has_answered;
    };
    if (std::any_of(agents.begin(), agents.end(), is_confirmed)) {
        std::erase_if(agents, std::not_fn(is_confirmed));
    }
}

} // namespace

double load_of(const member& agent) {
    constexpr double thousandths = 1000.0;
    const peer::load_report& load = agent.report.load;
    const double slots = std::max<std::uint32_t>(load.slots, 1);
    const double current =
        load.in_progress + static_cast<double>(agent.openings_since_report);
    const double mean = load.mean_in_progress / thousandths;
    return (current * (1.0 - mean_weight) + mean * mean_weight) / slots +
           load.flows * flow_weight;
}

std::vector<support::endpoint>
choose_opening(support::instant now, const opening_settings& settings,
               const member_table& members,
               const routing::routing_state& routes,
               const support::service_name& service, std::uint64_t flow_hash) {
    std::vector<const member*> eligible = members.members_of(service);
    std::erase_if(eligible, [&](const member* each) {
        return !members.takes_openings(now, *each) ||
               routes.is_withdrawn(each->report.data_centre);
    });
    exclude_unanswered(eligible);
    std::vector<ranked_member> order =
        rank_members(eligible, settings.own_data_centre, flow_hash);
    const auto first_remote = std::find_if(
        order.begin(), order.end(),
        [](const ranked_member& entry) { return !entry.is_local; });
    const std::span<ranked_member> local(order.begin(), first_remote);
    const std::span<ranked_member> remote(first_remote, order.end());
    sort_first_by_load(local, settings.agents_compared);
    sort_first_by_load(remote, settings.agents_compared);
    const bool should_spill =
        !local.empty() && !remote.empty() &&
        load_of(*local.front().info) >
            load_of(*remote.front().info) + settings.spill_margin;
    if (should_spill) {
        std::rotate(order.begin(), first_remote, first_remote + 1);
    }
    std::vector<support::endpoint> candidates;
    for (const ranked_member& entry : order) {
        if (candidates.size() == settings.max_candidates) {
            break;
        }
        candidates.push_back(entry.info->report.agent);
    }
    return candidates;
}

bool reaches_every_service(support::instant now, const member_table& members,
                           const routing::routing_state& routes) {
    const std::vector<routing::service_limits>& services =
        routes.view().config.services;
    return std::all_of(services.begin(), services.end(),
                       [&](const routing::service_limits& service) {
                           const auto agents = members.members_of(service.name);
                           return agents.empty() ||
                                  std::any_of(agents.begin(), agents.end(),
                                              [&](const member* each) {
                                                  return members.is_present(
                                                      now, *each);
                                              });
                       });
}

std::vector<support::endpoint>
search_order(support::instant now, const opening_settings& settings,
             const member_table& members,
             std::span<const support::service_name> services,
             std::uint64_t flow_hash) {
    std::vector<support::endpoint> responsive;
    std::vector<support::endpoint> unresponsive;
    const auto append = [&](const std::vector<const member*>& group) {
        for (const ranked_member& entry :
             rank_members(group, settings.own_data_centre, flow_hash)) {
            auto& target = members.is_present(now, *entry.info) ? responsive
                                                                : unresponsive;
            target.push_back(entry.info->report.agent);
        }
    };
    for (const support::service_name& service : services) {
        append(members.members_of(service));
    }
    std::vector<const member*> others = members.all();
    std::erase_if(others, [&services](const member* each) {
        return std::find(services.begin(), services.end(),
                         each->report.service) != services.end();
    });
    append(others);
    responsive.insert(responsive.end(), unresponsive.begin(),
                      unresponsive.end());
    return responsive;
}

} // namespace guavastair::steering
