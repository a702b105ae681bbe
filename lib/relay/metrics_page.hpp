/// The metrics that a balancer or an agent exports at /metrics.

#ifndef GUAVASTAIR_LIB_RELAY_METRICS_PAGE_HPP
#define GUAVASTAIR_LIB_RELAY_METRICS_PAGE_HPP

#include "process_context.hpp"
#include "view_synchronizer.hpp"

#include <guavastair/http.hpp>
#include <guavastair/metrics.hpp>

#include <absl/container/flat_hash_map.h>

#include <string>
#include <utility>

namespace guavastair::relay {

/// Converts durations in milliseconds to metrics in seconds.
inline constexpr double ms_per_second = 1000.0;

inline constexpr absl::string_view metrics_path = "/metrics";

/// Registers the metrics that balancers and agents have in common. `context`
/// and `view_sync` must outlive `page`.
void add_common_metrics(metrics::registry& page, process_context& context,
                        const view_synchronizer& view_sync);

/// Counts decisions by outcome and basis. Each has a small, fixed set of
/// values. The strings passed to count() must outlive this object.
class decision_counters {
public:
    decision_counters(metrics::registry& page, std::string name,
                      std::string help);

    void count(absl::string_view outcome, absl::string_view basis);

private:
    metrics::registry& page;
    std::string name;
    std::string help;
    absl::flat_hash_map<std::pair<absl::string_view, absl::string_view>,
                        metrics::counter*>
        counters;
};

/// Returns the metrics page as an HTTP response.
http::response metrics_response(const metrics::registry& page);

} // namespace guavastair::relay

#endif
