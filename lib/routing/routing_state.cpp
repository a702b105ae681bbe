#include <guavastair/routing.hpp>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <unordered_map>

namespace guavastair::routing {

/// Addresses whose former services are remembered.
static constexpr std::size_t max_remembered_addresses = 4096;

static constexpr std::array<absl::string_view, 3> kind_names{
    "idempotent", "non_idempotent", "download"};

static constexpr std::array<absl::string_view, 3> adoption_names{
    "stale", "confirmed", "replaced"};

absl::string_view to_string(request_kind kind) {
    return kind_names[static_cast<std::size_t>(kind)];
}

absl::string_view to_string(adoption result) {
    return adoption_names[static_cast<std::size_t>(result)];
}

std::uint64_t digest(const operator_view& view) {
    std::string contents =
        absl::StrCat(view.config_revision.value, "\n", view.config_text);
    for (const support::data_centre_name& name : view.withdrawn) {
        absl::StrAppend(&contents, "\n", name.value);
    }
    return XXH3_64bits(contents.data(), contents.size());
}

namespace {

struct endpoint_hash {
    std::size_t operator()(support::endpoint at) const {
        return std::hash<std::uint64_t>{}(
            (std::uint64_t{at.address.value} << 16) | at.port);
    }
};

} // namespace

struct routing_state::implementation {
    operator_view held;
    std::uint64_t held_digest = digest(operator_view{});
    support::instant confirmed{INT64_MIN / 2};
    std::unordered_map<support::endpoint, std::size_t, endpoint_hash>
        by_address;
    std::unordered_map<support::endpoint, std::vector<support::service_name>,
                       endpoint_hash>
        ever;
    std::unordered_map<support::service_name, std::uint32_t> best_priorities;

    void index_routes();
    void remember(const route& each);
};

void routing_state::implementation::remember(const route& each) {
    if (this->ever.size() >= max_remembered_addresses &&
        this->ever.count(each.address) == 0) {
        this->ever.erase(this->ever.begin());
    }
    std::vector<support::service_name>& services = this->ever[each.address];
    std::vector<support::service_name> present;
    for (const weighted_service& choice : each.services) {
        std::erase(services, choice.service);
        present.push_back(choice.service);
    }
    services.insert(services.begin(), present.begin(), present.end());
}

void routing_state::implementation::index_routes() {
    this->by_address.clear();
    this->best_priorities.clear();
    const std::vector<route>& routes = this->held.config.routes;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        this->by_address.emplace(routes[i].address, i);
        this->remember(routes[i]);
        for (const weighted_service& choice : routes[i].services) {
            const std::uint32_t priority = routes[i].priority;
            std::uint32_t& best =
                this->best_priorities.emplace(choice.service, priority)
                    .first->second;
            best = std::min(best, priority);
        }
    }
}

routing_state::routing_state() : self(std::make_unique<implementation>()) {}
routing_state::~routing_state() = default;
routing_state::routing_state(routing_state&&) noexcept = default;
routing_state& routing_state::operator=(routing_state&&) noexcept = default;

adoption routing_state::adopt(operator_view view, support::instant now) {
    operator_view& held = this->self->held;
    const bool newer_configuration =
        view.config.version > held.config.version &&
        view.config_revision > held.config_revision;
    const bool older_configuration =
        view.config.version < held.config.version ||
        view.config_revision < held.config_revision;
    const bool older_view = view.as_of < held.as_of;
    if (older_configuration || (older_view && !newer_configuration)) {
        return adoption::stale;
    }
    if (older_view) {
        // A store that had forgotten its changes may have vouched for more
        // than it told.
        view.as_of = held.as_of;
        view.withdrawn = held.withdrawn;
    }
    this->self->confirmed = now;
    const std::uint64_t fresh = digest(view);
    if (fresh == this->self->held_digest) {
        held.as_of = view.as_of;
        return adoption::confirmed;
    }
    held = std::move(view);
    this->self->held_digest = fresh;
    this->self->index_routes();
    return adoption::replaced;
}

void routing_state::confirm(support::revision as_of, support::instant now) {
    if (as_of < this->self->held.as_of) {
        return;
    }
    this->self->held.as_of = as_of;
    this->self->confirmed = now;
}

const operator_view& routing_state::view() const {
    return this->self->held;
}

std::uint64_t routing_state::contents_digest() const {
    return this->self->held_digest;
}

support::instant routing_state::confirmed_at() const {
    return this->self->confirmed;
}

bool routing_state::has_configuration() const {
    return this->self->held.config_revision.value != 0;
}

const route* routing_state::find_route(support::endpoint address) const {
    const auto found = this->self->by_address.find(address);
    if (found == this->self->by_address.end()) {
        return nullptr;
    }
    return &this->self->held.config.routes[found->second];
}

const service_limits*
routing_state::find_service(const support::service_name& name) const {
    const std::vector<service_limits>& services =
        this->self->held.config.services;
    const auto found = std::find_if(
        services.begin(), services.end(),
        [&name](const service_limits& terms) { return terms.name == name; });
    return found == services.end() ? nullptr : &*found;
}

std::vector<support::service_name>
routing_state::services_of(support::endpoint address) const {
    const auto found = this->self->ever.find(address);
    return found == this->self->ever.end()
               ? std::vector<support::service_name>{}
               : found->second;
}

bool routing_state::routes_to(support::endpoint address,
                              const support::service_name& service) const {
    const route* found = this->find_route(address);
    return found != nullptr &&
           std::any_of(found->services.begin(), found->services.end(),
                       [&service](const weighted_service& choice) {
                           return choice.service == service;
                       });
}

std::optional<std::uint32_t>
routing_state::highest_priority(const support::service_name& service) const {
    const auto found = this->self->best_priorities.find(service);
    if (found == this->self->best_priorities.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool routing_state::is_withdrawn(const support::data_centre_name& name) const {
    return this->self->held.withdrawn.count(name) != 0;
}

const support::service_name*
choose_service(std::span<const weighted_service> choices,
               std::uint64_t flow_hash) {
    std::uint64_t total = 0;
    for (const weighted_service& choice : choices) {
        total += choice.weight;
    }
    if (total == 0) {
        return nullptr;
    }
    // The upper half, because the lower one orders the candidates.
    std::uint64_t rest = (flow_hash >> 32) % total;
    for (const weighted_service& choice : choices) {
        if (rest < choice.weight) {
            return &choice.service;
        }
        rest -= choice.weight;
    }
    return nullptr;
}

} // namespace guavastair::routing
