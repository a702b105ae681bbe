/// Cost of the documents to a process: memory, time to apply a change, size of
/// a change set, and the number of calls of a watcher to the store.

#include "heap.hpp"

#include <guavastair/config.hpp>
#include <guavastair/store.hpp>

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>
#include <Poco/DeflatingStream.h>
#include <store_server.hpp>

#include <chrono>
#include <sstream>
#include <thread>

using namespace guavastair;

namespace {

config::change make_change(std::int64_t number, std::int64_t change_revision,
                           std::uint32_t slots) {
    config::service_document document;
    document.name.value = absl::StrCat("service-", number);
    document.address = {{0x0a140000 + static_cast<std::uint32_t>(number)},
                        8080};
    document.protocol = config::service_protocol::http;
    document.slots = slots;
    document.max_connections = 2000;
    return {{config::document_kind::service, document.name.value},
            {change_revision},
            false,
            to_json(document)};
}

config::change_set make_full_set(std::int64_t services) {
    config::change_set result{{0}, {services}, false, {}};
    for (std::int64_t i = 0; i < services; ++i) {
        result.entries.push_back(make_change(i, i + 1, 5));
    }
    return result;
}

/// Size of the entries in bytes, before encoding.
std::int64_t text_size(const config::change_set& changes) {
    std::int64_t size = 0;
    for (const config::change& item : changes.entries) {
        size += static_cast<std::int64_t>(
            item.key.name.size() + item.text.size() + sizeof(item.revision));
    }
    return size;
}

std::int64_t deflated_size(const config::change_set& changes) {
    std::ostringstream out;
    Poco::DeflatingOutputStream deflater(out);
    for (const config::change& item : changes.entries) {
        deflater << item.key.name << item.text;
    }
    deflater.close();
    return static_cast<std::int64_t>(out.str().size());
}

/// Applies a full set, as a process does when it starts.
void apply_full_set(benchmark::State& state) {
    const auto full_set = make_full_set(state.range(0));
    std::int64_t heap_growth = 0;
    for (auto _ : state) {
        const std::int64_t before = bytes_on_heap();
        config::document_set set;
        set.apply(full_set);
        heap_growth = bytes_on_heap() - before;
        benchmark::DoNotOptimize(set.size());
    }
    const auto services = static_cast<double>(state.range(0));
    state.counters["held_bytes"] = static_cast<double>(heap_growth);
    state.counters["held_bytes_per_document"] =
        static_cast<double>(heap_growth) / services;
    state.counters["set_bytes"] = static_cast<double>(text_size(full_set));
    state.counters["set_deflated_bytes"] =
        static_cast<double>(deflated_size(full_set));
}

/// Applies a change to one document and builds the change set for a peer that
/// lacks it.
void apply_one_change(benchmark::State& state) {
    const std::int64_t services = state.range(0);
    config::document_set set;
    set.apply(make_full_set(services));
    std::int64_t change_revision = services;
    std::int64_t bytes = 0;
    for (auto _ : state) {
        const config::change_set changes{
            {change_revision},
            {change_revision + 1},
            false,
            {make_change(change_revision % services, change_revision + 1,
                         1 + change_revision % 100)}};
        set.apply(changes);
        bytes = text_size(set.changes_since({change_revision}));
        ++change_revision;
    }
    state.counters["set_bytes"] = static_cast<double>(bytes);
}

void list_services(benchmark::State& state) {
    config::document_set set;
    set.apply(make_full_set(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(set.services());
    }
}

/// Runs a watcher with its default timing in real time. Argument: number of
/// changes.
void watch_store(benchmark::State& state) {
    constexpr std::int64_t seconds = 30;
    constexpr double seconds_per_hour = 3600;
    const std::int64_t changes = state.range(0);
    standin::store_server server("127.0.0.1", 0);
    config::store_settings settings;
    settings.endpoints.push_back({{0x7f000001}, server.port()});
    const auto client = store::make_etcd_client(settings);
    const support::steady_clock clock;
    std::atomic<int> delivered{0};
    for (auto _ : state) {
        const store::watcher watcher(
            *client, clock, {}, {},
            [&delivered](const config::change_set&) { ++delivered; });
        for (std::int64_t i = 0; i < seconds; ++i) {
            if (i < changes) {
                const auto item = make_change(i, 0, 5);
                server.put(
                    to_store_key(item.key),
                    to_json(store::stored_document{false, item.text, {}}));
            }
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }
    }
    const auto calls = static_cast<double>(client->counters().total());
    state.counters["calls"] = calls;
    state.counters["watches"] =
        static_cast<double>(client->counters().of(store::call_kind::watch));
    state.counters["calls_per_hour"] = calls * seconds_per_hour / seconds;
    state.counters["delivered"] = delivered.load();
}

} // namespace

BENCHMARK(apply_full_set)->Arg(100)->Arg(600)->Arg(1800);
BENCHMARK(apply_one_change)->Arg(100)->Arg(600)->Arg(1800);
BENCHMARK(list_services)->Arg(100)->Arg(600)->Arg(1800);
BENCHMARK(watch_store)
    ->Arg(0)
    ->Arg(25)
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

BENCHMARK_MAIN();
