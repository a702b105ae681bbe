// Cost of membership by fleet size: bytes, messages and processor time when
// idle, cost of a change, memory, repair after a partition and the loss of a
// rack. Prints Markdown tables.
//   membership_slopes [largest size]

#include "fleet.hpp"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

namespace guavastair::membership {

namespace {

constexpr std::array<std::size_t, 4> sizes{20, 100, 500, 2000};
constexpr std::size_t rack_size = 40;
constexpr support::duration step = support::milliseconds(100);
constexpr support::duration limit = support::seconds(120);
constexpr std::int64_t idle_seconds = 10;

/// Traffic and processor time of a whole fleet since the last reset.
struct totals {
    double sent = 0;
    double busiest = 0;
    double messages = 0;
    double microseconds = 0;
    double busiest_microseconds = 0;
};

totals totals_of(fleet& all) {
    totals sum;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const process& item = all.at(i);
        const auto sent = static_cast<double>(item.sent_bytes);
        const auto received = static_cast<double>(item.received_bytes);
        const double elapsed_time =
            static_cast<double>(item.elapsed_time.count()) / 1000;
        sum.sent += sent;
        sum.busiest = std::max(sum.busiest, sent + received);
        sum.messages += static_cast<double>(item.sent_messages);
        sum.microseconds += elapsed_time;
        sum.busiest_microseconds =
            std::max(sum.busiest_microseconds, elapsed_time);
    }
    return sum;
}

void reset(fleet& all) {
    for (std::size_t i = 0; i < all.size(); ++i) {
        process& item = all.at(i);
        item.sent_bytes = 0;
        item.received_bytes = 0;
        item.sent_messages = 0;
        item.elapsed_time = {};
    }
}

std::size_t data_centres_for(std::size_t size) {
    return size < 100 ? 3 : 11;
}

/// A fleet whose membership has converged.
fleet make_fleet(std::size_t size, std::size_t data_centres) {
    fleet all(size, data_centres, 1);
    all.introduce_all();
    all.run(support::seconds(20));
    all.count_bytes = true;
    all.use_codecs = true;
    reset(all);
    return all;
}

totals idle(fleet& all) {
    reset(all);
    all.run(support::seconds(idle_seconds));
    return totals_of(all);
}

bool all_see(fleet& all, const std::vector<std::size_t>& changed,
             bool (*predicate)(const member_view&)) {
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (all.at(i).is_dead) {
            continue;
        }
        for (const std::size_t other : changed) {
            const auto view = all.at(i).member->find(all.at(other).initial.id);
            if (i != other && (!view.has_value() || !predicate(*view))) {
                return false;
            }
        }
    }
    return true;
}

support::duration run_until(fleet& all, const std::vector<std::size_t>& changed,
                            bool (*predicate)(const member_view&)) {
    const support::instant begin = all.now;
    while (!all_see(all, changed, predicate) && all.now - begin < limit) {
        all.run(step);
    }
    return all.now - begin;
}

bool is_draining(const member_view& view) {
    return view.record.state == member_state::draining;
}

bool is_failed(const member_view& view) {
    return view.liveness == liveness::failed;
}

/// Bytes that the fleet sent in addition to its idle traffic.
double extra_bytes(fleet& all, const totals& idle_traffic,
                   support::duration passed) {
    const double rest = idle_traffic.sent / idle_seconds *
                        static_cast<double>(passed.ms) / 1000;
    return std::max(0.0, totals_of(all).sent - rest);
}

