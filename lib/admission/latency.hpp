/// Baseline latency of one server, and detection of a sudden rise.

#ifndef GUAVASTAIR_LIB_ADMISSION_LATENCY_HPP
#define GUAVASTAIR_LIB_ADMISSION_LATENCY_HPP

#include <guavastair/support.hpp>

namespace guavastair::admission {

/// Moving mean and standard deviation of latencies, and a cumulative sum
/// (CUSUM, Page's test) of how far responses exceed twice the larger of the
/// two. A single slow response is not enough to detect a rise; several in a
/// short time are. Where short and long requests are mixed the deviation is
/// large, so that the long ones do not accumulate evidence.
class latency_monitor {
public:
    /// Adds the latency of one response.
    void record(support::duration latency);

    /// Adds the largest evidence of a single response, for a failure whose
    /// latency has no meaning.
    void record_failure();

    /// Clears the evidence and keeps the baseline.
    void reset_evidence();

    /// Evidence of a sudden rise, at least 0.
    double evidence() const;

    /// Evidence from a request that has been in progress for `age`, at least 0.
    /// Does not change evidence().
    double evidence_from_age(support::duration age) const;

    bool has_samples() const;

    /// Moving mean; 0 before the first response.
    double baseline_ms() const;

    /// Standard deviation over mean; 0 while there are too few samples.
    double coefficient_of_variation() const;

    /// Mean of the last few responses.
    double recent_mean_ms() const;

private:
    double scale_ms() const;
    double excess(double latency_ms) const;

    int sample_count = 0;
    double mean_ms = 0.0;
    double variance = 0.0;
    double recent_mean = 0.0;
    double cusum = 0.0;
};

} // namespace guavastair::admission

#endif
