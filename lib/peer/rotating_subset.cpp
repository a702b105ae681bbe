#include <guavastair/peer.hpp>

#include <algorithm>

namespace guavastair::peer {

std::vector<support::endpoint>
rotating_subset(std::span<const support::endpoint> endpoints,
                std::uint32_t round) {
    const std::size_t count = std::min(endpoints.size(), max_listed_endpoints);
    std::vector<support::endpoint> subset;
    subset.reserve(count);
    const std::size_t first = std::size_t{round} * max_listed_endpoints;
    for (std::size_t i = 0; i < count; ++i) {
        subset.push_back(endpoints[(first + i) % endpoints.size()]);
    }
    return subset;
}

} // namespace guavastair::peer
