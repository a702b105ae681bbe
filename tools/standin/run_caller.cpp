#include "caller.hpp"
#include "command_line.hpp"
#include "subcommands.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include <iostream>

ABSL_FLAG(std::string, caller_fabric, "", "caller: the fabric's UDP address");
ABSL_FLAG(std::string, caller_address, "10.99.0.1",
          "caller: IPv4 address inside the packets");
ABSL_FLAG(std::string, caller_service, "", "caller: the service's address");
ABSL_FLAG(std::string, caller_mode, "content",
          "caller: content, order or feed");
ABSL_FLAG(std::uint64_t, caller_connections, 1, "caller: open connections");
ABSL_FLAG(std::uint64_t, caller_opened_per_second, 1000,
          "caller: connections opened in one second at the start");
ABSL_FLAG(std::uint64_t, caller_requests_per_connection, 10,
          "caller: requests per connection before it is reopened; 0 for no "
          "limit");
ABSL_FLAG(std::uint64_t, caller_max_requests, 0,
          "caller: requests after which the run ends; 0 for no limit");
ABSL_FLAG(std::int64_t, caller_duration_ms, 10000, "caller: length of the run");
ABSL_FLAG(std::int64_t, caller_pause_ms, 0,
          "caller: pause between an answer and the next request");
ABSL_FLAG(std::uint64_t, caller_content_size, 10000,
          "caller: bytes of content per request");
ABSL_FLAG(std::uint64_t, caller_upload_size, 0,
          "caller: bytes in the body of an order");
ABSL_FLAG(std::uint64_t, caller_feed_lines, 100, "caller: lines of a feed");
ABSL_FLAG(std::int64_t, caller_feed_interval_ms, 100,
          "caller: time between two lines of a feed");
ABSL_FLAG(std::int64_t, caller_timeout_ms, 30000,
          "caller: time without a response after which a request is lost");
ABSL_FLAG(std::uint32_t, caller_first_port, 10000,
          "caller: first local port; a restarted caller needs another range");

namespace guavastair::standin {

/// Interval between checks whether the peers have acknowledged the end of all
/// flows.
static constexpr support::duration close_poll_period =
    support::milliseconds(50);

static caller_options options_from_flags() {
    const auto mode = parse_caller_mode(absl::GetFlag(FLAGS_caller_mode));
    const auto address =
        support::parse_ipv4_address(absl::GetFlag(FLAGS_caller_address));
    if (!mode.has_value() || !address.ok()) {
        std::exit(usage_error("--caller_mode must be content, order or feed "
                              "and --caller_address must be a.b.c.d"));
    }
    return {
        .fabric =
            endpoint_flag("caller_fabric", absl::GetFlag(FLAGS_caller_fabric)),
        .address = *address,
        .service = endpoint_flag("caller_service",
                                 absl::GetFlag(FLAGS_caller_service)),
        .mode = *mode,
        .connections = absl::GetFlag(FLAGS_caller_connections),
        .opened_per_second = absl::GetFlag(FLAGS_caller_opened_per_second),
        .requests_per_connection =
            absl::GetFlag(FLAGS_caller_requests_per_connection),
        .max_requests = absl::GetFlag(FLAGS_caller_max_requests),
        .duration =
            support::milliseconds(absl::GetFlag(FLAGS_caller_duration_ms)),
        .pause = support::milliseconds(absl::GetFlag(FLAGS_caller_pause_ms)),
        .content_size = absl::GetFlag(FLAGS_caller_content_size),
        .upload_size = absl::GetFlag(FLAGS_caller_upload_size),
        .feed_lines = absl::GetFlag(FLAGS_caller_feed_lines),
        .feed_interval =
            support::milliseconds(absl::GetFlag(FLAGS_caller_feed_interval_ms)),
        .timeout =
            support::milliseconds(absl::GetFlag(FLAGS_caller_timeout_ms)),
        .first_port =
            static_cast<std::uint16_t>(absl::GetFlag(FLAGS_caller_first_port)),
    };
}

int run_caller(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    const support::steady_clock clock;
    net::event_loop loop(clock);
    stop_on_signal(loop);
    bool ended = false;
    const auto opened =
        caller::open(loop, options_from_flags(), [&ended] { ended = true; });
    if (!opened.ok()) {
        return usage_error(opened.status().message());
    }
    // A caller that exits while its last FIN is lost leaves its flow open at
    // the agent.
    loop.call_every(close_poll_period, [&] {
        if (ended && (*opened)->is_fully_closed()) {
            loop.stop();
        }
    });
    loop.run();
    const caller_summary summary = (*opened)->summary();
    std::cout << to_json(summary) << std::endl;
    return summary.wrong_bytes == 0 ? 0 : 1;
}

} // namespace guavastair::standin
