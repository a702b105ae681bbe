/// Log lines to a descriptor, bounded and never blocking: a reader that stops
/// reading, or a flood of one kind of event, costs lines, not service.
///
/// Meant for processes that cannot afford log4cplus and its threads; the lines
/// are those of logging::line.

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
    /// Written into each line.
    support::node_name node;
    /// Least severity that is written.
    logging::level min_level = logging::level::info;
    /// Lines of one event in one second; further ones are counted.
    std::uint32_t lines_per_event = 100;
    /// Bytes that wait for the reader; further lines are counted.
    std::size_t buffer_size = std::size_t{256} * 1024;
};

/// Collects lines and writes them when asked. Not thread-safe.
class writer {
public:
    /// `descriptor` must be non-blocking and outlive the writer.
    writer(settings options, int descriptor);
    writer(const writer&) = delete;
    writer& operator=(const writer&) = delete;

    /// Adds a line about `event`. `wall_ms` is the time of day in ms.
    void write(support::instant now, std::int64_t wall_ms,
               logging::level severity, absl::string_view event,
               const logging::line& content);

    /// Hands over as much as the reader takes now.
    void flush();

    /// Lines left out so far, for either reason.
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
