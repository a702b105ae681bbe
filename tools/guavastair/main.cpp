#include "command_line.hpp"
#include "commands.hpp"

#include <iostream>

namespace tool = guavastair::tool;
namespace support = guavastair::support;

static int report(const absl::Status& status) {
    if (status.ok()) {
        return 0;
    }
    const support::error_properties& row =
        support::properties_of(support::kind_of(status));
    std::cerr << "guavastair: " << row.name << ": " << status.message() << "\n";
    return row.exit_code;
}

int main(int argc, char** argv) {
    const std::span<const char* const> tokens(
        argv + 1, static_cast<std::size_t>(argc > 0 ? argc - 1 : 0));
    const auto commands = tool::all_commands();
    const auto read = tool::read_command_line(commands, tokens);
    if (!read.ok()) {
        return report(read.status());
    }
    if (read->wants_help) {
        std::cout << tool::help_text(commands, read->selected);
        return 0;
    }
    return report(read->selected->run(read->arguments));
}
