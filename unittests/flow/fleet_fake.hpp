/// A small fake of a fleet for the flow search test: agents that join, drain,
/// leave, restart, die and change their service, and processes that learn of
/// it late and in any order. Function calls on a virtual clock; no sockets.

#ifndef GUAVASTAIR_UNITTESTS_FLEET_FAKE_HPP
#define GUAVASTAIR_UNITTESTS_FLEET_FAKE_HPP

#include <guavastair/flow.hpp>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace fake {

namespace flow = guavastair::flow;
namespace placement = guavastair::placement;
namespace support = guavastair::support;

using random_source = std::mt19937_64;

/// A number from 0 to `end` - 1.
std::uint64_t draw(random_source& random, std::uint64_t end);

/// Runs callbacks in the order of virtual time.
class scheduler {
public:
    support::instant now() const {
        return this->current;
    }
    void after(std::int64_t ms, std::function<void()> action);
    /// Runs everything due until `end`.
    void run_until(support::instant end);

private:
    struct event {
        std::int64_t ms;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const event& other) const {
            return this->ms != other.ms ? this->ms > other.ms
                                        : this->sequence > other.sequence;
        }
    };

    std::priority_queue<event> events;
    std::uint64_t next_sequence = 0;
    support::instant current;
};

/// One thing that a process learns about the fleet.
struct fact {
    enum class kind { joined, draining, left, withdrawn, returned };

    kind what;
    std::size_t service = 0;
    placement::member member;
};

/// What one process knows of the fleet.
class process_view {
public:
    void learn(const fact& news);
    /// The first service with all members, draining ones included.
    const placement::fleet_view& all();
    /// Members that are not draining; for schemes that take those out.
    const placement::fleet_view& accepting();
    bool knows_withdrawn(const support::data_centre_name& name) const;

private:
    std::shared_ptr<const placement::fleet_view>
    make_view(bool with_draining) const;

    std::map<support::member_id, fact> members;
    std::set<support::member_id> draining;
    std::set<support::member_id> left;
    std::vector<support::data_centre_name> withdrawn;
    std::map<support::data_centre_name, std::uint64_t> returned;
    std::shared_ptr<const placement::fleet_view> cached_all;
    std::shared_ptr<const placement::fleet_view> cached_accepting;
};

/// Number of services in the fleet; the first has the flows.
inline constexpr std::size_t service_count = 2;

support::endpoint address_of_service(std::size_t service);

/// A connection in an agent's TCP stack.
struct connection {
    std::uint32_t initial_sequence = 0;
    bool is_complete = false;
};

/// Gives each answer with a fixed probability.
class random_admission final : public flow::admission_policy {
public:
    explicit random_admission(std::uint64_t seed) : random(seed) {}
    flow::admission_decision decide_admission(support::instant now) override;

private:
    random_source random;
};

/// An agent with its TCP stack.
struct agent {
    agent(std::size_t service, const placement::member& member,
          const flow::flow_table_settings& settings, support::instant now);

    std::size_t service;
    placement::member member;
    bool is_draining = false;
    std::map<support::endpoint, connection> stack;
    process_view view;
    random_admission admission;
    flow::flow_table table;
};

/// How a load balancer under test decides.
class scheme {
public:
    virtual ~scheme() = default;
    virtual const char* name() const = 0;
    /// The frame in which balancer number `balancer` sends `packet`, if any.
    virtual std::optional<flow::frame_header>
    forward(std::size_t balancer, process_view& view,
            const flow::packet& packet) = 0;
    virtual flow::agent_action receive(agent& at,
                                       const flow::frame_header& header,
                                       const flow::packet& packet,
                                       support::instant now) = 0;
};

/// The agents of the fleet and what happens to them.
class fleet {
public:
    /// Calls when agents come to an end.
    struct observer {
        std::function<void(const agent&)> on_death;
        std::function<void(const support::data_centre_name&)> on_withdrawal;
    };

    fleet(scheduler& time, std::uint64_t seed, std::size_t first_size,
          flow::flow_table_settings settings);

    void set_observer(observer callbacks) {
        this->callbacks = std::move(callbacks);
    }
    /// Makes one change of a random kind now.
    void change();
    /// The agent that receives at `address`, or null.
    agent* at(support::endpoint address);
    /// The living agent of that id, or null.
    agent* find(support::member_id id);
    process_view& balancer(std::size_t index);
    /// Whether an agent came to an end that was not planned.
    bool has_died(support::member_id id) const;
    /// Whether flows in `name` are given up.
    bool is_withdrawn(const support::data_centre_name& name) const;
    std::uint64_t changes() const {
        return this->change_count;
    }

    static constexpr std::size_t balancer_count = 6;

private:
    agent& start(std::size_t service, support::endpoint address);
    void announce(const fact& news);
    void tell(process_view& view, agent* owner, const fact& news);
    void drain(agent& who);
    void leave_when_idle(support::member_id id);
    void leave(agent& who);
    void die(agent& who);
    void withdraw();
    agent* any_serving();
    std::size_t serving() const;
    /// Agents of the first service, draining ones included.
    std::size_t members() const;
    support::endpoint fresh_address();
    void tick();

    scheduler& time;
    random_source random;
    flow::flow_table_settings settings;
    observer callbacks;
    std::vector<fact> history;
    std::vector<process_view> balancers;
    std::map<support::endpoint, std::shared_ptr<agent>> agents;
    std::map<support::data_centre_name, std::int64_t> withdrawn_until;
    std::set<support::member_id> died;
    std::uint32_t next_address = 0;
    std::uint64_t change_count = 0;
};

} // namespace fake

#endif
