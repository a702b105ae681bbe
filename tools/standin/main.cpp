/// Stand-ins for the surroundings of the system, for tests only:
///   guavastair-standin NAME [--flag=value ...]

#include "subcommands.hpp"

#include <absl/strings/string_view.h>

#include <array>
#include <iostream>

namespace standin = guavastair::standin;

namespace {

/// One stand-in of the binary.
struct subcommand {
    absl::string_view name;
    int (*run)(int argc, char** argv);
    absl::string_view purpose;
};

constexpr std::array subcommands{
    subcommand{"caller", standin::run_caller,
               "callers: TCP in user space, responses checked byte for byte"},
    subcommand{"fabric", standin::run_fabric,
               "packet fabric: sprays packets over balancers, with faults"},
    subcommand{"server", standin::run_server,
               "backend server: slots, cold start, feeds"},
    subcommand{"store", standin::run_store,
               "in-memory key-value store with etcd's JSON gateway"},
};

void print_usage() {
    std::cerr << "usage: guavastair-standin NAME [--flag=value ...]\n";
    for (const subcommand& row : subcommands) {
        std::cerr << "  " << row.name << "  " << row.purpose << "\n";
    }
}

} // namespace

int main(int argc, char** argv) {
    constexpr int usage_error = 2;
    const absl::string_view name = argc > 1 ? argv[1] : "";
    for (const subcommand& row : subcommands) {
        if (row.name == name) {
            return row.run(argc - 1, argv + 1);
        }
    }
    print_usage();
    return usage_error;
}
