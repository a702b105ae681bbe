#include <guavastair/control.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <fstream>
#include <utility>

namespace guavastair::control {

static membership::node_record
common_record(const config::common_settings& settings) {
    membership::node_record record;
    record.name = settings.name;
    record.data_centre = settings.data_centre;
    record.control = settings.listen.control;
    record.data = settings.listen.data;
    record.may_watch_store = settings.watcher;
    return record;
}

absl::StatusOr<wire::shared_key> load_key(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return support::make_error(
            support::error_kind::invalid_input,
            absl::StrCat("cannot read key file \"", path, "\""));
    }
    std::string line;
    std::getline(file, line);
    const absl::string_view key = absl::StripAsciiWhitespace(line);
    if (key.size() < wire::min_key_size) {
        return support::make_error(
            support::error_kind::invalid_input,
            absl::StrCat("key file \"", path, "\": the first line has ",
                         key.size(), " characters, a minimum of ",
                         wire::min_key_size, " is required"));
    }
    return wire::shared_key{std::string(key)};
}

membership::node_record make_record(const config::balancer_settings& settings) {
    membership::node_record record = common_record(settings);
    record.role = membership::role::balancer;
    return record;
}

membership::node_record make_record(const config::agent_settings& settings) {
    membership::node_record record = common_record(settings);
    record.role = membership::role::agent;
    record.service = settings.agent.service;
    record.weight = settings.agent.slots;
    return record;
}

options make_options(const config::common_settings& settings,
                     membership::node_record self) {
    options result;
    result.self = std::move(self);
    result.group.seeds = settings.peers;
    result.watcher.reread = settings.store.reread;
    return result;
}

} // namespace guavastair::control
