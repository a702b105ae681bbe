#include <guavastair/peer.hpp>

#include <algorithm>

namespace guavastair::peer {

std::vector<support::endpoint>
rotating_subset(std::span<const support::endpoint> known, std::uint32_t turn) {
    const std::size_t count = std::min(known.size(), max_listed_endpoints);
    std::vector<support::endpoint> listed;
    listed.reserve(count);
    const std::size_t first = std::size_t{turn} * max_listed_endpoints;
    for (std::size_t i = 0; i < count; ++i) {
        listed.push_back(known[(first + i) % known.size()]);
    }
    return listed;
}

} // namespace guavastair::peer
