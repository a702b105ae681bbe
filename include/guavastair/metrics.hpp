/// Counters, gauges and histograms of one process, and their text in the
/// Prometheus exposition format.
///
/// Names end in their unit, as the conventions of the format require: _total,
/// _bytes, _seconds, _ratio.

#ifndef GUAVASTAIR_METRICS_HPP
#define GUAVASTAIR_METRICS_HPP

#include <guavastair/support.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavastair::metrics {

/// One dimension of a metric, such as reason="fragment".
struct label {
    std::string name;
    std::string value;
};

/// Name, help text and labels of a metric.
struct description {
    std::string name;
    std::string help;
    std::vector<label> labels;
};

/// A count that only grows. Safe from any thread.
class counter {
public:
    void add(std::uint64_t amount = 1) noexcept;
    std::uint64_t value() const noexcept;

private:
    std::atomic<std::uint64_t> count = 0;
};

/// The bins of a histogram: `bins` bins of equal width on a logarithmic axis
/// from `lowest` to `highest`.
struct histogram_axis {
    unsigned bins = 40;
    double lowest = 0.0001;
    double highest = 10.0;
};

/// A distribution of values, kept by Boost.Histogram. Safe from any thread.
class histogram {
public:
    explicit histogram(histogram_axis axis);
    ~histogram();

    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    /// Adds one value, in the unit of the metric's name.
    void record(double value);

    /// The upper edge of the bin that contains the given quantile (0 to 1); 0
    /// if the histogram is empty.
    double quantile(double fraction) const;

    std::uint64_t count() const;

    /// Appends the lines of the histogram in the exposition format.
    void append_text(std::string& out, const description& about) const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

/// All metrics of one process. Metrics live as long as the registry.
class registry {
public:
    registry();
    ~registry();

    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    counter& add_counter(description about);
    histogram& add_histogram(description about, histogram_axis axis);

    /// Adds a gauge. `read` returns its value and is called by each text(). It
    /// must be safe to call from any thread during the registry's lifetime.
    void add_gauge(description about, std::function<double()> read);

    /// Adds a counter whose value `read` returns. The same requirements as for
    /// add_gauge() apply to `read`.
    void add_counter(description about, std::function<std::uint64_t()> read);

    /// Formats every metric in the Prometheus text format.
    std::string text() const;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::metrics

#endif
