#include "commands.hpp"
#include "flags.hpp"

#include <guavastair/config.hpp>
#include <guavastair/node.hpp>

#include <absl/flags/flag.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <thread>

namespace guavastair::tool {

namespace {

/// Turns SIGTERM and SIGINT into a stop request. Must be constructed before any
/// other thread starts, so that all threads inherit the blocked signals.
class signal_stop {
public:
    signal_stop() {
        sigemptyset(&this->signals);
        sigaddset(&this->signals, SIGTERM);
        sigaddset(&this->signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &this->signals, nullptr);
        this->waiter = std::thread([this] {
            int received = 0;
            sigwait(&this->signals, &received);
            this->source.request_stop();
        });
    }

    ~signal_stop() {
        // Wakes the waiting thread if no signal has arrived.
        kill(getpid(), SIGTERM);
        this->waiter.join();
    }

    signal_stop(const signal_stop&) = delete;
    signal_stop& operator=(const signal_stop&) = delete;

    std::stop_token token() const {
        return this->source.get_token();
    }

private:
    sigset_t signals{};
    std::stop_source source;
    std::thread waiter;
};

/// Exits without running destructors if a thread outlived the planned stop,
/// because that thread may still use any object. Otherwise returns `status`.
absl::Status exit_if_forced(const absl::Status& status) {
    const bool forced =
        !status.ok() &&
        support::kind_of(status) == support::error_kind::deadline_exceeded;
    if (forced) {
        std::_Exit(node::forced_stop_exit_code);
    }
    return status;
}

} // namespace

absl::Status run_balancer_command(std::span<const std::string> /*arguments*/) {
    const auto settings =
        config::load_balancer_settings(absl::GetFlag(FLAGS_settings));
    if (!settings.ok()) {
        return config::to_status(settings.problems);
    }
    const signal_stop stop;
    return exit_if_forced(node::run_balancer(settings.value, stop.token()));
}

absl::Status run_agent_command(std::span<const std::string> /*arguments*/) {
    const auto settings =
        config::load_agent_settings(absl::GetFlag(FLAGS_settings));
    if (!settings.ok()) {
        return config::to_status(settings.problems);
    }
    const signal_stop stop;
    return exit_if_forced(node::run_agent(settings.value, stop.token()));
}

} // namespace guavastair::tool
