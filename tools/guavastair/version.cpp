#include "commands.hpp"

#include <iostream>

namespace guavastair::tool {

absl::Status run_version(std::span<const std::string> /*arguments*/) {
    std::cout << "guavastair " << GUAVASTAIR_VERSION << "\n";
    return absl::OkStatus();
}

} // namespace guavastair::tool
