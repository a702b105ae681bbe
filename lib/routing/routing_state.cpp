#include <guavastair/routing.hpp>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <unordered_map>

namespace guavastair::routing {

/// Maximum number of addresses whose former services are kept.
static constexpr std::size_t max_history_addresses = 4096;

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
    operator_view current;
    std::uint64_t current_digest = digest(operator_view{});
    support::instant last_confirmed{INT64_MIN / 2};
    support::revision announced_revision;
    support::instant announced_at{INT64_MIN / 2};
    std::unordered_map<support::endpoint, std::size_t, endpoint_hash>
        route_indices;
    std::unordered_map<support::endpoint, std::vector<support::service_name>,
                       endpoint_hash>
        service_history;
    std::unordered_map<support::service_name, std::uint32_t> highest_priorities;

    void index_routes();
    void record_services(const route& target);
};

void routing_state::implementation::record_services(const route& target) {
    if (this->service_history.size() >= max_history_addresses &&
        this->service_history.count(target.address) == 0) {
        this->service_history.erase(this->service_history.begin());
    }
    std::vector<support::service_name>& services =
        this->service_history[target.address];
    std::vector<support::service_name> active;
    for (const weighted_service& choice : target.services) {
        std::erase(services, choice.service);
        active.push_back(choice.service);
    }
    services.insert(services.begin(), active.begin(), active.end());
}

void routing_state::implementation::index_routes() {
    this->route_indices.clear();
    this->highest_priorities.clear();
    const std::vector<route>& routes = this->current.config.routes;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        this->route_indices.emplace(routes[i].address, i);
        this->record_services(routes[i]);
        for (const weighted_service& choice : routes[i].services) {
            const std::uint32_t priority = routes[i].priority;
            std::uint32_t& best =
                this->highest_priorities.emplace(choice.service, priority)
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
    operator_view& current = this->self->current;
    const bool has_newer_configuration =
        view.config.version > current.config.version &&
        view.config_revision > current.config_revision;
    const bool has_older_configuration =
        view.config.version < current.config.version ||
        view.config_revision < current.config_revision;
    const bool is_older_view = view.as_of < current.as_of;
    if (has_older_configuration ||
        (is_older_view && !has_newer_configuration)) {
        return adoption::stale;
    }
    if (is_older_view) {
        // A store that lost changes may have confirmed a later revision without
        // delivering the changes up to it, so a newer configuration is adopted
        // although the view as a whole is older.
        view.as_of = current.as_of;
        view.withdrawn = current.withdrawn;
    }
    this->self->last_confirmed = now;
    const std::uint64_t new_digest = digest(view);
    if (new_digest == this->self->current_digest) {
        current.as_of = view.as_of;
        return adoption::confirmed;
    }
    current = std::move(view);
    this->self->current_digest = new_digest;
    this->self->index_routes();
    return adoption::replaced;
}

void routing_state::confirm(support::revision as_of, support::instant now) {
    if (as_of < this->self->current.as_of) {
        return;
    }
    this->self->current.as_of = as_of;
    this->self->last_confirmed = now;
}

bool routing_state::announce(support::revision config_revision,
                             support::instant now) {
    const bool has_expired =
        now - this->self->announced_at > announcement_lifetime;
    if (config_revision < this->self->announced_revision && !has_expired) {
        return false;
    }
    this->self->announced_revision = config_revision;
    this->self->announced_at = now;
    return true;
}

support::revision routing_state::announced_configuration() const {
    return std::max(this->self->announced_revision,
                    this->self->current.config_revision);
}

bool routing_state::is_outdated(support::instant now) const {
    return this->self->announced_revision >
               this->self->current.config_revision &&
           now - this->self->announced_at <= announcement_lifetime;
}

const operator_view& routing_state::view() const {
    return this->self->current;
}

std::uint64_t routing_state::contents_digest() const {
    return this->self->current_digest;
}

support::instant routing_state::confirmed_at() const {
    return this->self->last_confirmed;
}

bool routing_state::has_configuration() const {
    return this->self->current.config_revision.value != 0;
}

const route* routing_state::find_route(support::endpoint address) const {
    const auto it = this->self->route_indices.find(address);
    if (it == this->self->route_indices.end()) {
        return nullptr;
    }
    return &this->self->current.config.routes[it->second];
}

const service_limits*
routing_state::find_service(const support::service_name& name) const {
    const std::vector<service_limits>& services =
        this->self->current.config.services;
    const auto it = std::find_if(
        services.begin(), services.end(),
        [&name](const service_limits& limits) { return limits.name == name; });
    return it == services.end() ? nullptr : &*it;
}

std::vector<support::service_name>
routing_state::services_of(support::endpoint address) const {
    const auto it = this->self->service_history.find(address);
    return it == this->self->service_history.end()
               ? std::vector<support::service_name>{}
               : it->second;
}

bool routing_state::routes_to(support::endpoint address,
                              const support::service_name& service) const {
    const route* target = this->find_route(address);
    return target != nullptr &&
           std::any_of(target->services.begin(), target->services.end(),
                       [&service](const weighted_service& choice) {
                           return choice.service == service;
                       });
}

std::optional<std::uint32_t>
routing_state::highest_priority(const support::service_name& service) const {
    const auto it = this->self->highest_priorities.find(service);
    if (it == this->self->highest_priorities.end()) {
        return std::nullopt;
    }
    return it->second;
}

bool routing_state::is_withdrawn(const support::data_centre_name& name) const {
    return this->self->current.withdrawn.count(name) != 0;
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
    // The upper half decouples this choice from other uses of the hash, such as
    // the ranking of candidates.
    std::uint64_t offset = (flow_hash >> 32) % total;
    for (const weighted_service& choice : choices) {
        if (offset < choice.weight) {
            return &choice.service;
        }
        offset -= choice.weight;
    }
    return nullptr;
}

} // namespace guavastair::routing
