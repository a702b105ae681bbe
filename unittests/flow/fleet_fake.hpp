/// A simulated fleet for the flow search test: agents join, drain, leave,
/// restart, crash and change their service, and each process receives these
/// updates late and in any order. Runs on a virtual clock without sockets.

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

/// A random number from 0 to `end` - 1.
std::uint64_t random_below(random_source& random, std::uint64_t end);

/// Runs callbacks in the order of virtual time.
class scheduler {
public:
    support::instant now() const {
        return this->current;
    }
    void after(std::int64_t ms, std::function<void()> action);
    /// Runs all callbacks that are due up to and including `end`.
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

/// One change of the fleet that is announced to every process. For `withdrawn`
/// and `returned` only the member's data centre and time of joining are used.
struct membership_update {
    enum class kind { joined, draining, left, withdrawn, returned };

    kind type;
    std::size_t service = 0;
    placement::member member;
};

/// The fleet as one process sees it.
class process_view {
public:
    void apply(const membership_update& update);
    /// A view of the first service with all members, including draining ones.
    const placement::fleet_view& full_view();
    /// A view without draining members, for schemes that exclude them.
    const placement::fleet_view& accepting_view();
    bool is_data_centre_withdrawn(const support::data_centre_name& name) const;

private:
    std::shared_ptr<const placement::fleet_view>
    make_view(bool with_draining) const;

    std::map<support::member_id, membership_update> members;
    std::set<support::member_id> draining;
    std::set<support::member_id> left;
    std::vector<support::data_centre_name> withdrawn;
    std::map<support::data_centre_name, std::uint64_t> returned;
    std::shared_ptr<const placement::fleet_view> cached_all;
    std::shared_ptr<const placement::fleet_view> cached_accepting;
};

/// Number of services in the fleet. Callers connect to the first one only.
inline constexpr std::size_t service_count = 2;

support::endpoint address_of_service(std::size_t service);

/// A connection in an agent's TCP stack.
struct connection {
    std::uint32_t initial_sequence = 0;
    bool is_complete = false;
};

/// Returns each decision with a fixed probability.
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

/// A load-balancing scheme under test.
class scheme {
public:
    virtual ~scheme() = default;
    virtual const char* name() const = 0;
    /// The header of the frame in which balancer number `balancer` sends
    /// `packet`, or nothing if it drops the packet.
    virtual std::optional<flow::frame_header>
    forward(std::size_t balancer, process_view& view,
            const flow::packet& packet) = 0;
    virtual flow::agent_action receive(agent& receiver,
                                       const flow::frame_header& header,
                                       const flow::packet& packet,
                                       support::instant now) = 0;
};

/// The agents and balancers of the fleet, and the changes of its members.
class fleet {
public:
    /// Callbacks for changes that end flows.
    struct observer {
        std::function<void(const agent&)> on_crash;
        std::function<void(const support::data_centre_name&)> on_withdrawal;
    };

    fleet(scheduler& time, std::uint64_t seed, std::size_t initial_members,
          flow::flow_table_settings settings);

    void set_observer(observer callbacks) {
        this->callbacks = std::move(callbacks);
    }
    /// Makes one change of a random kind.
    void change();
    /// The agent that receives at `address`, or null.
    agent* receiver(support::endpoint address);
    /// The running agent with that id, or null.
    agent* find(support::member_id id);
    process_view& balancer(std::size_t index);
    /// Whether the agent ended by an unplanned crash.
    bool has_crashed(support::member_id id) const;
    /// Whether data centre `name` is withdrawn, or returned so recently that
    /// some process may not have learned of it.
    bool is_withdrawn(const support::data_centre_name& name) const;
    std::uint64_t changes() const {
        return this->change_count;
    }

    static constexpr std::size_t balancer_count = 6;

private:
    agent& start(std::size_t service, support::endpoint address);
    void announce(const membership_update& update);
    void deliver_update(process_view& view, agent* owner,
                        const membership_update& update);
    void drain(agent& instance);
    void leave_when_idle(support::member_id id);
    void leave(agent& instance);
    void crash(agent& instance);
    void withdraw();
    /// A random agent of the first service that is not draining, or null if
    /// only the minimum number of them is left.
    agent* pick_active_agent();
    /// Number of agents of the first service that are not draining.
    std::size_t active_count() const;
    /// Number of agents of the first service, including draining ones.
    std::size_t members() const;
    support::endpoint allocate_address();
    void tick();

    scheduler& time;
    random_source random;
    flow::flow_table_settings settings;
    observer callbacks;
    std::vector<membership_update> history;
    std::vector<process_view> balancers;
    std::map<support::endpoint, std::shared_ptr<agent>> agents;
    std::map<support::data_centre_name, std::int64_t> withdrawn_data_centres;
    std::set<support::member_id> crashed_agents;
    std::uint32_t next_address = 0;
    std::uint64_t change_count = 0;
};

} // namespace fake

#endif
