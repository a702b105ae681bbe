#include "fleet.hpp"

#include <benchmark/benchmark.h>

#include <random>

class always_admit final : public bench::flow::admission_policy {
public:
    bench::flow::admission_decision
    decide_admission(bench::support::instant now) override {
        static_cast<void>(now);
        return bench::flow::admission_decision::accept;
    }
};

/// The decision of an agent about a packet of an established flow. Argument:
/// established flows in the agent's table.
static void deliver(benchmark::State& state) {
    const auto count = static_cast<std::uint32_t>(state.range(0));
    const auto service = bench::make_service(0, 1);
    const auto& self = service.members[0];
    bench::flow::frame_header header;
    header.candidates.size = 1;
    header.candidates.items[0] = {self.id, self.data};
    always_admit admission;
    const std::size_t before = bench::allocated_bytes();
    bench::flow::flow_table table({self.id, self.data, service.address},
                                  {.max_flows = 1'000'000}, {});
    bench::flow::packet packet;
    packet.key.service = service.address;
    const auto send = [&](std::uint32_t caller, std::uint8_t flags) {
        packet.key.caller = {{caller}, 40000};
        packet.flags.bits = flags;
        packet.acknowledgement = 1001;
        return table.on_packet(header, packet, {60'000}, admission, nullptr);
    };
    for (std::uint32_t i = 0; i < count; ++i) {
        send(i, bench::flow::tcp_flags::syn_bit);
        table.on_syn_ack_sent(packet.key.caller, 1000);
        send(i, bench::flow::tcp_flags::ack_bit);
    }
    const auto heap_growth =
        static_cast<double>(bench::allocated_bytes() - before);
    std::minstd_rand random(1);
    for (auto _ : state) {
        const auto caller = static_cast<std::uint32_t>(random()) % count;
        const auto action = send(caller, bench::flow::tcp_flags::ack_bit);
        benchmark::DoNotOptimize(action.kind);
    }
    state.counters["flows"] = static_cast<double>(table.counts().established);
    state.counters["bytes_per_flow"] = heap_growth / count;
}

BENCHMARK(deliver)->Arg(1'000)->Arg(10'000)->Arg(100'000);
