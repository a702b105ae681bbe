/// What the operators have decided: which services an address leads to, what
/// each service is promised, and which data centres are withdrawn.
///
/// A process holds one operator_view and replaces it only by a later one, so
/// that nothing it does goes back to an older configuration.
///
/// Nothing here does I/O or reads a clock.

#ifndef GUAVASTAIR_ROUTING_HPP
#define GUAVASTAIR_ROUTING_HPP

#include <guavastair/support.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace guavastair::routing {

/// What a caller may do with a request whose fate it does not know.
enum class request_kind : std::uint8_t { idempotent, non_idempotent, download };

absl::string_view to_string(request_kind kind);

/// A service that new flows of a route may go to, and its share of them.
struct weighted_service {
    support::service_name service;
    std::uint32_t weight = 1;

    bool operator==(const weighted_service&) const = default;
};

/// An address that callers connect to.
struct route {
    std::string name;
    support::endpoint address;
    std::vector<weighted_service> services;
    request_kind kind = request_kind::non_idempotent;
    /// Time after which nobody waits for an answer.
    support::duration timeout;
    /// Time within which an answer is worth most.
    support::duration latency_objective;
    /// 0 is the highest.
    std::uint32_t priority = 0;

    bool operator==(const route&) const = default;
};

/// What a service's backend servers can bear.
struct service_limits {
    support::service_name name;
    /// How long a started server stays cold.
    support::duration warm_up;
    /// Requests a second that a cold server bears; 0 if not limited.
    double warm_up_rate = 0.0;
    /// Flows that one server holds.
    std::uint32_t max_flows = 0;

    bool operator==(const service_limits&) const = default;
};

/// One version of the operators' configuration.
struct configuration {
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<service_limits> services;
    /// A flow that has been idle for longer may be discarded.
    support::duration idle_timeout;

    bool operator==(const configuration&) const = default;
};

/// Everything that operators have written, as the store held it at `as_of`.
struct operator_view {
    /// The store's revision up to which this is complete.
    support::revision as_of;
    /// The revision that wrote the configuration; 0 if there is none.
    support::revision config_revision;
    configuration config;
    /// The configuration as it was written, for handing it to peers.
    std::string config_text;
    std::set<support::data_centre_name> withdrawn;
};

/// Identifies the contents of a view, whatever its `as_of`: equal contents
/// give equal values in every process.
std::uint64_t digest(const operator_view& view);

/// How adopt() ended.
enum class adoption : std::uint8_t {
    /// The view was older than the one held and is ignored.
    stale,
    /// Nothing but `as_of` changed.
    confirmed,
    replaced,
};

absl::string_view to_string(adoption result);

/// The view in force in one process. Not thread-safe.
class routing_state {
public:
    routing_state();
    ~routing_state();
    routing_state(routing_state&&) noexcept;
    routing_state& operator=(routing_state&&) noexcept;

    /// Takes what is newer in `view`: the configuration if a later revision
    /// wrote it, whatever the views' `as_of`, and the withdrawn data centres if
    /// the whole view is not older. A configuration whose version is lower than
    /// the one in force never replaces it.
    adoption adopt(operator_view view, support::instant now);

    /// Tells that the contents held were still complete at `as_of`.
    void confirm(support::revision as_of, support::instant now);

    const operator_view& view() const;
    std::uint64_t contents_digest() const;

    /// When the contents were last known to be complete.
    support::instant confirmed_at() const;

    /// Whether any configuration has been adopted.
    bool has_configuration() const;

    /// The route of `address`, or null. Valid until the next adopt().
    const route* find_route(support::endpoint address) const;

    /// The terms of a service, or null. Valid until the next adopt().
    const service_limits* find_service(const support::service_name& name) const;

    /// Every service that `address` has led to since this process started,
    /// the present ones first. Flows outlive changes of their route.
    std::vector<support::service_name>
    services_of(support::endpoint address) const;

    /// Whether `address` leads to `service` now.
    bool routes_to(support::endpoint address,
                   const support::service_name& service) const;

    /// The highest priority, thus the lowest number, of the routes that lead
    /// to `service` now; nothing if none does.
    std::optional<std::uint32_t>
    highest_priority(const support::service_name& service) const;

    bool is_withdrawn(const support::data_centre_name& name) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

/// The service of `choices` that a flow with this hash opens at: each by its
/// weight, the same in every process. Null if there is none.
const support::service_name*
choose_service(std::span<const weighted_service> choices,
               std::uint64_t flow_hash);

} // namespace guavastair::routing

#endif
