#include "command_line.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace guavastair::standin {

static net::event_loop* loop_to_stop = nullptr;

support::endpoint endpoint_flag(absl::string_view flag,
                                absl::string_view value) {
    absl::string_view host = value;
    if (absl::ConsumeSuffix(&host, ":0")) {
        const auto address = support::parse_ipv4_address(host);
        if (address.ok()) {
            return {*address, 0};
        }
    }
    const auto parsed = support::parse_endpoint(value);
    if (!parsed.ok()) {
        std::exit(usage_error(
            absl::StrCat("--", flag, ": ", parsed.status().message())));
    }
    return *parsed;
}

int usage_error(absl::string_view message) {
    std::cerr << message << std::endl;
    return usage_exit_code;
}

void stop_on_signal(net::event_loop& loop) {
    loop_to_stop = &loop;
    const auto stop = [](int) { loop_to_stop->stop(); };
    std::signal(SIGTERM, stop);
    std::signal(SIGINT, stop);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace guavastair::standin
