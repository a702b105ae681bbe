#include "children.hpp"
#include "metrics_page.hpp"

#include <guavastair/admin.hpp>
#include <guavastair/logging.hpp>

#include <condition_variable>
#include <mutex>
#include <utility>

namespace guavastair::node {

namespace {

/// Blocks until `stop` is requested.
void wait_until_stopped(const std::stop_token& stop) {
    std::mutex mutex;
    std::unique_lock lock(mutex);
    std::condition_variable_any condition;
    condition.wait(lock, stop, [] { return false; });
}

class control_child final : public supervisor::child {
public:
    control_child(process& host, wire::shared_key secret)
        : host_process(host), key(std::move(secret)) {}

    absl::Status run(std::stop_token stop) override {
        control::options options = control::make_options(
            this->host_process.settings(), this->host_process.self());
        options.key = this->key;
        options.store = &this->host_process.store();
        control::control_plane plane(std::move(options),
                                     this->host_process.clock());
        plane.on_change([this](const process::snapshot_ptr& snapshot) {
            this->host_process.publish(snapshot);
        });
        plane.on_action([](const membership::action& member_action) {
            logging::write(logging::channel::control, logging::level::info,
                           to_line(member_action));
        });
        absl::Status started = plane.start();
        if (!started.ok()) {
            return started;
        }
        this->host_process.attach_control_plane(&plane);
        wait_until_stopped(stop);
        this->host_process.attach_control_plane(nullptr);
        plane.stop();
        return absl::OkStatus();
    }

private:
    /// The text from control::to_log_line() starts with the event name.
    static logging::line to_line(const membership::action& member_action) {
        return logging::line::from_pairs(control::to_log_line(member_action));
    }

    process& host_process;
    wire::shared_key key;
};

class admin_child final : public supervisor::child {
public:
    admin_child(process& host, std::string token)
        : host_process(host), bearer_token(std::move(token)) {}

    absl::Status run(std::stop_token stop) override {
        admin::options options;
        options.listen = this->host_process.settings().listen.admin;
        options.bearer_token = this->bearer_token;
        admin::server server(options);
        this->add_routes(server);
        absl::Status started = server.start();
        if (!started.ok()) {
            return started;
        }
        wait_until_stopped(stop);
        server.stop();
        return absl::OkStatus();
    }

private:
    using handler_result = absl::StatusOr<admin::response>;

    void add_routes(admin::server& server) {
        server.add({admin::method::get, "/health/live",
                    [](const admin::request&) -> handler_result {
                        return admin::response{200, "text/plain", "live\n"};
                    }});
        server.add({admin::method::get, "/health/ready",
                    [this](const admin::request&) -> handler_result {
                        return this->readiness();
                    }});
        server.add({admin::method::get, "/metrics",
                    [this](const admin::request&) -> handler_result {
                        return admin::response{
                            200, "text/plain; version=0.0.4",
                            this->host_process.metrics().text()};
                    }});
        server.add({admin::method::get, "/status",
                    [this](const admin::request&) -> handler_result {
                        return this->status();
                    }});
    }

    handler_result readiness() const {
        if (this->host_process.ready()) {
            return admin::response{200, "text/plain", "ready\n"};
        }
        return admin::response{503, "text/plain", "not ready\n"};
    }

    handler_result status() const {
        const process::snapshot_ptr latest =
            this->host_process.latest_snapshot();
        if (latest == nullptr) {
            return support::make_error(support::error_kind::peer_unreachable,
                                       "nothing is known yet");
        }
        return admin::response{
            200, "application/json",
            status_json(*latest, this->host_process.data_path())};
    }

    process& host_process;
    std::string bearer_token;
};

} // namespace

std::unique_ptr<supervisor::child> make_control_child(process& host_process,
                                                      wire::shared_key key) {
    return std::make_unique<control_child>(host_process, std::move(key));
}

std::unique_ptr<supervisor::child> make_admin_child(process& host_process,
                                                    std::string bearer_token) {
    return std::make_unique<admin_child>(host_process, std::move(bearer_token));
}

} // namespace guavastair::node
