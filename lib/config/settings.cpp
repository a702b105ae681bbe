#include "fields.hpp"

#include <array>
#include <fstream>
#include <sstream>

namespace guavastair::config {

namespace {

constexpr limits no_range{};
/// Lengths of file names in bytes.
constexpr limits path_size{1, 4096};
constexpr limits optional_path_size{0, 4096};
constexpr presence optional = presence::optional;
constexpr presence required = presence::required;

constexpr std::array<field<common_settings>, 6> root_fields{{
    {"name", &common_settings::name, required, no_range, "",
     "this process's name, the same after a restart"},
    {"data_centre", &common_settings::data_centre, required, no_range, "",
     "the data centre that this process runs in"},
    {"peers",
     &common_settings::peers,
     optional,
     {0, 64},
     "",
     "control endpoints of other processes, contacted first at startup"},
    {"control_key_file", &common_settings::control_key_file, required,
     path_size, "", "file with the key that authenticates control messages"},
    {"admin_token_file", &common_settings::admin_token_file, optional,
     optional_path_size, "",
     "file with the bearer token of the admin endpoint; empty for no token"},
    {"watcher", &common_settings::watcher, optional, no_range, "",
     "whether this process may watch the store"},
}};

constexpr std::array<field<listen_settings>, 3> listen_fields{{
    {"data", &listen_settings::data, required, no_range, "",
     "UDP: packets from the packet fabric and from other guavastair processes"},
    {"control", &listen_settings::control, required, no_range, "",
     "UDP and TCP: membership and configuration"},
    {"admin", &listen_settings::admin, required, no_range, "",
     "HTTP: metrics, health and status"},
}};

constexpr std::array<field<store_settings>, 3> store_fields{{
    {"endpoints",
     &store_settings::endpoints,
     required,
     {1, 16},
     "",
     "endpoints of the configuration store; tried in turn"},
    {"timeout_ms",
     &store_settings::timeout,
     optional,
     {50, 60'000},
     "ms",
     "timeout of one call"},
    {"reread_ms",
     &store_settings::reread,
     optional,
     {500, 600'000},
     "ms",
     "longest interval at which a watcher rereads the store, in case its "
     "watch missed a change"},
}};

constexpr std::array<field<log_settings>, 3> log_fields{{
    {"level", &log_settings::level, optional, no_range, "",
     "lowest severity that is logged"},
    {"file", &log_settings::file, optional, optional_path_size, "",
     "log file; empty for standard error"},
    {"decisions", &log_settings::decisions, optional, no_range, "",
     "level of the decision log; info logs one line for each routing or "
     "placement decision"},
}};

constexpr std::array<field<agent_section>, 5> agent_fields{{
    {"service", &agent_section::service, required, no_range, "",
     "the service that the backend server belongs to"},
    {"server", &agent_section::server, required, no_range, "",
     "TCP: where the backend server listens"},
    {"slots",
     &agent_section::slots,
     optional,
     {0, 10'000},
     "requests",
     "overrides slots of the service document; 0 uses the document's value"},
    {"max_connections",
     &agent_section::max_connections,
     optional,
     {0, 1'000'000},
     "connections",
     "overrides max_connections of the service document; 0 uses the "
     "document's value"},
    {"return_path", &agent_section::return_path, required, no_range, "",
     "UDP: receives the response packets on the callers' side"},
}};

template <typename Record, std::size_t Size>
std::span<const field<Record>>
as_span(const std::array<field<Record>, Size>& t) {
    return t;
}

std::vector<absl::string_view> common_root_keys() {
    std::vector<absl::string_view> keys = keys_of(as_span(root_fields));
    keys.insert(keys.end(), {"listen", "store", "log"});
    return keys;
}

/// Reports listen endpoints that are equal although the servers of a process
/// cannot share them. The data endpoint may equal the admin endpoint, because
/// one is UDP and the other is TCP.
void reject_shared_endpoints(json_source& source,
                             const listen_settings& listen) {
    struct pair {
        absl::string_view key;
        absl::string_view other_key;
        support::endpoint listen_settings::*first;
        support::endpoint listen_settings::*second;
    };
    constexpr std::array<pair, 2> pairs{{
        {"listen.control", "listen.data", &listen_settings::control,
         &listen_settings::data},
        {"listen.admin", "listen.control", &listen_settings::admin,
         &listen_settings::control},
    }};
    for (const pair& candidate : pairs) {
        const support::endpoint endpoint = listen.*candidate.first;
        if (endpoint.port == 0 || endpoint != listen.*candidate.second) {
            continue;
        }
        source.report(std::string(candidate.key), to_string(endpoint),
                      absl::StrCat("a unique endpoint; ", candidate.other_key,
                                   " already uses this one"));
    }
}

void read_common(json_source& source, const json_object& root,
                 common_settings& out) {
    read_fields(source, root, as_span(root_fields), out);
    read_object(source, source.section(root, "listen"), as_span(listen_fields),
                out.listen);
    read_object(source, source.section(root, "store"), as_span(store_fields),
                out.store);
    read_object(source, source.section(root, "log"), as_span(log_fields),
                out.log);
    reject_shared_endpoints(source, out.listen);
}

std::vector<key_description> common_keys() {
    std::vector<key_description> rows;
    describe_fields("", as_span(root_fields), rows);
    describe_fields("listen.", as_span(listen_fields), rows);
    describe_fields("store.", as_span(store_fields), rows);
    describe_fields("log.", as_span(log_fields), rows);
    return rows;
}

/// Reads the file at `path` and parses its text with `parse`.
template <typename Settings, typename Parse>
checked<Settings> load(const std::string& path, Parse parse) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return {{}, {{path, "", "", "a file that can be read"}}};
    }
    return parse(path, text.str());
}

} // namespace

checked<balancer_settings> parse_balancer_settings(absl::string_view file,
                                                   absl::string_view text) {
    json_source source(file);
    const json_object root = source.parse(text);
    balancer_settings result;
    read_common(source, root, result);
    source.reject_unknown_keys(root, common_root_keys());
    return {std::move(result), source.take_problems()};
}

checked<agent_settings> parse_agent_settings(absl::string_view file,
                                             absl::string_view text) {
    json_source source(file);
    const json_object root = source.parse(text);
    agent_settings result;
    read_common(source, root, result);
    read_object(source, source.section(root, "agent"), as_span(agent_fields),
                result.agent);
    std::vector<absl::string_view> keys = common_root_keys();
    keys.emplace_back("agent");
    source.reject_unknown_keys(root, keys);
    return {std::move(result), source.take_problems()};
}

checked<balancer_settings> load_balancer_settings(const std::string& path) {
    return load<balancer_settings>(path, parse_balancer_settings);
}

checked<agent_settings> load_agent_settings(const std::string& path) {
    return load<agent_settings>(path, parse_agent_settings);
}

std::vector<key_description> balancer_settings_keys() {
    return common_keys();
}

std::vector<key_description> agent_settings_keys() {
    std::vector<key_description> rows = common_keys();
    describe_fields("agent.", as_span(agent_fields), rows);
    return rows;
}

} // namespace guavastair::config
