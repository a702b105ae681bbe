#include <guavastair/node.hpp>

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <utility>

namespace guavastair::node {

static placement::member to_member(const membership::node_record& record) {
    placement::member result;
    result.id = record.id;
    result.data = record.data;
    result.data_centre = record.data_centre;
    result.weight = record.weight;
    result.draining = record.state == membership::member_state::draining;
    return result;
}

static bool is_withdrawn(const control::snapshot& latest,
                         const support::data_centre_name& name) {
    return std::binary_search(latest.withdrawn.begin(), latest.withdrawn.end(),
                              name);
}

namespace {

/// The agents that may have flows, by service.
using agents_by_service =
    absl::flat_hash_map<support::service_name, std::vector<placement::member>>;

/// Groups agents by service in one pass over the members. A pass per service
/// would be too slow to repeat for each snapshot of a large fleet.
agents_by_service group_agents(const control::snapshot& latest) {
    agents_by_service result;
    const auto add = [&](const membership::node_record& record) {
        const bool is_candidate = record.role == membership::role::agent &&
                                  !is_withdrawn(latest, record.data_centre);
        if (is_candidate) {
            result[record.service].push_back(to_member(record));
        }
    };
    add(latest.self);
    for (const membership::member_view& each : latest.members) {
        if (membership::is_present(each)) {
            add(each.record);
        }
    }
    return result;
}

} // namespace

std::vector<placement::service_members>
members_of_services(const control::snapshot& latest) {
    agents_by_service agents = group_agents(latest);
    std::vector<placement::service_members> result;
    result.reserve(latest.services.size());
    for (const auto& document : latest.services) {
        placement::service_members service;
        service.name = document->name;
        service.address = document->address;
        service.members = std::move(agents[document->name]);
        result.push_back(std::move(service));
    }
    return result;
}

view_builder::view_builder()
    : view(std::make_shared<const placement::fleet_view>()) {}

std::shared_ptr<const placement::fleet_view>
view_builder::update(const control::snapshot& latest) {
    auto services = members_of_services(latest);
    std::vector<support::service_name> names;
    names.reserve(services.size());
    for (const placement::service_members& each : services) {
        names.push_back(each.name);
    }
    for (const support::service_name& previous_name : this->service_names) {
        if (!std::binary_search(names.begin(), names.end(), previous_name)) {
            this->view = this->view->without_service(previous_name);
        }
    }
    this->view = this->view->with_services(std::move(services));
    this->service_names = std::move(names);
    return this->view;
}

} // namespace guavastair::node
