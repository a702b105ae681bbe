#include "metrics_page.hpp"
#include "process.hpp"

namespace guavastair::node {

static void add_count(metrics::registry& registry, const char* name,
                      const char* help, const shared_count& count) {
    registry.add_counter({name, help, {}}, [&count] { return count.load(); });
}

static void add_level(metrics::registry& registry, const char* name,
                      const char* help, const shared_count& count) {
    registry.add_gauge({name, help, {}},
                       [&count] { return static_cast<double>(count.load()); });
}

drop_metrics::drop_metrics(metrics::registry& registry) {
    for (std::size_t i = 0; i < this->counts.size(); ++i) {
        const auto reason = static_cast<flow::drop_reason>(i);
        if (reason == flow::drop_reason::none) {
            continue;
        }
        const shared_count& count = this->counts[i];
        registry.add_counter(
            {"guavastair_packets_dropped_total",
             "Packets and frames that went no further.",
             {{"reason", std::string(flow::to_string(reason))}}},
            [&count] { return count.load(); });
    }
}

void drop_metrics::set(
    const std::array<std::uint64_t, flow::drop_reason_count>& dropped) {
    for (std::size_t i = 0; i < dropped.size(); ++i) {
        this->counts[i] = dropped[i];
    }
}

balancer_metrics::balancer_metrics(metrics::registry& registry)
    : drops(registry) {
    add_count(registry, "guavastair_packets_received_total",
              "Packets from the fabric.", this->received);
    add_count(registry, "guavastair_packets_forwarded_total",
              "Packets sent to an agent.", this->forwarded);
    add_count(registry, "guavastair_opening_packets_total",
              "Opening packets among the forwarded.", this->opening);
}

void balancer_metrics::set(const balancer::balancer_counters& counters) {
    this->received = counters.received;
    this->forwarded = counters.forwarded;
    this->opening = counters.opening;
    this->drops.set(counters.dropped);
}

agent_metrics::agent_metrics(metrics::registry& registry) : drops(registry) {
    add_count(registry, "guavastair_frames_received_total",
              "Frames from balancers and agents.", this->frames);
    add_count(registry, "guavastair_packets_passed_on_total",
              "Packets passed on to another agent.", this->passed_on);
    add_count(registry, "guavastair_resets_sent_total",
              "Resets sent because nobody owned the flow or none could take "
              "it.",
              this->resets);
    add_count(registry, "guavastair_flows_opened_total", "Flows opened here.",
              this->opened);
    add_count(registry, "guavastair_flows_finished_total",
              "Flows ended by caller and server.", this->finished);
    add_count(registry, "guavastair_flows_lost_total",
              "Flows whose caller reset or vanished.", this->lost);
    add_count(registry, "guavastair_flows_cut_total",
              "Flows reset at the end of a planned stop.", this->cut);
    add_count(registry, "guavastair_server_failures_total",
              "Flows reset because the backend server failed.",
              this->server_failures);
    add_level(registry, "guavastair_flows", "Open flows.", this->flows);
    add_level(registry, "guavastair_request_limit",
              "Requests that the backend server may run now.", this->limit);
    add_level(registry, "guavastair_requests_running",
              "Requests in progress at the backend server.", this->running);
    add_level(registry, "guavastair_server_cold",
              "1 while the backend server counts as cold.", this->cold);
}

void agent_metrics::set(const agent::agent_counters& counters,
                        const admission::controller_status& admission,
                        std::size_t active_flows) {
    this->frames = counters.frames;
    this->passed_on = counters.passed_on;
    this->resets = counters.resets;
    this->opened = counters.flows_opened;
    this->finished = counters.flows_finished;
    this->lost = counters.flows_lost;
    this->cut = counters.flows_cut;
    this->server_failures = counters.server_failures;
    this->flows = active_flows;
    this->limit = static_cast<std::uint64_t>(admission.limit);
    this->running = static_cast<std::uint64_t>(admission.running);
    this->cold = admission.cold ? 1 : 0;
    this->drops.set(counters.dropped);
}

static void add_traffic(process& host_process, membership::message_kind kind) {
    const auto index = static_cast<std::size_t>(kind);
    const std::string name(membership::to_string(kind));
    host_process.metrics().add_counter(
        {"guavastair_control_sent_bytes_total",
         "Bytes of control messages sent.",
         {{"kind", name}}},
        [&host_process, index] {
            return host_process.control_counters().sent[index].bytes;
        });
    host_process.metrics().add_counter(
        {"guavastair_control_received_bytes_total",
         "Bytes of control messages received.",
         {{"kind", name}}},
        [&host_process, index] {
            return host_process.control_counters().received[index].bytes;
        });
}

/// One counter of the control plane.
struct control_count {
    const char* name;
    const char* help;
    std::uint64_t control::counters::*member;
};

void add_control_metrics(process& host_process) {
    for (std::size_t i = 0; i < membership::message_kind_count; ++i) {
        add_traffic(host_process, static_cast<membership::message_kind>(i));
    }
    static constexpr std::array<control_count, 4> counts{{
        {"guavastair_control_malformed_total",
         "Control messages that could not be read.",
         &control::counters::malformed},
        {"guavastair_control_forged_total",
         "Control messages that failed authentication.",
         &control::counters::forged},
        {"guavastair_control_replayed_total",
         "Control messages that came again.", &control::counters::replayed},
        {"guavastair_configuration_failed_pulls_total",
         "Pulls of documents from a peer that failed.",
         &control::counters::failed_pulls},
    }};
    for (const control_count& each : counts) {
        host_process.metrics().add_counter(
            {each.name, each.help, {}}, [&host_process, member = each.member] {
                return host_process.control_counters().*member;
            });
    }
    for (std::size_t i = 0; i < store::call_kind_count; ++i) {
        const auto kind = static_cast<store::call_kind>(i);
        host_process.metrics().add_counter(
            {"guavastair_store_calls_total",
             "Calls to the store.",
             {{"kind", std::string(store::to_string(kind))}}},
            [&host_process, kind] {
                return host_process.store().counters().of(kind);
            });
    }
}

} // namespace guavastair::node
