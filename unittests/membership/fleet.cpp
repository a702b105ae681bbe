#include "fleet.hpp"

#include <algorithm>
#include <string>

namespace guavastair::membership {

namespace {

constexpr support::duration step = support::milliseconds(50);
constexpr std::uint32_t first_address = 0x0a000001;
constexpr std::uint32_t first_start = 1000;
const wire::shared_key key{"a key for the tests only"};

/// Adds its lifetime to `total`.
class stopwatch {
public:
    explicit stopwatch(std::chrono::nanoseconds& total) : total(total) {}

    ~stopwatch() {
        this->total += std::chrono::steady_clock::now() - this->start_time;
    }

private:
    std::chrono::nanoseconds& total;
    std::chrono::steady_clock::time_point start_time =
        std::chrono::steady_clock::now();
};

} // namespace

fleet::fleet(std::size_t size, std::size_t data_centres, std::uint64_t seed,
             options settings)
    : settings(std::move(settings)), random(seed) {
    for (std::size_t i = 0; i < size; ++i) {
        this->processes.emplace_back();
        this->processes[i].initial = this->make_record(i, i % data_centres);
        this->start(i);
    }
}

node_record fleet::make_record(std::size_t index, std::size_t data_centre) {
    const auto offset = static_cast<std::uint32_t>(index);
    const std::string number = std::to_string(index);
    node_record record;
    record.id = {this->random()};
    record.name = {"node-" + number};
    record.data_centre = {"dc-" + std::to_string(data_centre)};
    record.control = {{first_address + offset}, 4000};
    record.data = {{first_address + offset}, 4001};
    record.role = index % 2 == 0 ? role::balancer : role::agent;
    if (record.role == role::agent) {
        record.service = {"order-portal"};
        record.weight = 5;
    }
    record.state = member_state::ready;
    record.incarnation =
        first_start + static_cast<std::uint32_t>(this->now.ms / 1000);
    return record;
}

void fleet::start(std::size_t index) {
    process& started = this->processes[index];
    options own = this->settings;
    own.seeds = {this->processes[0].initial.control,
                 this->processes[this->processes.size() / 2].initial.control};
    this->addresses[started.initial.control] = index;
    started.member = std::make_unique<group>(own, started.initial,
                                             this->random(), this->now);
    const wire::sender_identity identity{started.initial.id, 1};
    started.message_sealer = std::make_unique<wire::sealer>(key, identity);
    started.message_opener =
        std::make_unique<wire::opener>(key, started.initial.control);
}

void fleet::introduce_all() {
    message all;
    all.kind = message_kind::records;
    for (const process& item : this->processes) {
        all.records.push_back(item.member->self());
    }
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
        this->carry_out(
            i, this->processes[i].member->receive(
                   this->now, this->processes[0].initial.control, all));
    }
}

process& fleet::at(std::size_t index) {
    return this->processes.at(index);
}

std::size_t fleet::size() const {
    return this->processes.size();
}

void fleet::kill(std::size_t index) {
    this->processes.at(index).is_dead = true;
}

void fleet::pause(std::size_t index, support::duration span) {
    this->processes.at(index).paused_until = this->now + span;
}

void fleet::replace(std::size_t index) {
    process& replaced = this->processes.at(index);
    replaced.initial.id = {this->random()};
    replaced.initial.incarnation =
        first_start + static_cast<std::uint32_t>(this->now.ms / 1000);
    replaced.is_dead = false;
    replaced.received_while_paused.clear();
    this->start(index);
}

std::size_t fleet::add(std::size_t data_centre) {
    const std::size_t index = this->processes.size();
    this->processes.emplace_back();
    this->processes[index].initial = this->make_record(index, data_centre);
    this->start(index);
    return index;
}

void fleet::cut(std::size_t left, std::size_t right, bool is_cut) {
    const support::data_centre_name one{"dc-" + std::to_string(left)};
    const support::data_centre_name other{"dc-" + std::to_string(right)};
    if (is_cut) {
        this->cut_links.insert({one, other});
        this->cut_links.insert({other, one});
        return;
    }
    this->cut_links.erase({one, other});
    this->cut_links.erase({other, one});
}

void fleet::isolate(std::size_t index, bool is_cut) {
    if (is_cut) {
        this->isolated_processes.insert(index);
        return;
    }
    this->isolated_processes.erase(index);
}

bool fleet::is_cut(std::size_t from, std::size_t to) const {
    return this->isolated_processes.contains(from) ||
           this->isolated_processes.contains(to) ||
           this->cut_links.contains({this->processes[from].initial.data_centre,
                                     this->processes[to].initial.data_centre});
}

void fleet::run(support::duration span) {
    const support::instant end = this->now + span;
    while (this->now < end) {
        this->now = this->now + support::milliseconds(1);
        this->deliver_due();
        for (std::size_t i = 0; i < this->processes.size(); ++i) {
            process& item = this->processes[i];
            // Spreads the ticks of the processes over the step.
            const auto phase = static_cast<std::int64_t>(i * 7);
            const bool is_due = (this->now.ms + phase) % step.ms == 0;
            if (item.is_dead || item.paused_until > this->now || !is_due) {
                continue;
            }
            // After a pause the timers run before the socket is read.
            std::vector<action> actions;
            {
                const stopwatch measure(item.elapsed_time);
                actions = item.member->tick(this->now);
            }
            this->carry_out(i, actions);
            for (auto& [from, body] :
                 std::exchange(item.received_while_paused, {})) {
                this->carry_out(i, item.member->receive(this->now, from, body));
            }
        }
    }
}

