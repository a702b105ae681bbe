/// Measures the data path on this machine and prints one line of JSON per
/// measurement:
///   bench_forwarding rate | cost | memory tcp|http CONNECTIONS
///
/// rate    packets per second through one balancer loop, compared with a relay
///         that only copies datagrams
/// cost    processor time and latency of the whole path
/// memory  resident memory of an agent, idle and with connections

#include "measurements.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

#include <iostream>

int main(int argc, char** argv) {
    std::size_t connections = 0;
    const absl::string_view what = argc > 1 ? argv[1] : "";
    if (what == "rate") {
        bench::measure_rate();
    } else if (what == "cost") {
        bench::measure_cost();
    } else if (what == "memory" && argc == 4 &&
               absl::SimpleAtoi(argv[3], &connections) && connections > 0) {
        bench::measure_memory(argv[2], connections);
    } else {
        std::cerr << "usage: bench_forwarding rate|cost|memory tcp|http "
                     "CONNECTIONS\n";
        return 2;
    }
    return 0;
}
