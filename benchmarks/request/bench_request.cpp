/// Cost of one request in the request engine, and heap per idle flow.

#include <guavastair/request.hpp>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

namespace admission = guavastair::admission;
namespace request = guavastair::request;
namespace support = guavastair::support;

namespace {

constexpr absl::string_view get_stock = "GET /stock HTTP/1.1\r\nHost: a\r\n"
                                        "Accept: */*\r\n\r\n";

// One request and its response. Argument: bytes in the response body.
void relay_request(benchmark::State& state) {
    admission::controller_settings settings;
    settings.limiter.slots = 5;
    settings.limiter.cold_slots = 5;
    admission::controller controller(settings, {}, {});
    request::flow flow({}, controller, 1, {});
    const std::string body(static_cast<std::size_t>(state.range(0)), 'x');
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    for (auto step : state) {
        benchmark::DoNotOptimize(flow.caller_bytes({}, get_stock));
        benchmark::DoNotOptimize(flow.server_connected({}));
        benchmark::DoNotOptimize(flow.server_bytes({}, answer));
    }
}
BENCHMARK(relay_request)->Arg(0)->Arg(1000)->Arg(10'000)->Arg(100'000);

void refuse_request(benchmark::State& state) {
    admission::controller controller({}, {}, {});
    controller.set_draining(true);
    request::flow flow({}, controller, 1, {});
    for (auto step : state) {
        benchmark::DoNotOptimize(flow.caller_bytes({}, get_stock));
    }
}
BENCHMARK(refuse_request);

void idle_flow_memory(benchmark::State& state) {
    admission::controller controller({}, {}, {});
    const auto count = static_cast<std::size_t>(state.range(0));
    double bytes = 0.0;
    for (auto step : state) {
        std::vector<request::flow> flows;
        flows.reserve(count);
        const std::size_t before = mallinfo2().uordblks;
        for (std::size_t i = 0; i < count; ++i) {
            flows.emplace_back(request::flow_settings{}, controller, i,
                               support::instant{});
        }
        bytes = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes_each"] = bytes / static_cast<double>(count);
}
BENCHMARK(idle_flow_memory)->Arg(20)->Arg(200)->Arg(2000)->Iterations(3);

} // namespace

BENCHMARK_MAIN();
