#include <guavastair/steering.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <functional>

namespace guavastair::steering {

/// Weight of the mean work in progress against the present one: the mean
/// holds the work of long flows that happen to be idle now.
static constexpr double mean_weight = 0.5;

/// Load that one open flow adds, in requests for each slot: breaks ties
/// between idle servers.
static constexpr double flow_weight = 0.002;

namespace {

struct ranked {
    const member* each = nullptr;
    std::uint64_t rank = 0;
    bool is_local = false;
};

std::uint64_t rank_of(support::endpoint agent, std::uint64_t flow_hash) {
    const std::array<std::uint64_t, 2> input{
        flow_hash, (std::uint64_t{agent.address.value} << 16) | agent.port};
    return XXH3_64bits(input.data(), sizeof input);
}

/// Own data centre first, then by the flow's rank.
bool comes_first(const ranked& left, const ranked& right) {
    if (left.is_local != right.is_local) {
        return left.is_local;
    }
    return left.rank > right.rank;
}

std::vector<ranked> rank_members(const std::vector<const member*>& members,
                                 const support::data_centre_name& own,
                                 std::uint64_t flow_hash) {
    std::vector<ranked> order;
    order.reserve(members.size());
    for (const member* each : members) {
        order.push_back({each, rank_of(each->report.agent, flow_hash),
                         each->report.data_centre == own});
    }
    std::sort(order.begin(), order.end(), comes_first);
    return order;
}

/// Puts the less loaded of the first `compared` entries first.
void sort_first_by_load(std::span<ranked> group, std::size_t agents_compared) {
    const auto count = std::min(group.size(), agents_compared);
    std::stable_sort(group.begin(),
                     group.begin() + static_cast<std::ptrdiff_t>(count),
                     [](const ranked& left, const ranked& right) {
                         return load_of(*left.each) < load_of(*right.each);
                     });
}

/// A listed agent that has not answered yet may not be up: an opening that is
/// passed to it is lost, and its caller's copy comes too late. Only while
/// nobody has answered is one tried.
void leave_out_unanswered(std::vector<const member*>& able) {
    const auto has_answered = [](const member* each) { return each->answered; };
    if (std::any_of(able.begin(), able.end(), has_answered)) {
        std::erase_if(able, std::not_fn(has_answered));
    }
}

} // namespace

double load_of(const member& each) {
    constexpr double thousandths = 1000.0;
    const peer::load_report& load = each.report.load;
    const double slots = std::max<std::uint32_t>(load.slots, 1);
    const double present =
        load.in_progress + static_cast<double>(each.openings_since_report);
    const double mean = load.mean_in_progress / thousandths;
    return (present * (1.0 - mean_weight) + mean * mean_weight) / slots +
           load.flows * flow_weight;
}

std::vector<support::endpoint>
choose_opening(support::instant now, const opening_settings& settings,
               const member_table& members, const routing::routing_state& rules,
               const support::service_name& service, std::uint64_t flow_hash) {
    std::vector<const member*> able = members.members_of(service);
    std::erase_if(able, [&](const member* each) {
        return !members.takes_openings(now, *each) ||
               rules.is_withdrawn(each->report.data_centre);
    });
    leave_out_unanswered(able);
    std::vector<ranked> order =
        rank_members(able, settings.own_data_centre, flow_hash);
    const auto first_remote =
        std::find_if(order.begin(), order.end(),
                     [](const ranked& entry) { return !entry.is_local; });
    const std::span<ranked> local(order.begin(), first_remote);
    const std::span<ranked> remote(first_remote, order.end());
    sort_first_by_load(local, settings.agents_compared);
    sort_first_by_load(remote, settings.agents_compared);
    const bool spill =
        !local.empty() && !remote.empty() &&
        load_of(*local.front().each) >
            load_of(*remote.front().each) + settings.spill_margin;
    if (spill) {
        std::rotate(order.begin(), first_remote, first_remote + 1);
    }
    std::vector<support::endpoint> chosen;
    for (const ranked& entry : order) {
        if (chosen.size() == settings.max_candidates) {
            break;
        }
        chosen.push_back(entry.each->report.agent);
    }
    return chosen;
}

bool reaches_every_service(support::instant now, const member_table& members,
                           const routing::routing_state& rules) {
    const std::vector<routing::service_limits>& services =
        rules.view().config.services;
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
    std::vector<support::endpoint> present;
    std::vector<support::endpoint> absent;
    const auto append = [&](const std::vector<const member*>& group) {
        for (const ranked& entry :
             rank_members(group, settings.own_data_centre, flow_hash)) {
            auto& to = members.is_present(now, *entry.each) ? present : absent;
            to.push_back(entry.each->report.agent);
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
    present.insert(present.end(), absent.begin(), absent.end());
    return present;
}

} // namespace guavastair::steering
