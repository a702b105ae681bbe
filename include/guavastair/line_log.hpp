/// Writes log lines to a descriptor with bounded memory and without blocking.
/// If the reader stops reading, or one event floods the log, lines are dropped
/// and counted.
///
/// For processes in which log4cplus and its threads would cost too much. Lines
/// have the format of logging::line.

#ifndef GUAVASTAIR_LINE_LOG_HPP
#define GUAVASTAIR_LINE_LOG_HPP

#include <guavastair/logging.hpp>
#include <guavastair/support.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace guavastair::line_log {

struct settings {
    /// Name of the node, written into each line.
    support::node_name node;
    /// Lowest level that is written.
    logging::level min_level = logging::level::info;
    /// Maximum number of lines of one event in one second; further ones are
    /// dropped and counted.
    std::uint32_t lines_per_event = 100;
    /// Maximum number of buffered bytes; further lines are dropped and counted.
    std::size_t buffer_size = std::size_t{256} * 1024;
};

/// Buffers lines and writes them on flush(). Not thread safe.
class writer {
public:
    /// `descriptor` must be non-blocking and outlive the writer.
    writer(settings options, int descriptor);
    writer(const writer&) = delete;
    writer& operator=(const writer&) = delete;

    /// Buffers a line about `event`. `wall_ms` is the time of day in ms.
    void write(support::instant now, std::int64_t wall_ms,
               logging::level severity, absl::string_view event,
               const logging::line& content);

    /// Writes as many buffered bytes as the descriptor accepts without
    /// blocking.
    void flush();

    /// Lines dropped so far, by the rate limit or for lack of buffer space.
    std::uint64_t dropped_lines() const;
    std::uint64_t written() const;

private:
    struct event_count {
        std::uint32_t written_count = 0;
        std::uint64_t dropped_lines = 0;
    };

    void begin_second(support::instant now, std::int64_t wall_ms);
    void append(std::int64_t wall_ms, logging::level severity,
                const logging::line& content);

    settings options;
    int descriptor;
    std::string pending;
    std::map<std::string, event_count, std::less<>> counts;
    support::instant second_start{INT64_MIN / 2};
    std::uint64_t dropped_count = 0;
    std::uint64_t written_count = 0;
};

/// Makes `descriptor` non-blocking. Fails with error_kind::internal.
absl::Status make_non_blocking(int descriptor);

} // namespace guavastair::line_log

#endif
