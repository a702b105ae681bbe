#include "commands.hpp"
#include "flags.hpp"

#include <guavastair/admin.hpp>

#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <iostream>
#include <map>

namespace guavastair::tool {

namespace {

using Poco::JSON::Object;
using support::error_kind;

/// The status that one process reported.
struct node_status {
    support::endpoint address;
    Object::Ptr object;
};

absl::StatusOr<std::vector<support::endpoint>>
parse_endpoints(const std::string& text) {
    std::vector<support::endpoint> result;
    for (const absl::string_view part : absl::StrSplit(text, ',')) {
        const auto parsed = support::parse_endpoint(part);
        if (!parsed.ok()) {
            return support::make_error(
                error_kind::invalid_input,
                absl::StrCat("--admin: ", parsed.status().message()));
        }
        result.push_back(*parsed);
    }
    return result;
}

absl::StatusOr<node_status> fetch_status(support::endpoint address) {
    const support::duration timeout =
        support::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    const auto answer = admin::fetch(address, "/status", timeout);
    if (!answer.ok()) {
        return answer.status();
    }
    try {
        Poco::JSON::Parser parser;
        const Poco::Dynamic::Var parsed = parser.parse(answer->body);
        return node_status{address, parsed.extract<Object::Ptr>()};
    } catch (const Poco::Exception& error) {
        return support::make_error(
            error_kind::peer_unreachable,
            absl::StrCat(support::to_string(address),
                         " returned an invalid status: ", error.displayText()));
    }
}

std::string string_field(const Object& object, const std::string& key) {
    return object.optValue<std::string>(key, "");
}

void print_processes(const std::vector<node_status>& nodes) {
    std::cout << absl::StreamFormat("%-24s %-9s %-16s %10s %8s %8s\n",
                                    "process", "role", "data centre",
                                    "revision", "flows", "refused");
    for (const node_status& each : nodes) {
        const Object& object = *each.object;
        std::cout << absl::StreamFormat(
            "%-24s %-9s %-16s %10s %8s %8s\n", string_field(object, "name"),
            string_field(object, "role"), string_field(object, "data_centre"),
            string_field(object, "revision"), string_field(object, "flows"),
            string_field(object, "refused"));
    }
}

/// Number of agents of one service in one data centre, by state, as one process
/// sees them.
struct agent_counts {
    std::map<std::string, int> by_state;
};

/// Key of a row of the agents table.
struct agent_group {
    std::string service;
    std::string data_centre;

    auto operator<=>(const agent_group&) const = default;
};

std::string state_of(const Object& member) {
    const std::string liveness = string_field(member, "liveness");
    return liveness == "alive" ? string_field(member, "state") : liveness;
}

std::string list_states(const agent_counts& counts) {
    std::string out;
    for (const auto& [state, count] : counts.by_state) {
        absl::StrAppend(&out, out.empty() ? "" : ", ", count, " ", state);
    }
    return out;
}

bool is_withdrawn(const Object& object, const std::string& data_centre) {
    const auto withdrawn = object.getArray("withdrawn");
    if (withdrawn.isNull()) {
        return false;
    }
    return std::any_of(withdrawn->begin(), withdrawn->end(),
                       [&data_centre](const Poco::Dynamic::Var& name) {
                           return name.toString() == data_centre;
                       });
}

/// Prints the agents in the membership of one process.
void print_agents(const Object& object) {
    std::map<agent_group, agent_counts> agent_groups;
    const auto members = object.getArray("members");
    for (unsigned i = 0; !members.isNull() && i < members->size(); ++i) {
        const Object::Ptr member = members->getObject(i);
        if (string_field(*member, "role") != "agent") {
            continue;
        }
        const agent_group group{string_field(*member, "service"),
                                string_field(*member, "data_centre")};
        ++agent_groups[group].by_state[state_of(*member)];
    }
    std::cout << absl::StreamFormat("\n%-24s %-24s %s\n", "service",
                                    "data centre", "agents");
    for (const auto& [group, counts] : agent_groups) {
        const std::string centre =
            is_withdrawn(object, group.data_centre)
                ? absl::StrCat(group.data_centre, " (withdrawn)")
                : group.data_centre;
        std::cout << absl::StreamFormat("%-24s %-24s %s\n", group.service,
                                        centre, list_states(counts));
    }
}

/// Prints how many processes run the newest revision that any of them reports.
void print_revision(const std::vector<node_status>& nodes) {
    std::int64_t newest = 0;
    for (const node_status& each : nodes) {
        newest =
            std::max(newest, each.object->optValue<Poco::Int64>("revision", 0));
    }
    const auto current =
        std::count_if(nodes.begin(), nodes.end(), [newest](const auto& each) {
            return each.object->template optValue<Poco::Int64>("revision", 0) ==
                   newest;
        });
    std::cout << absl::StreamFormat(
        "\nrevision %d is in force at %d of %d processes\n", newest, current,
        nodes.size());
}

void print_json(const std::vector<node_status>& nodes) {
    Poco::JSON::Array array;
    for (const node_status& each : nodes) {
        array.add(each.object);
    }
    array.stringify(std::cout);
    std::cout << "\n";
}

} // namespace

absl::Status run_status_command(std::span<const std::string> /*arguments*/) {
    const auto addresses = parse_endpoints(absl::GetFlag(FLAGS_admin));
    if (!addresses.ok()) {
        return addresses.status();
    }
    std::vector<node_status> nodes;
    absl::Status first_failure;
    for (const support::endpoint address : *addresses) {
        auto answer = fetch_status(address);
        if (answer.ok()) {
            nodes.push_back(*std::move(answer));
            continue;
        }
        std::cerr << "guavastair: " << answer.status().message() << "\n";
        first_failure.Update(answer.status());
    }
    if (nodes.empty()) {
        return first_failure;
    }
    if (absl::GetFlag(FLAGS_format) == "json") {
        print_json(nodes);
        return first_failure;
    }
    print_processes(nodes);
    print_agents(*nodes.front().object);
    print_revision(nodes);
    return first_failure;
}

} // namespace guavastair::tool
