/// The children of the process's root supervisor.

#ifndef GUAVASTAIR_LIB_NODE_CHILDREN_HPP
#define GUAVASTAIR_LIB_NODE_CHILDREN_HPP

#include "metrics_page.hpp"
#include "process.hpp"

#include <guavastair/supervisor.hpp>

#include <memory>
#include <string>

namespace guavastair::node {

/// Runs the control plane: membership and configuration.
std::unique_ptr<supervisor::child> make_control_child(process& host_process,
                                                      wire::shared_key key);

/// Runs the administration server.
std::unique_ptr<supervisor::child> make_admin_child(process& host_process,
                                                    std::string bearer_token);

/// Runs the data path of a balancer, which forwards packets to agents.
std::unique_ptr<supervisor::child>
make_balancer_child(process& host_process, balancer_metrics& metrics_page);

/// Runs the data path of an agent, which serves the flows of one backend
/// server.
std::unique_ptr<supervisor::child>
make_agent_child(process& host_process, const config::agent_section& section,
                 agent_metrics& metrics_page);

} // namespace guavastair::node

#endif
