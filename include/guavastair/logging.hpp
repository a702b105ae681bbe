/// Structured log lines over log4cplus.
///
/// A line is a list of key=value pairs that begins with a stable event name.
/// Values with spaces, quotes or '=' are quoted. Each channel is a log4cplus
/// logger of its own, so the level of decisions can be set separately.

#ifndef GUAVASTAIR_LOGGING_HPP
#define GUAVASTAIR_LOGGING_HPP

#include <guavastair/support.hpp>

#include <concepts>
#include <cstdint>
#include <string>

namespace guavastair::logging {

enum class level : std::uint8_t { trace, debug, info, warn, error, off };

/// The loggers of the product.
enum class channel : std::uint8_t {
    /// Start, stop and supervision of the process.
    process,
    /// One line for each routing or placement decision.
    decision,
    /// Membership, configuration and the configuration store.
    control,
};

absl::string_view to_string(level value);
absl::string_view to_string(channel value);

/// Parses the name of a level. Fails with error_kind::invalid_input; the
/// message lists the valid names.
absl::StatusOr<level> parse_level(absl::string_view text);

struct options {
    /// Level of every channel except `decision`.
    level general = level::info;
    /// Level of the decision channel.
    level decisions = level::info;
    /// Path of the file to append to; empty for standard error.
    std::string file;
    /// Name of the node, written into each line.
    support::node_name node;
};

/// Sets up log4cplus for the process; may be called again to change options.
/// Fails with error_kind::invalid_input if the file cannot be opened.
absl::Status set_up(const options& settings);

/// Flushes and closes every appender. Call before the process exits.
void shut_down();

/// Builds one log line.
class line {
public:
    /// `event` is the stable name of the event, such as "flow_opened".
    explicit line(absl::string_view event);

    /// Makes a line from text that is already formatted as key=value pairs.
    static line from_pairs(std::string pairs);

    line& add(absl::string_view key, absl::string_view value);
    line& add(absl::string_view key, const char* value);
    line& add(absl::string_view key, const std::string& value);
    line& add(absl::string_view key, bool value);
    line& add(absl::string_view key, double value);
    line& add(absl::string_view key, support::endpoint value);
    line& add(absl::string_view key, support::member_id value);

    template <std::integral Integer>
    line& add(absl::string_view key, Integer value) {
        return this->add_verbatim(key, std::to_string(value));
    }

    template <typename Tag>
    line& add(absl::string_view key, const support::name<Tag>& value) {
        return this->add(key, value.value);
    }

    /// The line built so far.
    const std::string& text() const;

private:
    line() = default;
    line& add_verbatim(absl::string_view key, absl::string_view value);

    std::string content;
};

/// Whether a line of this level would be written. Check it before building a
/// line that is expensive to build.
bool is_enabled(channel target, level severity);

/// Writes `content` if its level is enabled.
void write(channel target, level severity, const line& content);

} // namespace guavastair::logging

#endif
