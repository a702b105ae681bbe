#include "members.hpp"

#include <guavastair/placement.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace guavastair::placement {

service_members
without_data_centres(service_members service,
                     std::span<const support::data_centre_name> withdrawn) {
    std::erase_if(service.members, [withdrawn](const member& m) {
        return std::find(withdrawn.begin(), withdrawn.end(), m.data_centre) !=
               withdrawn.end();
    });
    return service;
}

void keep_one_per_address(std::vector<member>& members) {
    const auto sort_key = [](const member& m) {
        return std::make_tuple(m.data, ~m.joined, ~m.id.value);
    };
    std::sort(members.begin(), members.end(),
              [sort_key](const member& left, const member& right) {
                  return sort_key(left) < sort_key(right);
              });
    const auto same_address = [](const member& left, const member& right) {
        return left.data == right.data;
    };
    members.erase(std::unique(members.begin(), members.end(), same_address),
                  members.end());
    constexpr std::size_t max_members =
        std::numeric_limits<std::uint16_t>::max();
    if (members.size() > max_members) {
        members.resize(max_members);
    }
}

} // namespace guavastair::placement
