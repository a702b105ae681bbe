#include <guavastair/metrics.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace metrics = guavastair::metrics;

TEST_CASE("metrics of one name share one header") {
    metrics::registry registry;
    metrics::counter& truncated = registry.add_counter(
        {"packets_dropped_total", "Dropped packets.", {{"reason", "a"}}});
    registry.add_gauge({"flows", "Open flows.", {}}, [] { return 7.0; });
    registry.add_counter({"packets_dropped_total",
                          "Dropped packets.",
                          {{"reason", "say \"b\""}}});
    truncated.add(3);
    CHECK(registry.text() == "# HELP packets_dropped_total Dropped packets.\n"
                             "# TYPE packets_dropped_total counter\n"
                             "packets_dropped_total{reason=\"a\"} 3\n"
                             "packets_dropped_total{reason=\"say \\\"b\\\"\"} "
                             "0\n"
                             "# HELP flows Open flows.\n"
                             "# TYPE flows gauge\n"
                             "flows 7\n");
}

TEST_CASE("a histogram's buckets are cumulative and end with the count") {
    metrics::registry registry;
    metrics::histogram& latency =
        registry.add_histogram({"latency_seconds", "Latency.", {}},
                               metrics::histogram_axis{2, 0.01, 1.0});
    for (const double value : {0.001, 0.05, 0.5, 5.0}) {
        latency.record(value);
    }
    const std::string text = registry.text();
    CHECK(text.find("latency_seconds_bucket{le=\"0.1\"} 2\n") !=
          std::string::npos);
    CHECK(text.find("latency_seconds_bucket{le=\"1\"} 3\n") !=
          std::string::npos);
    CHECK(text.find("latency_seconds_bucket{le=\"+Inf\"} 4\n") !=
          std::string::npos);
    CHECK(text.find("latency_seconds_count 4\n") != std::string::npos);
}

TEST_CASE("a quantile differs from the exact one by at most one bin") {
    CHECK(rc::check("quantile", [] {
        const auto values = *rc::gen::nonEmpty(
            rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 9999)));
        metrics::histogram histogram({400, 0.001, 10.0});
        std::vector<double> exact;
        for (const int value : values) {
            exact.push_back(value / 1000.0);
            histogram.record(exact.back());
        }
        std::sort(exact.begin(), exact.end());
        const double median = exact[(exact.size() - 1) / 2];
        constexpr double bin_ratio = 1.024;
        RC_ASSERT(histogram.quantile(0.5) >= median / bin_ratio);
        RC_ASSERT(histogram.quantile(0.5) <= median * bin_ratio);
    }));
}
