#include "children.hpp"

#include <guavastair/logging.hpp>
#include <guavastair/node.hpp>

#include <absl/random/random.h>

#include <fstream>

namespace guavastair::node {

namespace {

/// Stop bound of the data path. Exceeds the longest drain limit that a service
/// document accepts, 24 hours.
constexpr support::duration max_drain_time = support::seconds(25L * 3600);

absl::Status set_up_logging(const config::common_settings& settings) {
    logging::options options;
    options.general = static_cast<logging::level>(settings.log.level);
    options.decisions = static_cast<logging::level>(settings.log.decisions);
    options.file = settings.log.file;
    options.node = settings.name;
    return logging::set_up(options);
}

/// Returns the first line of the token file, or an empty string if no file is
/// configured.
absl::StatusOr<std::string> load_token(const std::string& path) {
    std::string token;
    if (path.empty()) {
        return token;
    }
    std::ifstream file(path);
    if (!std::getline(file, token) || token.empty()) {
        return support::make_error(
            support::error_kind::invalid_input,
            "admin_token_file \"" + path +
                "\" is unreadable or its first line is empty");
    }
    return token;
}

void log_event(const supervisor::event& event) {
    logging::line entry(supervisor::to_string(event.kind));
    entry.add("child", event.child);
    if (!event.status.ok()) {
        entry.add("error", support::to_string(support::kind_of(event.status)));
        entry.add("message", std::string(event.status.message()));
    }
    if (event.backoff.ms > 0) {
        entry.add("backoff_ms", event.backoff.ms);
    }
    const auto severity =
        event.status.ok() ? logging::level::info : logging::level::error;
    logging::write(logging::channel::process, severity, entry);
}

/// Creates the child that is specific to a role.
using data_path_factory =
    std::function<std::unique_ptr<supervisor::child>(process&)>;

supervisor::child_factory
as_factory(std::function<std::unique_ptr<supervisor::child>()> make) {
    return [make = std::move(
                make)]() -> absl::StatusOr<std::unique_ptr<supervisor::child>> {
        return make();
    };
}

/// Secrets from the files that the settings refer to.
struct secrets {
    wire::shared_key control_key;
    std::string admin_token;
};

absl::StatusOr<secrets> load_secrets(const config::common_settings& settings) {
    secrets result;
    auto key = control::load_key(settings.control_key_file);
    if (!key.ok()) {
        return key.status();
    }
    result.control_key = *std::move(key);
    auto token = load_token(settings.admin_token_file);
    if (!token.ok()) {
        return token.status();
    }
    result.admin_token = *std::move(token);
    return result;
}

/// Sets up logging and loads the secrets; common to both roles.
absl::StatusOr<secrets> prepare(const config::common_settings& settings) {
    absl::Status log = set_up_logging(settings);
    if (!log.ok()) {
        return log;
    }
    return load_secrets(settings);
}

absl::Status run_tree(process& host_process, const secrets& loaded_secrets,
                      const data_path_factory& make_data_path,
                      const std::stop_token& stop) {
    add_control_metrics(host_process);
    supervisor::supervisor tree(host_process.clock(), log_event);
    tree.add({"control", as_factory([&] {
                  return make_control_child(host_process,
                                            loaded_secrets.control_key);
              })});
    tree.add({"admin", as_factory([&] {
                  return make_admin_child(host_process,
                                          loaded_secrets.admin_token);
              })});
    supervisor::child_options data_path{
        "data_path", as_factory([&] { return make_data_path(host_process); })};
    data_path.stop_bound = max_drain_time;
    tree.add(std::move(data_path));
    logging::line entry("process_started");
    entry.add("role", membership::to_string(host_process.self().role))
        .add("data_centre", host_process.self().data_centre)
        .add("id", host_process.self().id);
    logging::write(logging::channel::process, logging::level::info, entry);
    absl::Status tree_status = tree.run(stop);
    logging::line end_entry("process_ended");
    end_entry.add("status", tree_status.ToString());
    logging::write(logging::channel::process, logging::level::info, end_entry);
    return tree_status;
}

} // namespace

/// Assigns a random id that identifies this run of the process. The id is kept
/// when the control plane is restarted, because open flows are bound to it.
static membership::node_record with_random_id(membership::node_record record) {
    absl::BitGen random;
    record.id = {absl::Uniform<std::uint64_t>(absl::IntervalClosed, random, 1,
                                              UINT64_MAX)};
    return record;
}

absl::Status run_balancer(const config::balancer_settings& settings,
                          const std::stop_token& stop) {
    const auto loaded_secrets = prepare(settings);
    if (!loaded_secrets.ok()) {
        return loaded_secrets.status();
    }
    process host_process(settings,
                         with_random_id(control::make_record(settings)));
    balancer_metrics metrics_page(host_process.metrics());
    return run_tree(
        host_process, *loaded_secrets,
        [&metrics_page](process& p) {
            return make_balancer_child(p, metrics_page);
        },
        stop);
}

absl::Status run_agent(const config::agent_settings& settings,
                       const std::stop_token& stop) {
    const auto loaded_secrets = prepare(settings);
    if (!loaded_secrets.ok()) {
        return loaded_secrets.status();
    }
    process host_process(settings,
                         with_random_id(control::make_record(settings)));
    agent_metrics metrics_page(host_process.metrics());
    return run_tree(
        host_process, *loaded_secrets,
        [&](process& p) {
            return make_agent_child(p, settings.agent, metrics_page);
        },
        stop);
}

} // namespace guavastair::node
