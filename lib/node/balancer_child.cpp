#include "children.hpp"
#include "decision_log.hpp"
#include "metrics_page.hpp"

#include <guavastair/balancer.hpp>
#include <guavastair/logging.hpp>
#include <guavastair/net.hpp>

namespace guavastair::node {

namespace {

/// How long a stopping balancer continues to forward packets, because the
/// packet fabric still sends some after the balancer has left.
constexpr support::duration leave_grace_period = support::seconds(1);

/// Interval at which counters are copied to the metrics.
constexpr support::duration counters_period = support::milliseconds(500);

class balancer_child final : public supervisor::child {
public:
    balancer_child(process& host, balancer_metrics& metrics_page)
        : host_process(host), exported_counters(metrics_page) {}

    absl::Status run(std::stop_token stop) override {
        net::event_loop loop(this->host_process.clock());
        balancer::balancer_options options;
        options.listen = this->host_process.settings().listen.data;
        balancer_log log;
        const auto opened = balancer::balancer::open(loop, options, log);
        if (!opened.ok()) {
            return opened.status();
        }
        balancer::balancer& forwarder = **opened;
        this->host_process.set_snapshot_listener(
            [&](const process::snapshot_ptr& latest) {
                // The view is built on the control plane's thread, so that
                // building a large one does not delay packets.
                forwarder.set_view(this->builder.update(*latest));
                loop.post([this, latest] { this->announce(*latest); });
            });
        loop.call_every(counters_period, [&] {
            this->exported_counters.set(forwarder.counters());
        });
        const std::stop_callback on_stop(stop, [&] {
            this->host_process.announce(membership::member_state::left);
            loop.post([&] {
                loop.call_after(leave_grace_period, [&loop] { loop.stop(); });
            });
        });
        loop.run();
        this->host_process.set_snapshot_listener({});
        return absl::OkStatus();
    }

private:
    void announce(const control::snapshot& latest) {
        this->host_process.announce_applied(latest.complete_up_to);
        const bool serves = latest.complete_up_to.value > 0;
        if (serves && !this->has_announced_ready) {
            this->has_announced_ready = true;
            this->host_process.announce(membership::member_state::ready);
        }
    }

    process& host_process;
    balancer_metrics& exported_counters;
    view_builder builder;
    bool has_announced_ready = false;
};

} // namespace

std::unique_ptr<supervisor::child>
make_balancer_child(process& host_process, balancer_metrics& metrics_page) {
    return std::make_unique<balancer_child>(host_process, metrics_page);
}

} // namespace guavastair::node
