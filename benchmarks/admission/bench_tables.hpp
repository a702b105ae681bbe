/// Tables that compare admission policies on simulated servers.

#ifndef GUAVASTAIR_BENCHMARKS_ADMISSION_BENCH_TABLES_HPP
#define GUAVASTAIR_BENCHMARKS_ADMISSION_BENCH_TABLES_HPP

namespace admission_bench {

/// Prints all tables to standard output.
void print_tables();

} // namespace admission_bench

#endif
