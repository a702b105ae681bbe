/// Cost of control-plane updates to a process: turning a snapshot into a view,
/// and copying the snapshot.
///
/// Argument: members. There are 2 services per 19 members, close to the design
/// size of 1,800 services, 15,000 agents and 2,000 balancers.

#include <guavastair/node.hpp>

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

namespace config = guavastair::config;
namespace control = guavastair::control;
namespace membership = guavastair::membership;
namespace node = guavastair::node;
namespace support = guavastair::support;

namespace {

constexpr std::uint64_t members_per_balancer = 8;
constexpr std::uint32_t services_address = 0x0a000000;

support::service_name service_at(std::uint64_t index) {
    return {absl::StrCat("service-", index)};
}

membership::member_view make_member(std::uint64_t index,
                                    std::uint64_t services) {
    membership::member_view view;
    membership::node_record& record = view.record;
    record.id = {index + 1};
    record.name = {absl::StrCat("node-", index)};
    record.data_centre = {absl::StrCat("data-centre-", index % 11)};
    record.data = {support::ipv4_address{static_cast<std::uint32_t>(index + 1)},
                   6081};
    record.state = membership::member_state::ready;
    if (index % members_per_balancer == 0) {
        return view;
    }
    record.role = membership::role::agent;
    record.service = service_at(index % services);
    record.weight = 5;
    return view;
}

control::snapshot make_snapshot(std::uint64_t members) {
    control::snapshot current_snapshot;
    const std::uint64_t services = std::max<std::uint64_t>(1, members * 2 / 19);
    for (std::uint64_t i = 0; i < members; ++i) {
        current_snapshot.members.push_back(make_member(i, services));
    }
    for (std::uint64_t i = 0; i < services; ++i) {
        config::service_document document;
        document.name = service_at(i);
        document.address = {
            support::ipv4_address{services_address +
                                  static_cast<std::uint32_t>(i)},
            80};
        current_snapshot.services.push_back(
            std::make_shared<const config::service_document>(document));
    }
    std::sort(current_snapshot.services.begin(),
              current_snapshot.services.end(),
              [](const auto& a, const auto& b) { return a->name < b->name; });
    return current_snapshot;
}

void update_without_change(benchmark::State& state) {
    const auto current_snapshot =
        make_snapshot(static_cast<std::uint64_t>(state.range(0)));
    node::view_builder builder;
    builder.update(current_snapshot);
    for (auto _ : state) {
        benchmark::DoNotOptimize(builder.update(current_snapshot));
    }
}

void update_with_one_restart(benchmark::State& state) {
    auto current_snapshot =
        make_snapshot(static_cast<std::uint64_t>(state.range(0)));
    node::view_builder builder;
    builder.update(current_snapshot);
    std::uint64_t id = 1U << 30U;
    for (auto _ : state) {
        current_snapshot.members[1].record.id = {++id};
        benchmark::DoNotOptimize(builder.update(current_snapshot));
    }
}

void copy_snapshot(benchmark::State& state) {
    const auto current_snapshot =
        make_snapshot(static_cast<std::uint64_t>(state.range(0)));
    for (auto _ : state) {
        const control::snapshot copy = current_snapshot;
        benchmark::DoNotOptimize(&copy);
    }
}

void sizes(benchmark::internal::Benchmark* bench) {
    bench->Arg(20)->Arg(500)->Arg(2000)->Arg(17000);
    bench->Unit(benchmark::kMicrosecond);
}

BENCHMARK(update_without_change)->Apply(sizes);
BENCHMARK(update_with_one_restart)->Apply(sizes);
BENCHMARK(copy_snapshot)->Apply(sizes);

} // namespace

BENCHMARK_MAIN();
