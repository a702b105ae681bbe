/// What a balancer or an agent tells about itself at /metrics.

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

/// Metrics are in seconds.
inline constexpr double ms_per_second = 1000.0;

inline constexpr absl::string_view metrics_path = "/metrics";

/// Registers what both processes have in common; `owner` and `view` must
/// outlive `page`.
void add_common_metrics(metrics::registry& page, process_context& context,
                        const view_synchronizer& view_sync);

/// Counts decisions by outcome and basis, which are closed lists of names: the
/// views given must stay valid.
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

/// The page as an answer.
http::response metrics_response(const metrics::registry& page);

} // namespace guavastair::relay

#endif
