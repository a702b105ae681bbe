/// Usual latency of one server's answers, and evidence that it has risen.

#ifndef GUAVASTAIR_LIB_ADMISSION_LATENCY_HPP
#define GUAVASTAIR_LIB_ADMISSION_LATENCY_HPP

#include <guavastair/support.hpp>

namespace guavastair::admission {

/// Moving mean and deviation of latencies, and a cumulative sum (CUSUM, Page's
/// test) of how far answers exceed twice the larger of the two. One slow answer
/// proves nothing, a few in a short while do. Where short and long requests
/// are mixed the deviation is large, and long ones do not add up.
class latency_monitor {
public:
    /// Learns one latency.
    void record(support::duration latency);

    /// Learns of an answer that is bad whatever its latency.
    void record_failure();

    /// Forgets the evidence but not the usual latency.
    void reset_evidence();

    /// Evidence for a sudden rise, at least 0.
    double evidence() const;

    /// What a request that has been in progress for `age` adds to it.
    double evidence_from_age(support::duration age) const;

    bool has_samples() const;

    /// Mean in milliseconds; 0 before the first answer.
    double baseline_ms() const;

    /// Deviation as a share of the mean; 0 while too little is known.
    double coefficient_of_variation() const;

    /// Mean of the last few answers in milliseconds.
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
