/// The operator's commands as functions: typed options in, text or JSON out.

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
    /// Lines and tables for people.
    text,
    /// One JSON value on one line.
    json,
};

absl::string_view to_string(output_format value);

/// Reads what to_string() wrote; error_kind::invalid_input for anything else.
absl::StatusOr<output_format> parse_output_format(absl::string_view text);

/// Where a command writes its result, and how.
struct output {
    std::ostream& stream;
    output_format format = output_format::text;
};

/// guavastair service put FILE [--base=REVISION]
struct service_put {
    /// A service document, JSON with comments.
    std::string path;
    /// The revision that was edited; 0 for a new service.
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
    /// 0 makes a data centre known.
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

/// Each writes its result to `out` and fails as store::editor does, or with
/// error_kind::invalid_input that lists every problem of the input. Nothing is
/// written to `out` on failure.
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

/// Writes a failure: its kind, its message, and whether the command was run.
void write_failure(const absl::Status& failure, output out);

/// The exit code of the process: 0 or that of support::properties_of().
int exit_code(const absl::Status& status);

} // namespace guavastair::commands

#endif
