/// Requests arriving at random at a few fake servers, each behind a controller
/// of its own, on a virtual clock.

#ifndef GUAVASTAIR_UNITTESTS_ADMISSION_LOAD_SIMULATION_HPP
#define GUAVASTAIR_UNITTESTS_ADMISSION_LOAD_SIMULATION_HPP

#include "fake_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace admission_test {

/// How a new flow finds its server.
enum class placement_rule : std::uint8_t { random, round_robin, choices };

struct load_settings {
    int servers = 1;
    server_model server;
    admission::controller_settings controller;
    placement_rule rule = placement_rule::random;
    /// Candidates that are asked under placement_rule::choices.
    int choices = 2;
    /// Balancers that go round independently under round_robin; a packet comes
    /// to any of them.
    int balancers = 1;
    /// Offered load as a share of all servers' full slots.
    double load = 1.0;
    support::duration length = support::seconds(60);
    /// Answers and samples before this are not counted.
    support::duration measure_after;
    /// 0: none.
    support::duration deadline;
    /// Refused callers come back when they were told to.
    bool callers_retry = false;
    std::uint64_t seed = 1;
};

struct load_result {
    std::int64_t arrived = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;
    std::int64_t offered = 0;
    std::int64_t overloads = 0;
    /// Requests that were offered to a server and refused by the agent.
    std::int64_t refused_after_forwarding = 0;
    /// Answers in time over what the full slots could give.
    double goodput = 0.0;
    /// Time average of the busiest server's busy slots over the mean.
    double busy_imbalance = 0.0;
    /// The same for requests running and waiting.
    double load_imbalance = 0.0;
    /// Time that requests waited for a slot.
    std::int64_t wait_p50_ms = 0;
    std::int64_t wait_p99_ms = 0;
    double wait_mean_ms = 0.0;
};

class load_simulation {
public:
    explicit load_simulation(const load_settings& settings);

    /// Does `what` at `at`.
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
