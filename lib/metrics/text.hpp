/// Formatting of the Prometheus text format, shared by the metric types.

#ifndef GUAVASTAIR_LIB_METRICS_TEXT_HPP
#define GUAVASTAIR_LIB_METRICS_TEXT_HPP

#include <guavastair/metrics.hpp>

namespace guavastair::metrics {

/// Appends "# HELP" and "# TYPE" lines.
void append_header(std::string& out, const description& about,
                   absl::string_view type);

/// Appends "name{labels}"; `extra` is one more formatted label
/// or empty.
void append_name(std::string& out, const description& about,
                 absl::string_view suffix, absl::string_view extra_label = "");

} // namespace guavastair::metrics

#endif
