/// The operator's commands as functions, with typed options and text or JSON
/// output.

#ifndef GUAVASTAIR_COMMANDS_HPP
#define GUAVASTAIR_COMMANDS_HPP

#include <guavastair/config.hpp>
#include <guavastair/store.hpp>
#include <guavastair/support.hpp>

#include <absl/status/status.h>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace guavastair::commands {

enum class output_format : std::uint8_t {
    /// Human-readable lines and tables.
    text,
    /// One JSON value on one line.
    json,
};

absl::string_view to_string(output_format value);

/// Parses the result of to_string(); error_kind::invalid_input for any other
/// text.
absl::StatusOr<output_format> parse_output_format(absl::string_view text);

/// Destination and format of a command's result.
struct output {
    std::ostream& stream;
    output_format format = output_format::text;
};

/// guavastair service put FILE [--base=REVISION]
struct service_put {
    /// A service document, JSON with comments.
    std::string path;
    /// The revision that the edit is based on; 0 for a new service.
    support::revision base;
};

/// guavastair service get NAME
struct service_get {
    support::service_name name;
};

/// guavastair service list
struct service_list {};

/// guavastair service delete NAME --base=REVISION
struct service_delete {
    support::service_name name;
    support::revision base;
};

/// guavastair data-centre withdraw NAME and return NAME, [--base=REVISION]
struct data_centre_set {
    support::data_centre_name name;
    bool withdrawn = false;
    /// The revision that the edit is based on. 0 creates the data centre;
    /// nullopt uses the current revision.
    std::optional<support::revision> base;
};

/// guavastair data-centre list
struct data_centre_list {};

enum class file_kind : std::uint8_t { balancer, agent, service, data_centre };

absl::string_view to_string(file_kind value);
absl::StatusOr<file_kind> parse_file_kind(absl::string_view text);

/// guavastair check KIND FILE...
struct check {
    file_kind kind = file_kind::service;
    std::vector<std::string> paths;
};

/// Each run() function writes its result to `out`. It returns the errors of
/// store::editor, or error_kind::invalid_input with every problem of the input.
/// Nothing is written to `out` on failure.
absl::Status run(const service_put& command, store::editor& editor, output out);
absl::Status run(const service_get& command, store::editor& editor, output out);
absl::Status run(const service_list& command, store::editor& editor,
                 output out);
absl::Status run(const service_delete& command, store::editor& editor,
                 output out);
absl::Status run(const data_centre_set& command, store::editor& editor,
                 output out);
absl::Status run(const data_centre_list& command, store::editor& editor,
                 output out);
absl::Status run(const check& command, output out);

/// Writes the kind of a failure, its message, and whether the command took
/// effect.
void write_failure(const absl::Status& failure, output out);

/// Returns the exit code of the process: 0 for OK, otherwise the code from
/// support::properties_of().
int exit_code(const absl::Status& status);

} // namespace guavastair::commands

#endif