void print_idle_and_change(fleet& all) {
    const auto size = static_cast<double>(all.size());
    const totals idle_traffic = idle(all);
    const double per_node = size * idle_seconds;
    reset(all);
    const std::size_t leaving = all.size() / 2;
    all.at(leaving).member->set_state(all.now, member_state::draining);
    const support::duration convergence_time =
        run_until(all, {leaving}, is_draining);
    const support::duration rest = support::seconds(8);
    all.run(rest);
    const double change =
        extra_bytes(all, idle_traffic, convergence_time + rest) / size;
    std::printf("| %zu | %.0f | %.0f | %.1f | %.0f | %.0f | %.0f | %lld |\n",
                all.size(), idle_traffic.sent / per_node,
                idle_traffic.busiest / idle_seconds,
                idle_traffic.messages / per_node,
                idle_traffic.microseconds / per_node,
                idle_traffic.busiest_microseconds / idle_seconds, change,
                static_cast<long long>(convergence_time.ms));
    std::fflush(stdout);
}

void print_rack(std::size_t size, std::size_t data_centres) {
    fleet all = make_fleet(size, data_centres);
    const totals idle_traffic = idle(all);
    std::vector<std::size_t> rack;
    for (std::size_t i = 0; i < rack_size; ++i) {
        rack.push_back(i * data_centres + 1);
        all.kill(rack.back());
    }
    reset(all);
    const support::duration convergence_time = run_until(all, rack, is_failed);
    const double extra = extra_bytes(all, idle_traffic, convergence_time);
    std::printf("| %zu | %zu | %lld | %.0f | %.0f |\n", size, data_centres,
                static_cast<long long>(convergence_time.ms),
                extra / static_cast<double>(size),
                totals_of(all).busiest * 1000 /
                    static_cast<double>(convergence_time.ms));
    std::fflush(stdout);
}

/// Partitions the first quarter of the data centres (plus one) from the others,
/// changes `changes` members spread over both sides, as many as change in an
/// hour, and repairs the links.
void print_partition(std::size_t size, std::size_t data_centres,
                     std::size_t changes) {
    fleet all = make_fleet(size, data_centres);
    const totals idle_traffic = idle(all);
    const std::size_t region = data_centres / 4 + 1;
    for (std::size_t i = 0; i < region; ++i) {
        for (std::size_t j = region; j < data_centres; ++j) {
            all.cut(i, j);
        }
    }
    all.run(support::seconds(10));
    std::vector<std::size_t> changed;
    for (std::size_t i = 0; i < changes; ++i) {
        changed.push_back(i * size / changes);
        all.at(changed.back())
            .member->set_state(all.now, member_state::draining);
    }
    all.run(support::seconds(60));
    for (std::size_t i = 0; i < region; ++i) {
        for (std::size_t j = region; j < data_centres; ++j) {
            all.cut(i, j, false);
        }
    }
    reset(all);
    const support::duration convergence_time =
        run_until(all, changed, is_draining);
    const double extra = extra_bytes(all, idle_traffic, convergence_time);
    std::printf("| %zu | %zu | %zu | %lld | %.0f |\n", size, data_centres,
                changes, static_cast<long long>(convergence_time.ms),
                extra / static_cast<double>(size));
    std::fflush(stdout);
}

/// Adds one member to a converged fleet.
void print_join(std::size_t size, std::size_t data_centres) {
    fleet all = make_fleet(size, data_centres);
    const std::size_t joiner = all.add(0);
    const support::instant begin = all.now;
    const auto has_all_members = [&] {
        return all.at(joiner).member->members().size() == size;
    };
    while (!has_all_members() && all.now - begin < limit) {
        all.run(step);
    }
    const support::duration elapsed = all.now - begin;
    std::printf("| %zu | %lld | %llu |\n", size,
                static_cast<long long>(elapsed.ms),
                static_cast<unsigned long long>(all.at(joiner).received_bytes));
    std::fflush(stdout);
}

