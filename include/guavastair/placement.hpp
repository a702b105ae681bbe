/// Determines which agents may hold a flow, and in which order to ask them.
///
/// All processes with the same members of a service compute the same order,
/// regardless of how they learned of the members. The order depends only on the
/// members' addresses, configured weights and join times. It ignores load and
/// health, because flows also live on cold, loaded and draining servers.
///
/// Nothing here does I/O, reads a clock or starts a thread.

#ifndef GUAVASTAIR_PLACEMENT_HPP
#define GUAVASTAIR_PLACEMENT_HPP

#include <guavastair/support.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace guavastair::placement {

/// One agent that may hold a flow.
struct candidate {
    support::member_id id;
    /// Where the agent receives frames.
    support::endpoint data;

    auto operator<=>(const candidate&) const = default;
};

/// Maximum number of candidates stored for a bucket and listed in a frame.
inline constexpr std::size_t max_candidates = 8;

/// Number of candidates that may pass a new flow on because another candidate
/// suits it better. Draining candidates do not count: they pass every new flow
/// on.
inline constexpr std::size_t opening_choices = 2;

/// Number of candidates that are asked to accept a new flow before it is
/// refused. Draining candidates do not count. A flow's owner is therefore among
/// the first opening_limit candidates that were not draining when it opened.
inline constexpr std::size_t opening_limit = 3;

/// Number of buckets that the flows of a service hash to. All releases that run
/// together must use the same number.
inline constexpr std::size_t bucket_count = 1024;

/// Candidates of one flow, in the order in which they are asked.
struct candidate_list {
    std::array<candidate, max_candidates> items;
    std::size_t size = 0;

    const candidate* begin() const noexcept {
        return this->items.data();
    }
    const candidate* end() const noexcept {
        return this->begin() + this->size;
    }
    const candidate& operator[](std::size_t index) const noexcept {
        return this->items[index];
    }
    bool empty() const noexcept {
        return this->size == 0;
    }
};

/// One agent of a service, as reported by the membership.
struct member {
    support::member_id id;
    /// Where the agent receives frames. The order identifies members by this
    /// address, so an agent that restarts at it keeps its position.
    support::endpoint data;
    support::data_centre_name data_centre;
    /// Share of the new flows relative to the other members. This is the
    /// configured number of the server's slots. A member of weight 0 is last.
    std::uint32_t weight = 1;
    /// When the agent started, in milliseconds of wall-clock time; 0 if
    /// unknown. Compared with the other members of the service: a member that
    /// was among the first before others joined stays listed.
    std::uint64_t joined = 0;
    /// Whether the agent accepts no new flows. This does not change the order,
    /// only which members are listed if there are too many to list them all.
    bool draining = false;

    auto operator<=>(const member&) const = default;
};

/// A service and all agents that may hold its flows.
struct service_members {
    support::service_name name;
    /// The address that callers connect to.
    support::endpoint address;
    std::vector<member> members;

    bool operator==(const service_members&) const = default;
};

/// Returns `service` without the members in the `withdrawn` data centres.
service_members
without_data_centres(service_members service,
                     std::span<const support::data_centre_name> withdrawn);

/// The candidates of one service, precomputed for each bucket. Immutable.
class service_table {
public:
    /// Computes all buckets. If several members have the same address, only the
    /// one that joined last is kept (the larger id if they joined together).
    explicit service_table(service_members service);
    ~service_table();
    service_table(const service_table&) = delete;
    service_table& operator=(const service_table&) = delete;

    const support::service_name& name() const noexcept;
    support::endpoint address() const noexcept;
    /// The input of the table: one member per address, sorted by address.
    const service_members& source() const noexcept;

    /// Whether `wanted` is one of the members.
    bool contains(const candidate& wanted) const noexcept;

    /// The stored candidates of a flow. O(1), no allocation, no lock.
    candidate_list candidates(std::uint64_t flow_hash) const noexcept;

    /// Computes the order of all members, with those most likely to hold the
    /// flow first. O(n log n), allocates. Intended for a search that has
    /// exhausted the stored candidates.
    std::vector<candidate> full_order(std::uint64_t flow_hash) const;

    /// Memory used by the table in bytes, including the object itself.
    std::size_t memory_bytes() const noexcept;

private:
    struct impl;
    std::unique_ptr<const impl> self;
};

/// An immutable snapshot of all services. It shares the tables of unchanged
/// services with the snapshot it was derived from.
class fleet_view {
public:
    /// Creates a view without services.
    fleet_view();
    ~fleet_view();
    fleet_view(const fleet_view&) = delete;
    fleet_view& operator=(const fleet_view&) = delete;

    /// Returns a view in which `service` is added, or replaces the service of
    /// the same name. Computes a table only if the service has changed.
    std::shared_ptr<const fleet_view>
    with_service(service_members service) const;

    /// As with_service for several services; copies the index only once.
    std::shared_ptr<const fleet_view>
    with_services(std::vector<service_members> services) const;

    /// Returns a view without the service `name`.
    std::shared_ptr<const fleet_view>
    without_service(const support::service_name& name) const;

    /// Returns the service that callers reach at `address`, or null. If several
    /// services have the same address, the first one by name is returned. The
    /// pointer is valid as long as the view. O(1), no allocation, no lock.
    const service_table* find(support::endpoint address) const noexcept;

    /// Returns the service of that name, or null.
    std::shared_ptr<const service_table>
    find_by_name(const support::service_name& name) const;

    /// Number of services.
    std::size_t size() const noexcept;

    /// Memory used by the view and its tables, in bytes.
    std::size_t memory_bytes() const noexcept;

private:
    struct impl;
    explicit fleet_view(std::unique_ptr<const impl> state);

    std::unique_ptr<const impl> self;
};

/// Returns the candidates of a flow of `service`, as service.candidates() does.
inline candidate_list candidates(const service_table& service,
                                 std::uint64_t flow_hash) noexcept {
    return service.candidates(flow_hash);
}

} // namespace guavastair::placement

#endif
