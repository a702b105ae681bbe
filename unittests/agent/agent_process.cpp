#include "agent_process.hpp"

#include <guavastair/net.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <memory>

namespace fixture {

namespace net = guavastair::net;

static bool write_fully(int descriptor, const void* bytes, std::size_t size) {
    return write(descriptor, bytes, size) == static_cast<ssize_t>(size);
}

static bool read_fully(int descriptor, void* bytes, std::size_t size) {
    auto* destination = static_cast<char*>(bytes);
    while (size > 0) {
        const ssize_t got = read(descriptor, destination, size);
        if (got <= 0) {
            return false;
        }
        destination += got;
        size -= static_cast<std::size_t>(got);
    }
    return true;
}

placement::service_members
make_service_members(const std::array<serialized_member, max_members>& members,
                     std::size_t count) {
    placement::service_members service;
    service.name = {"orders"};
    service.address = service_address;
    for (std::size_t i = 0; i < count; ++i) {
        service.members.push_back({.id = members[i].id,
                                   .data = members[i].data,
                                   .data_centre = {"one"},
                                   .weight = 1,
                                   .joined = 1});
    }
    return service;
}

agent::agent_options test_options(support::member_id id,
                                  support::endpoint return_path) {
    agent::agent_options options;
    options.id = id;
    options.listen = loopback;
    options.service = {"orders"};
    options.service_address = service_address;
    options.return_path = return_path;
    options.flows.opening_delay = {};
    options.flows.reset_after = support::milliseconds(500);
    options.tcp.time_wait = support::milliseconds(500);
    options.tcp.linger = support::seconds(2);
    return options;
}

namespace {

/// The agent and its server in the child process.
class child_process {
public:
    child_process(const agent::agent_options& chosen,
                  const standin::server_options& server_options,
                  int command_pipe, int report_pipe)
        : server(std::make_unique<standin::server>(server_options)),
          input(command_pipe), output(report_pipe) {
        agent::agent_options options = chosen;
        options.server = this->server->local();
        auto opened = agent::agent::open(this->loop, options, this->observer);
        if (!opened.ok()) {
            _exit(1);
        }
        this->running = *std::move(opened);
        this->answer();
    }

    void run() {
        const absl::Status status =
            this->loop.watch(this->input, {.readable = true},
                             [this](auto) { this->handle_command(); });
        if (status.ok()) {
            this->loop.run();
        }
    }

private:
    void handle_command() {
        command next;
        if (!read_fully(this->input, &next, sizeof next)) {
            _exit(0);
        }
        switch (next.kind) {
        case command_kind::view:
            this->running->set_view(placement::fleet_view().with_service(
                make_service_members(next.members, next.member_count)));
            break;
        case command_kind::drain:
            this->running->set_draining(true);
            break;
        case command_kind::stop_server:
            this->last_server_counters = this->server->counters();
            this->server.reset();
            break;
        case command_kind::stop:
            this->running->stop(stop_bound, [this] { this->stopped = true; });
            break;
        case command_kind::report:
            break;
        }
        this->answer();
    }

    void answer() {
        const standin::server_counters counts =
            this->server ? this->server->counters()
                         : this->last_server_counters;
        const report now{this->running->local(), this->running->counters(),
                         counts, this->running->active_flows(), this->stopped};
        if (!write_fully(this->output, &now, sizeof now)) {
            _exit(1);
        }
    }

    support::steady_clock clock;
    net::event_loop loop{this->clock};
    counting_agent_observer observer;
    std::unique_ptr<standin::server> server;
    standin::server_counters last_server_counters;
    std::unique_ptr<agent::agent> running;
    bool stopped = false;
    int input;
    int output;
};

} // namespace

agent_process::agent_process(const agent::agent_options& options,
                             const standin::server_options& server)
    : id(options.id) {
    std::array<int, 2> command_pipe{};
    std::array<int, 2> report_pipe{};
    if (pipe(command_pipe.data()) != 0 || pipe(report_pipe.data()) != 0) {
        std::abort();
    }
    this->child = fork();
    if (this->child == 0) {
        std::signal(SIGPIPE, SIG_IGN);
        close(command_pipe[1]);
        close(report_pipe[0]);
        child_process(options, server, command_pipe[0], report_pipe[1]).run();
        _exit(0);
    }
    close(command_pipe[0]);
    close(report_pipe[1]);
    this->to_child = command_pipe[1];
    this->from_child = report_pipe[0];
    report ready;
    if (!read_fully(this->from_child, &ready, sizeof ready)) {
        std::abort();
    }
    this->data = ready.data;
}

agent_process::~agent_process() {
    close(this->to_child);
    kill(this->child, SIGKILL);
    waitpid(this->child, nullptr, 0);
    close(this->from_child);
}

report agent_process::run_command(const command& what) const {
    report result;
    if (!write_fully(this->to_child, &what, sizeof what) ||
        !read_fully(this->from_child, &result, sizeof result)) {
        std::abort();
    }
    return result;
}

} // namespace fixture
