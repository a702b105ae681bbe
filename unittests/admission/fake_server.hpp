/// A simulated backend server on a virtual clock. It counts every request
/// beyond its current capacity.

#ifndef GUAVASTAIR_UNITTESTS_ADMISSION_FAKE_SERVER_HPP
#define GUAVASTAIR_UNITTESTS_ADMISSION_FAKE_SERVER_HPP

#include <guavastair/admission.hpp>

#include <cstdint>
#include <random>

namespace admission_test {

namespace admission = guavastair::admission;
namespace support = guavastair::support;

/// Distribution of the response latency. `mixed`: one request in ten is long,
/// 91 times as long as a short one.
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
    /// Shortest time from cold to all slots.
    support::duration ramp = support::seconds(20);
    /// Responses needed for each additional slot while cold.
    int ramp_answers = 5;
    /// Factors on the latency while cold and while overloaded.
    double cold_factor = 1.0;
    double overload_factor = 6.0;
    /// Refuses requests beyond its capacity instead of slowing down.
    bool refuses = false;
};

class fake_server {
public:
    fake_server(const server_model& model, std::uint64_t seed);

    struct offer_result {
        bool refused = false;
        /// Time of the response.
        support::instant answered;
    };

    offer_result offer(support::instant now);
    void finish_request();
    /// Resets the capacity to one request without notice to the agent. Requests
    /// in progress continue.
    void turn_cold(support::instant now);
    /// Number of concurrent requests that it can currently handle.
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
