#include "command_line.hpp"
#include "server.hpp"
#include "subcommands.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <Poco/Exception.h>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, server_listen, "127.0.0.1:0",
          "server: TCP address to listen on");
ABSL_FLAG(int, server_slots, 5, "server: concurrent requests when warm");
ABSL_FLAG(int, server_cold_slots, 1, "server: concurrent requests when cold");
ABSL_FLAG(std::int64_t, server_warm_up_ms, 0,
          "server: time from cold to warm; 0 for always warm");
ABSL_FLAG(std::int64_t, server_service_ms, 5,
          "server: service time of a request below capacity");
ABSL_FLAG(int, server_shed_factor, 4,
          "server: rejects requests beyond this many times its capacity");
ABSL_FLAG(std::int64_t, server_report_lag_ms, 0,
          "server: age of the state that /health and /load report");
ABSL_FLAG(bool, server_misreport, false,
          "server: /health and /load always report an idle, healthy server");

namespace guavastair::standin {

int run_server(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const server_options options{
        .listen =
            endpoint_flag("server_listen", absl::GetFlag(FLAGS_server_listen)),
        .slots = absl::GetFlag(FLAGS_server_slots),
        .cold_slots = absl::GetFlag(FLAGS_server_cold_slots),
        .warm_up =
            support::milliseconds(absl::GetFlag(FLAGS_server_warm_up_ms)),
        .service_time =
            support::milliseconds(absl::GetFlag(FLAGS_server_service_ms)),
        .shed_factor = absl::GetFlag(FLAGS_server_shed_factor),
        .report_lag =
            support::milliseconds(absl::GetFlag(FLAGS_server_report_lag_ms)),
        .misreport = absl::GetFlag(FLAGS_server_misreport)};
    try {
        const server running(options);
        std::cout << "server " << support::to_string(running.local())
                  << std::endl;
        int received = 0;
        sigwait(&signals, &received);
        std::cout << to_json(running.counters()) << std::endl;
    } catch (const Poco::Exception& error) {
        return usage_error("--server_listen " +
                           support::to_string(options.listen) + ": " +
                           error.displayText());
    }
    return 0;
}

} // namespace guavastair::standin
