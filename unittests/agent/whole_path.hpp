#ifndef GUAVASTAIR_UNITTESTS_WHOLE_PATH_HPP
#define GUAVASTAIR_UNITTESTS_WHOLE_PATH_HPP

#include "agent_process.hpp"
#include "caller.hpp"
#include "fabric.hpp"

#include <guavastair/balancer.hpp>

#include <memory>
#include <vector>

namespace fixture {

namespace balancer = guavastair::balancer;
namespace net = guavastair::net;

/// Counts the events that a balancer reports.
class counting_observer final : public balancer::balancer_observer {
public:
    void on_opening(const guavastair::flow::forward_action&) override {
        ++this->openings;
    }
    void on_drop(support::endpoint, const guavastair::flow::forward_action&,
                 std::uint64_t unobserved) override {
        ++this->drops;
        this->unobserved_drops += unobserved;
    }

    int openings = 0;
    int drops = 0;
    std::uint64_t unobserved_drops = 0;
};

struct path_options {
    std::size_t agents = 2;
    std::size_t balancers = 2;
    agent::protocol flow_protocol = agent::protocol::tcp;
    std::uint32_t max_connections = 1000;
    net::tcp_stack_options tcp;
    standin::server_options server;
    standin::fabric_faults faults;
};

/// Callers, packet fabric and balancers on one event loop; each agent with its
/// server in a child process.
class whole_path {
public:
    explicit whole_path(const path_options& options);
    ~whole_path();

    /// Sets the view of all balancers and agents to the agents in [from, to).
    void set_view(std::size_t from, std::size_t to);

    /// Sets the view of one balancer to the agents in [from, to).
    void set_balancer_view(std::size_t index, std::size_t from, std::size_t to);

    /// Starts callers that replace those of an earlier call.
    void call(standin::caller_options options);

    /// Runs until the callers are done. Returns false after 60 s.
    bool run_to_end();
    void run_for(support::duration span);

    template <typename Condition> bool run_until(Condition done) {
        const support::instant limit = this->loop.now() + support::seconds(60);
        while (!done()) {
            if (this->loop.now() > limit) {
                return false;
            }
            this->loop.run_once(support::milliseconds(5));
        }
        return true;
    }

    support::steady_clock clock;
    net::event_loop loop{this->clock};
    std::unique_ptr<standin::fabric> fabric;
    std::vector<std::unique_ptr<agent_process>> agents;
    counting_observer observer;
    std::vector<std::unique_ptr<balancer::balancer>> balancers;
    std::unique_ptr<standin::caller> callers;
    bool callers_done = false;

private:
    command view_command(std::size_t from, std::size_t to) const;

    std::uint16_t next_port = 10'000;
};

} // namespace fixture

#endif
