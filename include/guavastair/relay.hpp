/// The two processes that relay flows between callers and backend servers: a
/// balancer on an entry VM and an agent next to each backend server. Neither
/// terminates the flows. Each process is single-threaded and runs an event
/// loop. The steering library makes the balancer's decisions, the ownership
/// library the agent's.

#ifndef GUAVASTAIR_RELAY_HPP
#define GUAVASTAIR_RELAY_HPP

#include <guavastair/ablation.hpp>
#include <guavastair/support.hpp>

namespace guavastair::relay {

/// Options of a process that come from the command line, not from the
/// platform's settings file.
struct run_options {
    ablation::mechanisms enabled;
    /// Maximum number of log lines per event and second. Further lines are
    /// dropped and counted.
    std::uint32_t log_lines_per_event = 100;
};

/// Runs a balancer with the platform's settings until SIGTERM or SIGINT.
/// Errors: error_kind::invalid_input if the settings are invalid,
/// error_kind::address_in_use if a socket cannot be bound.
absl::Status run_balancer(const run_options& options);

/// Runs an agent. Stops and fails like run_balancer().
absl::Status run_agent(const run_options& options);

} // namespace guavastair::relay

#endif
