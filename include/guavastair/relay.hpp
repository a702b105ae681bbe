/// The two processes that carry flows whose ends are elsewhere: a balancer on
/// an entry VM and an agent beside a backend server. Each is one thread round
/// an event loop; the decisions are those of the steering and ownership
/// libraries.

#ifndef GUAVASTAIR_RELAY_HPP
#define GUAVASTAIR_RELAY_HPP

#include <guavastair/ablation.hpp>
#include <guavastair/support.hpp>

namespace guavastair::relay {

/// How a process runs, beside the platform's settings.
struct run_options {
    ablation::mechanisms enabled;
    /// Log lines of one event in one second; further ones are counted.
    std::uint32_t log_lines_per_event = 100;
};

/// Runs a balancer with the platform's settings until SIGTERM or SIGINT.
/// Errors: error_kind::invalid_input for settings, error_kind::address_in_use.
absl::Status run_balancer(const run_options& options);

/// Runs an agent, as run_balancer().
absl::Status run_agent(const run_options& options);

} // namespace guavastair::relay

#endif
