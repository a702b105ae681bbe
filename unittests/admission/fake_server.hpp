/// A small backend server on a virtual clock. It knows what it can bear and
/// counts every request beyond that.

#ifndef GUAVASTAIR_UNITTESTS_ADMISSION_FAKE_SERVER_HPP
#define GUAVASTAIR_UNITTESTS_ADMISSION_FAKE_SERVER_HPP

#include <guavastair/admission.hpp>

#include <cstdint>
#include <random>

namespace admission_test {

namespace admission = guavastair::admission;
namespace support = guavastair::support;

/// `mixed`: nine short requests for each long one.
enum class latency_distribution : std::uint8_t {
    fixed,
    exponential,
    lognormal,
    mixed
};

struct server_model {
    int slots = 5;
    double mean_ms = 100.0;
    latency_distribution latencies = latency_distribution::exponential;
    /// From cold to full slots.
    support::duration ramp = support::seconds(20);
    /// Answers for each further slot while cold.
    int ramp_answers = 5;
    /// Factor on latency while cold, and when overloaded.
    double cold_factor = 1.0;
    double overload_factor = 6.0;
    /// Refuses what it cannot bear instead of slowing down.
    bool refuses = false;
};

class fake_server {
public:
    fake_server(const server_model& model, std::uint64_t seed);

    struct offer_result {
        bool refused = false;
        /// When the answer comes.
        support::instant answered;
    };

    offer_result offer(support::instant now);
    void finish_request();
    /// Cold again, unannounced. Requests in progress go on.
    void turn_cold(support::instant now);
    /// What it can bear at present.
    int capacity(support::instant now) const;

    int running = 0;
    std::int64_t offered = 0;
    std::int64_t overloads = 0;

private:
    double draw_ms();

    server_model model;
    std::mt19937_64 random;
    support::instant cold_since;
    std::int64_t answers = 0;
};

} // namespace admission_test

#endif
