/// Command descriptions and the command-line parser.

#ifndef GUAVASTAIR_TOOLS_COMMAND_LINE_HPP
#define GUAVASTAIR_TOOLS_COMMAND_LINE_HPP

#include <guavastair/support.hpp>

#include <span>
#include <string>
#include <vector>

namespace guavastair::tool {

/// One command of the binary.
struct command {
    /// One or two words, such as "service put".
    absl::string_view name;
    /// The positional arguments as help shows them.
    absl::string_view arguments;
    std::size_t min_arguments;
    std::size_t max_arguments;
    absl::string_view summary;
    /// Names of the flags that the command accepts.
    std::vector<absl::string_view> flags;
    /// Runs the command with its positional arguments.
    absl::Status (*run)(std::span<const std::string> arguments);
};

/// A parsed command line. Its flags have been set.
struct invocation {
    const command* selected = nullptr;
    std::vector<std::string> arguments;
    /// True if --help was given. `selected` is null if no command was named.
    bool wants_help = false;
};

/// Parses `tokens` (without the program's name) and sets the flags among them.
/// Fails with error_kind::invalid_input. The message names the rejected token,
/// what is allowed and the nearest valid name.
absl::StatusOr<invocation>
read_command_line(std::span<const command> commands,
                  std::span<const char* const> tokens);

/// Returns the help text of `selected`, or an overview of all commands if it is
/// null.
std::string help_text(std::span<const command> commands,
                      const command* selected);

} // namespace guavastair::tool

#endif
