/// The measurements of bench_forwarding.

#ifndef GUAVASTAIR_BENCHMARKS_FORWARDING_MEASUREMENTS_HPP
#define GUAVASTAIR_BENCHMARKS_FORWARDING_MEASUREMENTS_HPP

#include <absl/strings/string_view.h>

#include <cstddef>

namespace bench {

void measure_rate();
void measure_cost();

/// `protocol` is tcp or http. Call at most once per process, because the
/// agent's process starts with a copy of this process's heap.
void measure_memory(absl::string_view protocol, std::size_t connections);

} // namespace bench

#endif
