/// Feeds arbitrary text to the parsers of status reports, configurations and
/// views. The configuration of a view that parses must be equal after the view
/// is serialized and parsed again. Settings are not covered, because the TOML
/// library itself has undefined behaviour on malformed non-ASCII text.

#include "operator_documents.hpp"
#include "server_report.hpp"

#include <cstdlib>
#include <string>

namespace platform = guavastair::platform;

static void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto call = platform::read_control_call(
        {"POST", "/api/instances/i-1/heartbeat", text});
    if (call.ok()) {
        const auto& report = std::get<platform::status_call>(*call).report;
        require(report.slots > 0 && report.warm_up_left.ms >= 0);
    }
    const auto config = platform::parse_configuration(text);
    if (config.ok()) {
        for (const auto& route : config->routes) {
            require(!route.services.empty() && route.address.port != 0);
        }
    }
    const auto view = platform::parse_view(text);
    if (view.ok()) {
        const auto reparsed = platform::parse_view(platform::write_view(*view));
        require(reparsed.ok() && reparsed->config == view->config);
    }
    return 0;
}