/// Counts false suspicions in five minutes of packet loss and variable delay,
/// with one process that is regularly paused for 900 ms. Then measures how long
/// a real failure takes to detect.
void print_false_suspicions(double loss, bool uses_lifeguard) {
    constexpr int minutes = 5;
    constexpr int pauses_per_minute = 10;
    options settings;
    settings.lifeguard = uses_lifeguard;
    fleet all(20, 3, 1, settings);
    all.introduce_all();
    all.run(support::seconds(20));
    all.link.loss = loss;
    all.link.max_delay = support::milliseconds(150);
    for (int i = 0; i < minutes * pauses_per_minute; ++i) {
        all.pause(7, support::milliseconds(900));
        all.run(support::seconds(60 / pauses_per_minute));
    }
    std::uint64_t suspicions = 0;
    std::uint64_t declared = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        suspicions += all.at(i).member->count().suspicions;
        declared += all.at(i).member->count().declared_failed;
    }
    all.link = {};
    all.run(support::seconds(10));
    all.kill(5);
    const support::duration convergence_time = run_until(all, {5}, is_failed);
    std::printf("| %.2f | %s | %llu | %llu | %lld |\n", loss,
                uses_lifeguard ? "yes" : "no",
                static_cast<unsigned long long>(suspicions),
                static_cast<unsigned long long>(declared),
                static_cast<long long>(convergence_time.ms));
    std::fflush(stdout);
}

/// Memory of one member for its records of `size` others.
void print_memory(std::size_t size) {
    fleet source(1, 1, 1);
    node_record self = source.at(0).member->self();
    const std::size_t before = mallinfo2().uordblks;
    group member_group({}, self, 1, {});
    message all;
    for (std::size_t i = 0; i < size; ++i) {
        node_record record = self;
        record.id = {(i + 1) * 0x9e3779b97f4a7c15U};
        record.name = {"agent-in-a-rack-" + std::to_string(i)};
        record.data_centre = {"dc-" + std::to_string(i % 11)};
        record.service = {"order-portal"};
        record.control.address.value += static_cast<std::uint32_t>(i) + 1;
        all.kind = message_kind::records;
        all.records.assign(1, record);
        member_group.receive({}, record.control, all);
    }
    const std::size_t after = mallinfo2().uordblks;
    std::printf("| %zu | %zu |\n", size, (after - before) / size);
}

} // namespace

} // namespace guavastair::membership

int main(int argc, char** argv) {
    using namespace guavastair::membership;
    const std::size_t largest =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : sizes.back();
    std::printf("| members | bytes/s sent per node | bytes/s sent and received "
                "by the busiest | messages/s sent per node | CPU us/s per node "
                "| CPU us/s of the busiest | bytes per change and node | "
                "converged after ms |\n|---|---|---|---|---|---|---|---|\n");
    for (const std::size_t size : sizes) {
        if (size <= largest) {
            fleet all = make_fleet(size, data_centres_for(size));
            print_idle_and_change(all);
        }
    }
    std::printf("\nRack of %zu lost\n\n| members | data centres | "
                "converged after ms | extra bytes per node | bytes/s of the "
                "busiest |\n|---|---|---|---|---|\n",
                rack_size);
    print_rack(500, 3);
    if (largest >= sizes.back()) {
        print_rack(sizes.back(), 11);
    }
    std::printf(
        "\nA region partitioned\n\n| members | data centres | changes | "
        "repaired after ms | extra bytes per node "
        "|\n|---|---|---|---|---|\n");
    print_partition(20, 3, 10);
    print_partition(500, 11, 10);
    print_partition(500, 11, 100);
    std::printf("\nA member joins\n\n| members | converged after ms | bytes "
                "received |\n|---|---|---|\n");
    print_join(100, 11);
    print_join(500, 11);
    if (largest >= sizes.back()) {
        print_join(sizes.back(), 11);
    }
    std::printf("\nFalse suspicions, 20 members\n\n| loss | Lifeguard | "
                "suspicions | declared failed | failure known after ms "
                "|\n|---|---|---|---|---|\n");
    for (const double loss : {0.1, 0.2, 0.3}) {
        print_false_suspicions(loss, false);
        print_false_suspicions(loss, true);
    }
    std::printf("\nMemory\n\n| members | bytes per member |\n|---|---|\n");
    print_memory(500);
    print_memory(2000);
    print_memory(17'000);
    return 0;
}
