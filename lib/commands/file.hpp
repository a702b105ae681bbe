/// Reads the input files of commands.

#ifndef GUAVASTAIR_LIB_COMMANDS_FILE_HPP
#define GUAVASTAIR_LIB_COMMANDS_FILE_HPP

#include <absl/status/statusor.h>

#include <string>

namespace guavastair::commands {

/// Returns the text of a file, or error_kind::invalid_input if it cannot be
/// read.
absl::StatusOr<std::string> read_file(const std::string& path);

} // namespace guavastair::commands

#endif
