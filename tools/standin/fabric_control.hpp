/// Commands that change the balancers and faults of a running fabric.

#ifndef GUAVASTAIR_TOOLS_STANDIN_FABRIC_CONTROL_HPP
#define GUAVASTAIR_TOOLS_STANDIN_FABRIC_CONTROL_HPP

#include "fabric.hpp"

#include <absl/status/status.h>
#include <absl/strings/string_view.h>

#include <string>
#include <vector>

namespace guavastair::standin {

/// Parses a list of "a.b.c.d:port[@delay_ms]" separated by commas or spaces.
absl::StatusOr<std::vector<fabric_balancer>>
parse_balancers(absl::string_view text);

/// Runs one command:
///   balancers a.b.c.d:port[@delay_ms],...
///   faults lose=N duplicate=N reorder=N     in parts of 10000
///   silence                                 see silence_known_flows()
absl::Status run_command(fabric& target, absl::string_view line);

/// Runs the commands in a file, one per line, whenever the file changes. A file
/// whose last line is incomplete is ignored.
class control_file {
public:
    /// No file is read if `path` is empty.
    control_file(net::event_loop& events, fabric& controlled, std::string path);
    ~control_file();
    control_file(const control_file&) = delete;
    control_file& operator=(const control_file&) = delete;

private:
    void poll();

    net::event_loop& loop;
    fabric& target;
    std::string file;
    std::string last_text;
    net::timer_id timer;
};

} // namespace guavastair::standin

#endif
