/// Measures the program's heap.

#ifndef GUAVASTAIR_BENCHMARKS_CONFIGURATION_HEAP_HPP
#define GUAVASTAIR_BENCHMARKS_CONFIGURATION_HEAP_HPP

#include <cstdint>

namespace guavastair {

/// Bytes allocated and not yet freed, including the allocator's rounding.
std::int64_t bytes_on_heap();

} // namespace guavastair

#endif
