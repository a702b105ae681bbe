#include "file.hpp"
#include "output.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace guavastair::commands {

namespace {

using problems = std::vector<config::problem>;

/// Name and check function of one kind of file.
struct checker {
    absl::string_view name;
    problems (*check)(const std::string& path, const std::string& text);
};

template <typename Value,
          config::checked<Value> (*Parse)(absl::string_view, absl::string_view)>
problems check_by(const std::string& path, const std::string& text) {
    return Parse(path, text).problems;
}

constexpr std::array<checker, 4> checkers{{
    {"balancer",
     check_by<config::balancer_settings, config::parse_balancer_settings>},
    {"agent", check_by<config::agent_settings, config::parse_agent_settings>},
    {"service",
     check_by<config::service_document, config::parse_service_document>},
    {"data-centre", check_by<config::data_centre_document,
                             config::parse_data_centre_document>},
}};

/// Reports services that have the same address as a service in an earlier file.
void check_duplicate_addresses(const std::vector<std::string>& paths,
                               const std::vector<std::string>& texts,
                               problems& all_problems) {
    std::vector<config::service_document> previous_documents;
    for (std::size_t i = 0; i < texts.size(); ++i) {
        const auto parsed = config::parse_service_document(paths[i], texts[i]);
        if (!parsed.ok()) {
            continue;
        }
        const auto conflicts =
            config::check_addresses(paths[i], parsed.value, previous_documents);
        all_problems.insert(all_problems.end(), conflicts.begin(),
                            conflicts.end());
        previous_documents.push_back(parsed.value);
    }
}

} // namespace

absl::StatusOr<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return config::to_status(
            std::array{config::problem{path, "", "",
                                       "a file that can be "
                                       "read"}});
    }
    return text.str();
}

absl::string_view to_string(file_kind value) {
    return checkers[static_cast<std::size_t>(value)].name;
}

absl::StatusOr<file_kind> parse_file_kind(absl::string_view text) {
    for (std::size_t i = 0; i < checkers.size(); ++i) {
        if (checkers[i].name == text) {
            return static_cast<file_kind>(i);
        }
    }
    const auto append = [](std::string* to, const checker& row) {
        absl::StrAppend(to, row.name);
    };
    return support::make_error(
        support::error_kind::invalid_input,
        absl::StrCat("kind \"", text, "\": allowed is ",
                     absl::StrJoin(checkers, ", ", append)));
}

absl::Status run(const check& command, output out) {
    const checker& row = checkers[static_cast<std::size_t>(command.kind)];
    problems all_problems;
    std::vector<std::string> texts;
    for (const std::string& path : command.paths) {
        const auto text = read_file(path);
        texts.push_back(text.value_or(""));
        const problems file_problems =
            text.ok() ? row.check(path, *text)
                      : problems{{path, "", "", "a file that can be read"}};
        all_problems.insert(all_problems.end(), file_problems.begin(),
                            file_problems.end());
    }
    if (command.kind == file_kind::service) {
        check_duplicate_addresses(command.paths, texts, all_problems);
    }
    if (!all_problems.empty()) {
        return config::to_status(all_problems);
    }
    table result{{"file", "result"}, {}};
    for (const std::string& path : command.paths) {
        result.rows.push_back({text_cell(path), text_cell("ok")});
    }
    write_table(result, out);
    return absl::OkStatus();
}

} // namespace guavastair::commands