void fleet::deliver_due() {
    while (!this->queue.empty() && this->queue.top().due <= this->now) {
        const datagram item = this->queue.top();
        this->queue.pop();
        this->deliver(item);
    }
}

void fleet::deliver(const datagram& item) {
    process& receiver = this->processes[item.to];
    if (receiver.is_dead) {
        return;
    }
    const support::endpoint from = this->processes[item.from].initial.control;
    if (receiver.paused_until > this->now) {
        message body;
        if (this->decode_message(receiver, item, body)) {
            receiver.received_while_paused.emplace_back(from, std::move(body));
        }
        return;
    }
    std::vector<action> actions;
    {
        const stopwatch measure(receiver.elapsed_time);
        message body;
        if (!this->decode_message(receiver, item, body)) {
            return;
        }
        actions = receiver.member->receive(this->now, from, body);
    }
    this->carry_out(item.to, actions);
}

void fleet::encode_message(std::size_t from, const send_message& sent,
                           datagram& encoded) {
    process& sender = this->processes[from];
    if (!this->use_codecs) {
        encoded.body = sent.body;
        return;
    }
    const stopwatch measure(sender.elapsed_time);
    encoded.sealed = sender.message_sealer->seal(
        wire::payload_kind::membership, sent.to, wire::encode(sent.body));
}

bool fleet::decode_message(process& receiver, const datagram& encoded,
                           message& body) {
    if (encoded.sealed.empty()) {
        body = encoded.body;
        return true;
    }
    const auto opened = receiver.message_opener->open(encoded.sealed);
    if (!opened.ok()) {
        return false;
    }
    auto decoded = wire::decode_membership(opened->payload);
    if (!decoded.ok()) {
        return false;
    }
    body = *std::move(decoded);
    return true;
}

void fleet::carry_out(std::size_t from, const std::vector<action>& actions) {
    for (const action& item : actions) {
        if (const auto* sent = std::get_if<send_message>(&item)) {
            this->transmit(from, *sent);
        }
    }
}

void fleet::transmit(std::size_t from, const send_message& sent) {
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<std::int64_t> delay(this->link.min_delay.ms,
                                                      this->link.max_delay.ms);
    const auto found = this->addresses.find(sent.to);
    if (found == this->addresses.end()) {
        return;
    }
    const std::size_t to = found->second;
    this->largest_message =
        std::max(this->largest_message, size_bound(sent.body));
    datagram encoded;
    this->encode_message(from, sent, encoded);
    if (this->count_bytes) {
        const std::size_t size =
            this->use_codecs ? encoded.sealed.size()
                             : wire::encode(sent.body).size() + wire::seal_size;
        this->processes[from].sent_bytes += size;
        ++this->processes[from].sent_messages;
        this->processes[to].received_bytes += size;
    }
    if (this->is_cut(from, to) || chance(this->random) < this->link.loss) {
        return;
    }
    const int copies = chance(this->random) < this->link.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        encoded.due = this->now + support::milliseconds(delay(this->random));
        encoded.serial = this->next_serial++;
        encoded.from = from;
        encoded.to = to;
        this->queue.push(encoded);
    }
}

bool fleet::has_current_record(const process& observer,
                               const process& observed) const {
    const auto view = observer.member->find(observed.initial.id);
    if (!view.has_value()) {
        return false;
    }
    const node_record& current_record = observed.member->self();
    return is_present(*view) && view->liveness == liveness::alive &&
           view->record == current_record;
}

bool fleet::converged() const {
    std::size_t live = 0;
    for (const process& item : this->processes) {
        live += item.is_dead ? 0 : 1;
    }
    for (const process& observer : this->processes) {
        if (observer.is_dead) {
            continue;
        }
        for (const process& observed : this->processes) {
            const bool is_other = &observed != &observer;
            if (!observed.is_dead && is_other &&
                !this->has_current_record(observer, observed)) {
                return false;
            }
        }
        const auto members = observer.member->members();
        const auto present =
            std::count_if(members.begin(), members.end(), is_present);
        if (static_cast<std::size_t>(present) + 1 != live) {
            return false;
        }
    }
    return true;
}

support::duration fleet::run_until_converged(support::duration limit) {
    const support::instant start_time = this->now;
    while (!this->converged() && this->now - start_time < limit) {
        this->run(step);
    }
    return this->now - start_time;
}

std::size_t fleet::count_observing_ready(std::size_t index) const {
    const process& observed = this->processes.at(index);
    const auto observes_ready = [&](const process& observer) {
        if (observer.is_dead || &observer == &observed) {
            return false;
        }
        const auto view = observer.member->find(observed.initial.id);
        return view.has_value() && takes_new_work(*view);
    };
    return static_cast<std::size_t>(std::count_if(
        this->processes.begin(), this->processes.end(), observes_ready));
}

} // namespace guavastair::membership
