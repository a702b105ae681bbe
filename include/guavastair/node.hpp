/// The main program of a balancer or an agent: its supervisor tree, and the
/// conversion of control plane snapshots to views for the data path.

#ifndef GUAVASTAIR_NODE_HPP
#define GUAVASTAIR_NODE_HPP

#include <guavastair/config.hpp>
#include <guavastair/control.hpp>
#include <guavastair/placement.hpp>
#include <guavastair/support.hpp>

#include <memory>
#include <stop_token>
#include <vector>

namespace guavastair::node {

/// Exit code of a process whose planned stop exceeded its time limit.
inline constexpr int forced_stop_exit_code = 20;

/// Returns the services of `latest`, ordered by name. Each lists the agents
/// that may have flows: all agents that are present, including draining ones,
/// except those in withdrawn data centres.
std::vector<placement::service_members>
members_of_services(const control::snapshot& latest);

/// Builds the data path's view from control plane snapshots. Recomputes only
/// the services that changed. Not thread-safe.
class view_builder {
public:
    view_builder();

    /// Returns the view for `latest`. Services that did not change share their
    /// objects with the previous view.
    std::shared_ptr<const placement::fleet_view>
    update(const control::snapshot& latest);

private:
    std::shared_ptr<const placement::fleet_view> view;
    std::vector<support::service_name> service_names;
};

/// Runs a balancer until `stop` is requested. Returns OK after a planned stop,
/// error_kind::deadline_exceeded if a child exceeded its stop limit, and
/// otherwise the error that ended the process.
absl::Status run_balancer(const config::balancer_settings& settings,
                          const std::stop_token& stop);

/// Runs an agent, with the results of run_balancer(). A planned stop drains
/// first: the agent accepts no new flows and waits for the open ones to end, at
/// most for the service's drain limit.
absl::Status run_agent(const config::agent_settings& settings,
                       const std::stop_token& stop);

} // namespace guavastair::node

#endif
