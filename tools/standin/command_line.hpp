/// Command-line and signal handling shared by the stand-ins.

#ifndef GUAVASTAIR_TOOLS_STANDIN_COMMAND_LINE_HPP
#define GUAVASTAIR_TOOLS_STANDIN_COMMAND_LINE_HPP

#include <guavastair/net.hpp>
#include <guavastair/support.hpp>

#include <absl/strings/string_view.h>

namespace guavastair::standin {

/// Exit code for a bad command line.
inline constexpr int usage_exit_code = 2;

/// Parses "a.b.c.d:port". Port 0 lets the system choose. Prints the error with
/// the flag's name and exits with usage_exit_code if `value` is malformed.
support::endpoint endpoint_flag(absl::string_view flag,
                                absl::string_view value);

/// Prints `message` and returns usage_exit_code.
int usage_error(absl::string_view message);

/// Makes SIGTERM and SIGINT stop `loop`, and ignores SIGPIPE. Call once, before
/// threads start.
void stop_on_signal(net::event_loop& loop);

} // namespace guavastair::standin

#endif
