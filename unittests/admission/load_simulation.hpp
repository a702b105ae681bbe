/// Simulation of random request arrivals at a few fake servers, each behind its
/// own controller, on a virtual clock.

#ifndef GUAVASTAIR_UNITTESTS_ADMISSION_LOAD_SIMULATION_HPP
#define GUAVASTAIR_UNITTESTS_ADMISSION_LOAD_SIMULATION_HPP

#include "fake_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace admission_test {

/// How the server of a new flow is selected. `choices` is the power of
/// `load_settings::choices` choices, the rule of the balancer.
enum class placement_rule : std::uint8_t { random, round_robin, choices };

struct load_settings {
    int servers = 1;
    server_model server;
    admission::controller_settings controller;
    placement_rule rule = placement_rule::random;
    /// Number of candidates under placement_rule::choices.
    int choices = 2;
    /// Number of balancers under placement_rule::round_robin. Each flow arrives
    /// at a random balancer, and each balancer has its own counter.
    int balancers = 1;
    /// Offered load as a share of the capacity of all servers when warm.
    double load = 1.0;
    support::duration length = support::seconds(60);
    /// Arrivals, responses, waits and samples before this are not counted.
    support::duration measure_after;
    /// Deadline of each request after its arrival; 0 for none.
    support::duration deadline;
    /// Refused callers retry after the delay that they were given.
    bool callers_retry = false;
    std::uint64_t seed = 1;
};

struct load_result {
    std::int64_t arrived = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;
    std::int64_t offered = 0;
    std::int64_t overloads = 0;
    /// Requests that the agent refused after it had forwarded them.
    std::int64_t refused_after_forwarding = 0;
    /// Responses within the deadline over the capacity of all slots.
    double goodput = 0.0;
    /// Time average of the most occupied slots of any server, over the mean of
    /// all servers.
    double busy_imbalance = 0.0;
    /// The same for running and queued requests together.
    double load_imbalance = 0.0;
    /// Time in the queue before a slot was free.
    std::int64_t wait_p50_ms = 0;
    std::int64_t wait_p99_ms = 0;
    double wait_mean_ms = 0.0;
};

class load_simulation {
public:
    explicit load_simulation(const load_settings& settings);

    /// Schedules `action` for the time `when`.
    void at(support::instant when,
            std::function<void(support::instant)> action);
    load_result run();

    fake_server& server(int index);
    admission::controller& controller(int index);

private:
    struct request {
        support::instant arrived;
        support::instant measured_from;
        int server = 0;
        admission::ticket ticket;
        bool is_forwarded = false;
    };
    struct event {
        support::instant when;
        std::uint64_t order = 0;
        std::function<void(support::instant)> action;
        bool operator<(const event& other) const;
    };
    struct node {
        fake_server server;
        admission::controller controller;
    };

    int place(support::instant now);
    int place_round_robin();
    int probe_candidates(support::instant now);
    void generate_arrivals(support::instant now);
    void arrive(support::instant now);
    void apply_admission(support::instant now, std::uint64_t id,
                         const admission::request_admission& answer);
    void start(support::instant now, std::uint64_t id);
    void end_request(support::instant now, std::uint64_t id,
                     admission::completion result);
    void handle_refusal(support::instant now, std::uint64_t id,
                        support::duration retry_delay);
    void wake(support::instant now, int index);
    void sample(support::instant now);
    bool is_measured(support::instant now) const;

    load_settings settings;
    std::mt19937_64 random;
    std::vector<node> nodes;
    std::priority_queue<event> events;
    std::map<std::uint64_t, request> requests;
    std::uint64_t last_order = 0;
    std::uint64_t last_id = 0;
    std::vector<int> next_server;
    std::vector<int> candidates;
    double busiest_sum = 0.0;
    double busy_mean_sum = 0.0;
    double highest_load_sum = 0.0;
    double load_mean_sum = 0.0;
    std::vector<std::int64_t> waits;
    load_result result;
};

} // namespace admission_test

#endif
