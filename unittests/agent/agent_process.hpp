/// Agents with their servers, each in a child process, because a process has
/// only one TCP stack for each service address.

#ifndef GUAVASTAIR_UNITTESTS_AGENT_PROCESS_HPP
#define GUAVASTAIR_UNITTESTS_AGENT_PROCESS_HPP

#include "server.hpp"

#include <guavastair/agent.hpp>
#include <guavastair/placement.hpp>

#include <sys/types.h>

#include <array>

namespace fixture {

namespace agent = guavastair::agent;
namespace placement = guavastair::placement;
namespace standin = guavastair::standin;
namespace support = guavastair::support;

inline constexpr support::endpoint service_address{{0x0a010001}, 80};
inline constexpr support::endpoint loopback{{0x7f000001}, 0};

/// A member of the service in the format that is sent through the pipe.
struct serialized_member {
    support::member_id id;
    support::endpoint data;
};

inline constexpr std::size_t max_members = 4;

/// Commands to an agent process.
enum class command_kind : std::uint8_t {
    view,
    drain,
    report,
    stop_server,
    /// A planned stop with stop_bound.
    stop,
};

inline constexpr support::duration stop_bound = support::milliseconds(500);

struct command {
    command_kind kind = command_kind::report;
    std::array<serialized_member, max_members> members;
    std::size_t member_count = 0;
};

/// State that the agent process sends when it is ready and after every command.
struct report {
    support::endpoint data;
    agent::agent_counters counters;
    standin::server_counters server;
    std::uint64_t active_flows = 0;
    bool stopped = false;
};

/// One agent with its server in a child process, from construction to
/// destruction.
class agent_process {
public:
    /// The child determines the server's address and the data port.
    agent_process(const agent::agent_options& options,
                  const standin::server_options& server);
    ~agent_process();
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;

    serialized_member member() const {
        return {this->id, this->data};
    }

    /// Sends a command and waits for the resulting report.
    report run_command(const command& what) const;
    report run_command(command_kind kind) const {
        return this->run_command(command{.kind = kind});
    }

private:
    support::member_id id;
    support::endpoint data;
    pid_t child = 0;
    int to_child = -1;
    int from_child = -1;
};

/// The service with `members`.
placement::service_members
make_service_members(const std::array<serialized_member, max_members>& members,
                     std::size_t count);

/// Agent options with short time limits for tests.
agent::agent_options test_options(support::member_id id,
                                  support::endpoint return_path);

/// Counts the calls and discards their arguments.
class counting_agent_observer final : public agent::agent_observer {
public:
    void on_packet(const guavastair::flow::packet&,
                   const guavastair::flow::agent_action&) override {
        ++this->packets;
    }
    void on_bad_frame(support::endpoint,
                      guavastair::flow::drop_reason) override {
        ++this->bad_frames;
    }
    void on_flow_ended(support::endpoint, agent::flow_end) override {
        ++this->flows;
    }
    void on_request(support::endpoint,
                    const guavastair::request::decision&) override {
        ++this->requests;
    }

    int packets = 0;
    int bad_frames = 0;
    int flows = 0;
    int requests = 0;
};

} // namespace fixture

#endif
