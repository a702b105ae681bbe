#include "fleet_fake.hpp"

#include <algorithm>
#include <array>

namespace fake {

/// How long after a change the last process learns of it.
static constexpr std::uint64_t view_lag_ms = 5000;
static constexpr std::size_t fewest_serving = 4;
static constexpr std::size_t most_serving = 14;

std::uint64_t draw(random_source& random, std::uint64_t end) {
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

void process_view::learn(const fact& news) {
    const support::member_id id = news.member.id;
    const auto& data_centre = news.member.data_centre;
    switch (news.what) {
    case fact::kind::joined:
        if (!this->left.contains(id)) {
            this->members[id] = news;
        }
        break;
    case fact::kind::draining:
        this->draining.insert(id);
        break;
    case fact::kind::left:
        this->left.insert(id);
        this->members.erase(id);
        break;
    case fact::kind::withdrawn:
        this->withdrawn.push_back(data_centre);
        break;
    case fact::kind::returned:
        std::erase(this->withdrawn, data_centre);
        this->returned[data_centre] = news.member.joined;
        break;
    }
    this->cached_all = nullptr;
    this->cached_accepting = nullptr;
}

/// Makes a view, or finds the one that another process made of the same.
static std::shared_ptr<const placement::fleet_view>
view_of(const placement::service_members& service) {
    using member_list = std::vector<placement::member>;
    static std::map<member_list, std::shared_ptr<const placement::fleet_view>>
        made;
    constexpr std::size_t most_made = 1000;
    if (made.size() > most_made) {
        made.clear();
    }
    auto& view = made[service.members];
    if (view == nullptr) {
        view = placement::fleet_view().with_service(service);
    }
    return view;
}

std::shared_ptr<const placement::fleet_view>
process_view::make_view(bool with_draining) const {
    placement::service_members service{{"orders"}, address_of_service(0), {}};
    for (const auto& [id, news] : this->members) {
        if (news.service != 0 ||
            (!with_draining && this->draining.contains(id))) {
            continue;
        }
        placement::member member = news.member;
        member.draining = this->draining.contains(id);
        const auto returned = this->returned.find(member.data_centre);
        if (returned != this->returned.end()) {
            member.joined = std::max(member.joined, returned->second);
        }
        service.members.push_back(member);
    }
    return view_of(placement::without_data_centres(service, this->withdrawn));
}

const placement::fleet_view& process_view::all() {
    if (this->cached_all == nullptr) {
        this->cached_all = this->make_view(true);
    }
    return *this->cached_all;
}

const placement::fleet_view& process_view::accepting() {
    if (this->cached_accepting == nullptr) {
        this->cached_accepting = this->make_view(false);
    }
    return *this->cached_accepting;
}

bool process_view::knows_withdrawn(
    const support::data_centre_name& name) const {
    return std::find(this->withdrawn.begin(), this->withdrawn.end(), name) !=
           this->withdrawn.end();
}

flow::admission_decision
random_admission::decide_admission(support::instant now) {
    static_cast<void>(now);
    const std::uint64_t percent = draw(this->random, 100);
    if (percent < 80) {
        return flow::admission_decision::take;
    }
    return percent < 95 ? flow::admission_decision::prefer_other
                        : flow::admission_decision::refuse;
}

agent::agent(std::size_t service, const placement::member& member,
             const flow::flow_table_settings& settings, support::instant now)
    : service(service), member(member), admission(member.id.value),
      table({member.id, member.data, address_of_service(service)}, settings,
            now) {}

fleet::fleet(scheduler& time, std::uint64_t seed, std::size_t first_size,
             flow::flow_table_settings settings)
    : time(time), random(seed), settings(settings), balancers(balancer_count) {
    for (std::size_t i = 0; i < first_size; ++i) {
        this->start(0, this->fresh_address());
    }
    // The first members are known everywhere before the first flow.
    this->time.run_until({10'000});
    this->tick();
}

support::endpoint fleet::fresh_address() {
    return {{0x0a000001U + this->next_address++}, 7000};
}

agent& fleet::start(std::size_t service, support::endpoint address) {
    static const std::array<const char*, 3> data_centres{"a", "b", "c"};
    placement::member member;
    member.id = {this->random()};
    member.data = address;
    member.data_centre = {data_centres[address.address.value % 3]};
    member.joined = static_cast<std::uint64_t>(this->time.now().ms) + 1;
    auto started = std::make_shared<agent>(service, member, this->settings,
                                           this->time.now());
    this->agents[address] = started;
    // A new process gets what its peers know.
    for (const fact& news : this->history) {
        started->view.learn(news);
    }
    this->announce({fact::kind::joined, service, member});
    return *started;
}

void fleet::announce(const fact& news) {
    this->history.push_back(news);
    for (process_view& view : this->balancers) {
        this->time.after(
            static_cast<std::int64_t>(draw(this->random, view_lag_ms)),
            [&view, news] { view.learn(news); });
    }
    for (const auto& [address, shared] : this->agents) {
        const auto delay =
            static_cast<std::int64_t>(draw(this->random, view_lag_ms));
        this->time.after(delay, [who = shared, news, this] {
            this->tell(who->view, who.get(), news);
        });
    }
}

void fleet::tell(process_view& view, agent* owner, const fact& news) {
    view.learn(news);
    if (news.what == fact::kind::left) {
        owner->table.on_member_left(news.member.id);
    }
    owner->table.set_draining(owner->is_draining ||
                              view.knows_withdrawn(owner->member.data_centre));
}

agent* fleet::at(support::endpoint address) {
    const auto found = this->agents.find(address);
    return found == this->agents.end() ? nullptr : found->second.get();
}

process_view& fleet::balancer(std::size_t index) {
    return this->balancers[index];
}

agent* fleet::find(support::member_id id) {
    for (const auto& [address, who] : this->agents) {
        if (who->member.id == id) {
            return who.get();
        }
    }
    return nullptr;
}

std::size_t fleet::serving() const {
    std::size_t count = 0;
    for (const auto& [address, who] : this->agents) {
        count += who->service == 0 && !who->is_draining ? 1 : 0;
    }
    return count;
}

std::size_t fleet::members() const {
    std::size_t count = 0;
    for (const auto& [address, who] : this->agents) {
        count += who->service == 0 ? 1 : 0;
    }
    return count;
}

agent* fleet::any_serving() {
    std::vector<agent*> choices;
    for (const auto& [address, who] : this->agents) {
        if (who->service == 0 && !who->is_draining) {
            choices.push_back(who.get());
        }
    }
    return choices.size() <= fewest_serving
               ? nullptr
               : choices[draw(this->random, choices.size())];
}

void fleet::change() {
    ++this->change_count;
    const std::uint64_t percent = draw(this->random, 100);
    agent* who = this->any_serving();
    if (who == nullptr || (percent < 45 && this->serving() < most_serving)) {
        this->start(0, this->fresh_address());
        return;
    }
    if (percent < 92) {
        // A rolling replacement starts no more than it stops.
        if (2 * this->serving() > this->members()) {
            this->drain(*who);
        } else {
            this->start(0, this->fresh_address());
        }
        return;
    }
    if (percent < 97) {
        this->die(*who);
        return;
    }
    this->withdraw();
}

void fleet::drain(agent& who) {
    who.is_draining = true;
    who.table.set_draining(true);
    this->announce({fact::kind::draining, who.service, who.member});
    this->leave_when_idle(who.member.id);
}

void fleet::leave_when_idle(support::member_id id) {
    constexpr std::int64_t poll_ms = 1000;
    agent* who = this->find(id);
    if (who == nullptr) {
        return;
    }
    if (who->stack.empty()) {
        this->leave(*who);
        return;
    }
    this->time.after(poll_ms, [this, id] { this->leave_when_idle(id); });
}

/// An idle agent announces that it leaves and goes some time later. Then its
/// address may serve again at once: the same service, another or none.
void fleet::leave(agent& who) {
    constexpr std::uint64_t longest_linger_ms = 6000;
    const support::endpoint address = who.member.data;
    const support::member_id id = who.member.id;
    this->announce({fact::kind::left, who.service, who.member});
    const auto linger =
        static_cast<std::int64_t>(draw(this->random, longest_linger_ms));
    const std::uint64_t next_use = draw(this->random, 3);
    this->time.after(linger, [this, address, id, next_use] {
        agent* last = this->at(address);
        if (last == nullptr || last->member.id != id) {
            return;
        }
        this->agents.erase(address);
        if (next_use < service_count) {
            this->start(next_use, address);
        }
    });
}

/// Not planned: the agent's own flows are lost with it.
void fleet::die(agent& who) {
    const fact news{fact::kind::left, who.service, who.member};
    this->died.insert(who.member.id);
    this->callbacks.on_death(who);
    this->agents.erase(news.member.data);
    this->announce(news);
}

void fleet::withdraw() {
    constexpr std::int64_t out_ms = 40'000;
    constexpr std::int64_t settle_ms = 6000;
    const std::array<const char*, 3> names{"a", "b", "c"};
    const support::data_centre_name name{names[draw(this->random, 3)]};
    if (!this->withdrawn_until.empty()) {
        return;
    }
    this->withdrawn_until[name] = 0;
    this->callbacks.on_withdrawal(name);
    fact news{fact::kind::withdrawn, 0, {}};
    news.member.data_centre = name;
    this->announce(news);
    this->time.after(out_ms, [this, news]() mutable {
        news.what = fact::kind::returned;
        news.member.joined = static_cast<std::uint64_t>(this->time.now().ms);
        this->announce(news);
    });
    this->time.after(out_ms + settle_ms,
                     [this, name] { this->withdrawn_until.erase(name); });
}

bool fleet::has_died(support::member_id id) const {
    return this->died.contains(id);
}

bool fleet::is_withdrawn(const support::data_centre_name& name) const {
    return this->withdrawn_until.contains(name);
}

void fleet::tick() {
    constexpr std::int64_t tick_ms = 1000;
    for (const auto& [address, who] : this->agents) {
        who->table.tick(this->time.now());
    }
    this->time.after(tick_ms, [this] { this->tick(); });
}

} // namespace fake
