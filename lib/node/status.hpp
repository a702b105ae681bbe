/// The state of one process as JSON, for the administration server.

#ifndef GUAVASTAIR_LIB_NODE_STATUS_HPP
#define GUAVASTAIR_LIB_NODE_STATUS_HPP

#include <guavastair/control.hpp>

#include <string>

namespace guavastair::node {

/// Status of the data path.
struct data_path_status {
    /// Open flows of an agent; 0 for a balancer.
    std::uint64_t flows = 0;
    /// Resets that an agent has sent; 0 for a balancer.
    std::uint64_t refused = 0;
};

/// Returns a JSON object with the process, the members, the services and the
/// withdrawn data centres.
std::string status_json(const control::snapshot& latest,
                        const data_path_status& data_path);

} // namespace guavastair::node

#endif
