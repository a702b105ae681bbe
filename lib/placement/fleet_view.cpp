#include "members.hpp"

#include <guavastair/placement.hpp>

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace guavastair::placement {

using table_pointer = std::shared_ptr<const service_table>;

struct fleet_view::impl {
    /// Sorted by name.
    std::vector<table_pointer> tables;
    absl::flat_hash_map<support::endpoint, const service_table*> by_address;

    void insert_or_replace(service_members service);
    void rebuild_index();
};

static auto lower_bound(const std::vector<table_pointer>& tables,
                        const support::service_name& name) {
    return std::lower_bound(
        tables.begin(), tables.end(), name,
        [](const table_pointer& table, const support::service_name& wanted) {
            return table->name() < wanted;
        });
}

void fleet_view::impl::insert_or_replace(service_members service) {
    const auto position = lower_bound(this->tables, service.name);
    const auto offset = position - this->tables.begin();
    const bool exists =
        position != this->tables.end() && (*position)->name() == service.name;
    keep_one_per_address(service.members);
    if (exists && (*position)->source() == service) {
        return;
    }
    auto table = std::make_shared<const service_table>(std::move(service));
    if (exists) {
        this->tables[static_cast<std::size_t>(offset)] = std::move(table);
        return;
    }
    this->tables.insert(this->tables.begin() + offset, std::move(table));
}

void fleet_view::impl::rebuild_index() {
    this->by_address.clear();
    this->by_address.reserve(this->tables.size());
    for (const table_pointer& table : this->tables) {
        this->by_address.try_emplace(table->address(), table.get());
    }
}

fleet_view::fleet_view() : self(std::make_unique<impl>()) {}

fleet_view::fleet_view(std::unique_ptr<const impl> state)
    : self(std::move(state)) {}

fleet_view::~fleet_view() = default;

std::shared_ptr<const fleet_view>
fleet_view::with_service(service_members service) const {
    std::vector<service_members> services;
    services.push_back(std::move(service));
    return this->with_services(std::move(services));
}

std::shared_ptr<const fleet_view>
fleet_view::with_services(std::vector<service_members> services) const {
    auto state = std::make_unique<impl>();
    state->tables = this->self->tables;
    for (service_members& service : services) {
        state->insert_or_replace(std::move(service));
    }
    state->rebuild_index();
    return std::shared_ptr<const fleet_view>(new fleet_view(std::move(state)));
}

std::shared_ptr<const fleet_view>
fleet_view::without_service(const support::service_name& name) const {
    auto state = std::make_unique<impl>();
    state->tables = this->self->tables;
    std::erase_if(state->tables, [&name](const table_pointer& table) {
        return table->name() == name;
    });
    state->rebuild_index();
    return std::shared_ptr<const fleet_view>(new fleet_view(std::move(state)));
}

const service_table*
fleet_view::find(support::endpoint address) const noexcept {
    const auto found = this->self->by_address.find(address);
    return found == this->self->by_address.end() ? nullptr : found->second;
}

table_pointer
fleet_view::find_by_name(const support::service_name& name) const {
    const auto position = lower_bound(this->self->tables, name);
    if (position == this->self->tables.end() || (*position)->name() != name) {
        return nullptr;
    }
    return *position;
}

std::size_t fleet_view::size() const noexcept {
    return this->self->tables.size();
}

std::size_t fleet_view::memory_bytes() const noexcept {
    using slot = std::pair<support::endpoint, const service_table*>;
    std::size_t total = sizeof(*this) + sizeof(impl);
    total += this->self->tables.capacity() * sizeof(table_pointer);
    total += this->self->by_address.capacity() * (sizeof(slot) + 1);
    for (const table_pointer& table : this->self->tables) {
        total += table->memory_bytes();
    }
    return total;
}

} // namespace guavastair::placement
