/// A supervision tree. Each child runs on its own thread and is restarted with
/// exponential backoff, up to a limit. A planned stop stops the children in
/// reverse order of their start.

#ifndef GUAVASTAIR_SUPERVISOR_HPP
#define GUAVASTAIR_SUPERVISOR_HPP

#include <guavastair/support.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stop_token>
#include <string>
#include <vector>

namespace guavastair::supervisor {

/// Limits on the restarts of one child.
struct restart_limits {
    /// Delay before the first restart; doubles with each further restart.
    support::duration first_backoff = support::milliseconds(100);
    support::duration longest_backoff = support::seconds(5);
    /// A child that fails more often than this within `window` is not restarted
    /// again.
    int max_restarts = 5;
    support::duration window = support::seconds(60);
};

/// Decides when a failed child is restarted. The caller supplies the time.
class restart_policy {
public:
    explicit restart_policy(restart_limits restart_bounds);

    /// Records a failure at `now`. Returns the delay before the restart, or
    /// nullopt if the restart limit is exceeded.
    std::optional<support::duration> on_failure(support::instant now);

private:
    restart_limits limits;
    std::vector<support::instant> failures;
};

/// A unit of work that a supervisor runs.
class child {
public:
    virtual ~child() = default;

    /// Runs until `stop` is requested, then finishes the work in progress and
    /// returns OK. A return before `stop` is requested counts as a failure and
    /// leads to a restart.
    virtual absl::Status run(std::stop_token stop) = 0;
};

/// Creates a child; called for the first start and for each restart.
using child_factory = std::function<absl::StatusOr<std::unique_ptr<child>>()>;

struct child_options {
    /// Name in log lines; must be unique within its supervisor.
    std::string name;
    child_factory make;
    restart_limits limits = {};
    /// Longest time that a planned stop waits for this child.
    support::duration stop_bound = support::seconds(5);
};

enum class event_kind : std::uint8_t {
    started,
    failed,
    restarting,
    given_up,
    stopping,
    stopped,
    stop_timed_out,
};

absl::string_view to_string(event_kind kind);

/// A state change of a child, reported to the observer.
struct event {
    event_kind kind;
    std::string child;
    /// The child's result for events that follow its return; otherwise OK.
    absl::Status status;
    /// Delay before the restart; 0 for other events.
    support::duration backoff;
};

/// Called on the supervisor's thread and on the children's threads, possibly at
/// the same time.
using observer = std::function<void(const event&)>;

/// Starts children in the order of add() and restarts those that fail. A
/// supervisor is itself a child, so supervisors can be nested.
class supervisor final : public child {
public:
    /// `time` and the objects captured by `notify` must outlive the supervisor.
    supervisor(const support::clock& time, observer notify);
    ~supervisor() override;

    supervisor(const supervisor&) = delete;
    supervisor& operator=(const supervisor&) = delete;

    /// Adds a child; call before run().
    void add(child_options options);

    /// Starts the children and returns after all have stopped. Returns OK after
    /// a planned stop, error_kind::internal if a child exceeded its restart
    /// limit, and error_kind::deadline_exceeded if a child did not stop within
    /// its stop bound. In the last case the child's thread is still running:
    /// the process must exit without destroying objects that the thread uses.
    absl::Status run(std::stop_token stop) override;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace guavastair::supervisor

#endif
