#include "fleet_fake.hpp"

#include <algorithm>
#include <array>

namespace fake {

/// Upper bound of the time until a process learns of a change.
static constexpr std::uint64_t max_view_lag_ms = 5000;
static constexpr std::size_t min_active_agents = 4;
static constexpr std::size_t max_active_agents = 14;

std::uint64_t random_below(random_source& random, std::uint64_t end) {
    return random() % end;
}

void scheduler::after(std::int64_t ms, std::function<void()> action) {
    this->events.push(
        {this->current.ms + ms, this->next_sequence++, std::move(action)});
}

void scheduler::run_until(support::instant end) {
    while (!this->events.empty() && this->events.top().ms <= end.ms) {
        const event next = this->events.top();
        this->events.pop();
        this->current = {next.ms};
        next.action();
    }
    this->current = end;
}

support::endpoint address_of_service(std::size_t service) {
    return {{0xc0000201U + static_cast<std::uint32_t>(service)}, 443};
}

void process_view::apply(const membership_update& update) {
    const support::member_id id = update.member.id;
    const auto& data_centre = update.member.data_centre;
    switch (update.type) {
    case membership_update::kind::joined:
        if (!this->left.contains(id)) {
            this->members[id] = update;
        }
        break;
    case membership_update::kind::draining:
        this->draining.insert(id);
        break;
    case membership_update::kind::left:
        this->left.insert(id);
        this->members.erase(id);
        break;
    case membership_update::kind::withdrawn:
        this->withdrawn.push_back(data_centre);
        break;
    case membership_update::kind::returned:
        std::erase(this->withdrawn, data_centre);
        this->returned[data_centre] = update.member.joined;
        break;
    }
    this->cached_all = nullptr;
    this->cached_accepting = nullptr;
}

/// A view of `service`. Processes with the same members share one view, because
/// building it is expensive.
static std::shared_ptr<const placement::fleet_view>
cached_view_of(const placement::service_members& service) {
    using member_list = std::vector<placement::member>;
    static std::map<member_list, std::shared_ptr<const placement::fleet_view>>
        cached_views;
    constexpr std::size_t max_cached_views = 1000;
    if (cached_views.size() > max_cached_views) {
        cached_views.clear();
    }
    auto& view = cached_views[service.members];
    if (view == nullptr) {
        view = placement::fleet_view().with_service(service);
    }
    return view;
}

std::shared_ptr<const placement::fleet_view>
process_view::make_view(bool with_draining) const {
    placement::service_members service{{"orders"}, address_of_service(0), {}};
    for (const auto& [id, update] : this->members) {
        if (update.service != 0 ||
            (!with_draining && this->draining.contains(id))) {
            continue;
        }
        placement::member member = update.member;
        member.draining = this->draining.contains(id);
        const auto returned = this->returned.find(member.data_centre);
        if (returned != this->returned.end()) {
            member.joined = std::max(member.joined, returned->second);
        }
        service.members.push_back(member);
    }
    return cached_view_of(
        placement::without_data_centres(service, this->withdrawn));
}

const placement::fleet_view& process_view::full_view() {
    if (this->cached_all == nullptr) {
        this->cached_all = this->make_view(true);
    }
    return *this->cached_all;
}

const placement::fleet_view& process_view::accepting_view() {
    if (this->cached_accepting == nullptr) {
        this->cached_accepting = this->make_view(false);
    }
    return *this->cached_accepting;
}

bool process_view::is_data_centre_withdrawn(
    const support::data_centre_name& name) const {
    return std::find(this->withdrawn.begin(), this->withdrawn.end(), name) !=
           this->withdrawn.end();
}

flow::admission_decision
random_admission::decide_admission(support::instant now) {
    static_cast<void>(now);
    const std::uint64_t percent = random_below(this->random, 100);
    if (percent < 80) {
        return flow::admission_decision::accept;
    }
    return percent < 95 ? flow::admission_decision::prefer_other
                        : flow::admission_decision::refuse;
}

agent::agent(std::size_t service, const placement::member& member,
             const flow::flow_table_settings& settings, support::instant now)
    : service(service), member(member), admission(member.id.value),
      table({member.id, member.data, address_of_service(service)}, settings,
            now) {}

fleet::fleet(scheduler& time, std::uint64_t seed, std::size_t initial_members,
             flow::flow_table_settings settings)
    : time(time), random(seed), settings(settings), balancers(balancer_count) {
    for (std::size_t i = 0; i < initial_members; ++i) {
        this->start(0, this->allocate_address());
    }
    // Every process learns of the initial members before the first flow opens.
    this->time.run_until({10'000});
    this->tick();
}

support::endpoint fleet::allocate_address() {
    return {{0x0a000001U + this->next_address++}, 7000};
}

agent& fleet::start(std::size_t service, support::endpoint address) {
    static const std::array<const char*, 3> data_centres{"a", "b", "c"};
    placement::member member;
    member.id = {this->random()};
    member.data = address;
    member.data_centre = {data_centres[address.address.value % 3]};
    member.joined = static_cast<std::uint64_t>(this->time.now().ms) + 1;
    auto new_agent = std::make_shared<agent>(service, member, this->settings,
                                             this->time.now());
    this->agents[address] = new_agent;
    // A new process starts with all earlier updates.
    for (const membership_update& update : this->history) {
        new_agent->view.apply(update);
    }
    this->announce({membership_update::kind::joined, service, member});
    return *new_agent;
}

void fleet::announce(const membership_update& update) {
    this->history.push_back(update);
    for (process_view& view : this->balancers) {
        this->time.after(static_cast<std::int64_t>(
                             random_below(this->random, max_view_lag_ms)),
                         [&view, update] { view.apply(update); });
    }
    for (const auto& [address, shared_agent] : this->agents) {
        const auto delay = static_cast<std::int64_t>(
            random_below(this->random, max_view_lag_ms));
        this->time.after(delay, [instance = shared_agent, update, this] {
            this->deliver_update(instance->view, instance.get(), update);
        });
    }
}

void fleet::deliver_update(process_view& view, agent* owner,
                           const membership_update& update) {
    view.apply(update);
    if (update.type == membership_update::kind::left) {
        owner->table.on_member_left(update.member.id);
    }
    owner->table.set_draining(
        owner->is_draining ||
        view.is_data_centre_withdrawn(owner->member.data_centre));
}

agent* fleet::receiver(support::endpoint address) {
    const auto entry = this->agents.find(address);
    return entry == this->agents.end() ? nullptr : entry->second.get();
}

process_view& fleet::balancer(std::size_t index) {
    return this->balancers[index];
}

agent* fleet::find(support::member_id id) {
    for (const auto& [address, instance] : this->agents) {
        if (instance->member.id == id) {
            return instance.get();
        }
    }
    return nullptr;
}

std::size_t fleet::active_count() const {
    std::size_t count = 0;
    for (const auto& [address, instance] : this->agents) {
        count += instance->service == 0 && !instance->is_draining ? 1 : 0;
    }
    return count;
}

std::size_t fleet::members() const {
    std::size_t count = 0;
    for (const auto& [address, instance] : this->agents) {
        count += instance->service == 0 ? 1 : 0;
    }
    return count;
}

agent* fleet::pick_active_agent() {
    std::vector<agent*> choices;
    for (const auto& [address, instance] : this->agents) {
        if (instance->service == 0 && !instance->is_draining) {
            choices.push_back(instance.get());
        }
    }
    return choices.size() <= min_active_agents
               ? nullptr
               : choices[random_below(this->random, choices.size())];
}

void fleet::change() {
    ++this->change_count;
    const std::uint64_t percent = random_below(this->random, 100);
    agent* instance = this->pick_active_agent();
    if (instance == nullptr ||
        (percent < 45 && this->active_count() < max_active_agents)) {
        this->start(0, this->allocate_address());
        return;
    }
    if (percent < 92) {
        // A rolling replacement drains an agent only while more than half of
        // the members are active; otherwise it starts a new one.
        if (2 * this->active_count() > this->members()) {
            this->drain(*instance);
        } else {
            this->start(0, this->allocate_address());
        }
        return;
    }
    if (percent < 97) {
        this->crash(*instance);
        return;
    }
    this->withdraw();
}

void fleet::drain(agent& instance) {
    instance.is_draining = true;
    instance.table.set_draining(true);
    this->announce(
        {membership_update::kind::draining, instance.service, instance.member});
    this->leave_when_idle(instance.member.id);
}

void fleet::leave_when_idle(support::member_id id) {
    constexpr std::int64_t poll_interval_ms = 1000;
    agent* instance = this->find(id);
    if (instance == nullptr) {
        return;
    }
    if (instance->stack.empty()) {
        this->leave(*instance);
        return;
    }
    this->time.after(poll_interval_ms,
                     [this, id] { this->leave_when_idle(id); });
}

/// Announces that an idle agent leaves, and stops it some time later. A new
/// agent of the same or of the other service may then reuse its address at
/// once.
void fleet::leave(agent& instance) {
    constexpr std::uint64_t max_linger_ms = 6000;
    const support::endpoint address = instance.member.data;
    const support::member_id id = instance.member.id;
    this->announce(
        {membership_update::kind::left, instance.service, instance.member});
    const auto linger =
        static_cast<std::int64_t>(random_below(this->random, max_linger_ms));
    const std::uint64_t next_use = random_below(this->random, 3);
    this->time.after(linger, [this, address, id, next_use] {
        agent* leaving = this->receiver(address);
        if (leaving == nullptr || leaving->member.id != id) {
            return;
        }
        this->agents.erase(address);
        if (next_use < service_count) {
            this->start(next_use, address);
        }
    });
}

/// Stops an agent without draining. The flows that it owns are lost.
void fleet::crash(agent& instance) {
    const membership_update update{membership_update::kind::left,
                                   instance.service, instance.member};
    this->crashed_agents.insert(instance.member.id);
    this->callbacks.on_crash(instance);
    this->agents.erase(update.member.data);
    this->announce(update);
}

void fleet::withdraw() {
    constexpr std::int64_t withdrawal_ms = 40'000;
    constexpr std::int64_t settle_ms = 6000;
    const std::array<const char*, 3> names{"a", "b", "c"};
    const support::data_centre_name name{names[random_below(this->random, 3)]};
    if (!this->withdrawn_data_centres.empty()) {
        return;
    }
    this->withdrawn_data_centres[name] = 0;
    this->callbacks.on_withdrawal(name);
    membership_update update{membership_update::kind::withdrawn, 0, {}};
    update.member.data_centre = name;
    this->announce(update);
    this->time.after(withdrawal_ms, [this, update]() mutable {
        update.type = membership_update::kind::returned;
        update.member.joined = static_cast<std::uint64_t>(this->time.now().ms);
        this->announce(update);
    });
    this->time.after(withdrawal_ms + settle_ms, [this, name] {
        this->withdrawn_data_centres.erase(name);
    });
}

bool fleet::has_crashed(support::member_id id) const {
    return this->crashed_agents.contains(id);
}

bool fleet::is_withdrawn(const support::data_centre_name& name) const {
    return this->withdrawn_data_centres.contains(name);
}

void fleet::tick() {
    constexpr std::int64_t tick_ms = 1000;
    for (const auto& [address, instance] : this->agents) {
        instance->table.tick(this->time.now());
    }
    this->time.after(tick_ms, [this] { this->tick(); });
}

} // namespace fake
