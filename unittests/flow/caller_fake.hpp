/// Simulated callers, the simulated network and the reference model for the
/// flow search test. The model is a global map from each flow to its owner.

#ifndef GUAVASTAIR_UNITTESTS_CALLER_FAKE_HPP
#define GUAVASTAIR_UNITTESTS_CALLER_FAKE_HPP

#include "fleet_fake.hpp"

#include <deque>
#include <vector>

namespace fake {

/// Options of one run of a scheme against a random schedule of changes.
struct run_options {
    std::uint64_t seed = 1;
    std::size_t flows = 10'000;
    std::size_t initial_members = 8;
    flow::flow_table_settings settings;
};

/// Statistics of the flows and packets of one run.
struct run_result {
    std::uint64_t changes = 0;
    std::uint64_t established = 0;
    std::uint64_t finished = 0;
    /// Flows that were reset, or got no reply for a minute, although the owner
    /// was running and its data centre was not withdrawn.
    std::uint64_t broken = 0;
    /// Flows that failed because the owner crashed or its data centre was
    /// withdrawn.
    std::uint64_t owner_lost = 0;
    /// Those of `owner_lost` whose caller got no reset within a minute.
    std::uint64_t owner_lost_without_reset = 0;
    /// Flows that were not established.
    std::uint64_t refused = 0;
    /// Packets delivered to the TCP stack of an agent of another service.
    std::uint64_t foreign_deliveries = 0;
    /// Packets of established flows delivered to the TCP stack of an agent that
    /// is not the owner.
    std::uint64_t wrong_deliveries = 0;
    /// Handshakes completed at an agent that is not the owner.
    std::uint64_t double_completions = 0;
    /// Delivered packets of established flows.
    std::uint64_t delivered = 0;
    /// Number of times that the packets in `delivered` were passed on.
    std::uint64_t passes = 0;
    std::uint64_t max_passes_seen = 0;
    /// Longest wait for the reply to a packet of a flow whose owner was not
    /// lost.
    std::int64_t longest_wait_ms = 0;
    /// Number of such waits of one second or more.
    std::uint64_t long_waits = 0;
};

run_result run(scheme& under_test, const run_options& options);

} // namespace fake

#endif
