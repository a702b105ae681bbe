/// The operators' settings: which services an address routes to, the limits of
/// each service, and which data centres are withdrawn.
///
/// A process holds one operator_view and replaces it only by a later one, so
/// that it never returns to an older configuration.
///
/// This library does no I/O and reads no clock.

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

/// Whether a caller may repeat a request whose outcome it does not know.
enum class request_kind : std::uint8_t { idempotent, non_idempotent, download };

absl::string_view to_string(request_kind kind);

/// A service that a route sends new flows to, and its share of them.
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
    /// Time after which callers no longer wait for an answer.
    support::duration timeout;
    /// Time within which an answer has its full value; 0 if not set.
    support::duration latency_objective;
    /// 0 is the highest.
    std::uint32_t priority = 0;

    bool operator==(const route&) const = default;
};

/// Capacity limits of a service's backend servers.
struct service_limits {
    support::service_name name;
    /// How long a server counts as cold after its start.
    support::duration warm_up;
    /// Maximum requests per second for a cold server; 0 if not limited.
    double warm_up_rate = 0.0;
    /// Maximum number of flows on one server.
    std::uint32_t max_flows = 0;

    bool operator==(const service_limits&) const = default;
};

/// One version of the operators' configuration.
struct configuration {
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<service_limits> services;
    /// Idle time after which a flow may be discarded.
    support::duration idle_timeout;

    bool operator==(const configuration&) const = default;
};

/// The operators' settings in the configuration store at revision `as_of`.
struct operator_view {
    /// The store revision up to which this view is complete.
    support::revision as_of;
    /// The store revision that wrote the configuration; 0 if there is none.
    support::revision config_revision;
    configuration config;
    /// The configuration as it was written, to be sent to peers.
    std::string config_text;
    /// Number of routes and services in `config_text` that could not be read.
    std::size_t skipped_items = 0;
    std::set<support::data_centre_name> withdrawn;
};

/// A digest of the contents of a view, excluding `as_of`. Equal contents give
/// equal values in every process.
std::uint64_t digest(const operator_view& view);

/// The result of adopt().
enum class adoption : std::uint8_t {
    /// The view is older than the one in force and was ignored.
    stale,
    /// Only `as_of` changed.
    confirmed,
    replaced,
};

absl::string_view to_string(adoption result);

/// How long an announced configuration counts if it is not announced again.
/// Several times the interval at which peers send summaries of their views.
inline constexpr support::duration announcement_lifetime = support::seconds(3);

/// The view in force in one process. Not thread-safe.
class routing_state {
public:
    routing_state();
    ~routing_state();
    routing_state(routing_state&&) noexcept;
    routing_state& operator=(routing_state&&) noexcept;

    /// Adopts the newer parts of `view`: the configuration if a later revision
    /// wrote it, whatever the views' `as_of`, and the withdrawn data centres if
    /// `view` as a whole is not older. A configuration with a lower version
    /// never replaces the one in force.
    adoption adopt(operator_view view, support::instant now);

    /// Records that the contents in force were still complete at `as_of`.
    /// Ignored if `as_of` is older than that of the view in force.
    void confirm(support::revision as_of, support::instant now);

    /// Records that a configuration of this revision exists elsewhere. Returns
    /// false, with no effect, if a later one has been announced.
    bool announce(support::revision config_revision, support::instant now);

    /// The latest revision of a configuration that was adopted or announced.
    support::revision announced_configuration() const;

    /// Whether a newer configuration than the one in force has been announced
    /// within the last `announcement_lifetime`.
    bool is_outdated(support::instant now) const;

    const operator_view& view() const;
    std::uint64_t contents_digest() const;

    /// When the contents were last confirmed to be complete.
    support::instant confirmed_at() const;

    /// Whether any configuration has been adopted.
    bool has_configuration() const;

    /// The route of `address`, or null. Valid until the next adopt().
    const route* find_route(support::endpoint address) const;

    /// The limits of a service, or null. Valid until the next adopt().
    const service_limits* find_service(const support::service_name& name) const;

    /// Every service that `address` has routed to since this process started,
    /// current ones first. Former services count because flows outlive changes
    /// of their route.
    std::vector<support::service_name>
    services_of(support::endpoint address) const;

    /// Whether `address` currently routes to `service`.
    bool routes_to(support::endpoint address,
                   const support::service_name& service) const;

    /// The highest priority, which is the lowest number, of the routes that
    /// currently lead to `service`; nullopt if there is none.
    std::optional<std::uint32_t>
    highest_priority(const support::service_name& service) const;

    bool is_withdrawn(const support::data_centre_name& name) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

/// Selects the service for a new flow with this hash, in proportion to the
/// weights. The result is the same in every process. Null if `choices` is empty
/// or all weights are 0.
const support::service_name*
choose_service(std::span<const weighted_service> choices,
               std::uint64_t flow_hash);

} // namespace guavastair::routing

#endif
