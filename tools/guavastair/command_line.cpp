#include "command_line.hpp"

#include <absl/flags/reflection.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace guavastair::tool {

using support::error_kind;

static constexpr std::size_t help_name_width = 24;

static absl::Status bad_input(absl::string_view message) {
    return support::make_error(error_kind::invalid_input, message);
}

static std::string suggestion(absl::string_view text,
                              std::span<const absl::string_view> known_names,
                              absl::string_view prefix = "") {
    const auto nearest = support::nearest_name(text, known_names);
    if (!nearest.has_value()) {
        return "";
    }
    return absl::StrCat("; did you mean ", prefix, *nearest, "?");
}

static bool is_flag(absl::string_view token) {
    return absl::StartsWith(token, "-") && token.size() > 1;
}

/// A flag on the command line: --name=value, --name value or --name.
struct parsed_flag {
    absl::string_view name;
    absl::string_view value;
    bool has_value = false;
};

static parsed_flag split_flag(absl::string_view token) {
    while (absl::StartsWith(token, "-")) {
        token.remove_prefix(1);
    }
    const std::size_t equals = token.find('=');
    if (equals == absl::string_view::npos) {
        return {token, "", false};
    }
    return {token.substr(0, equals), token.substr(equals + 1), true};
}

static const command* find_command(std::span<const command> commands,
                                   absl::string_view name) {
    const auto found =
        std::find_if(commands.begin(), commands.end(),
                     [name](const command& c) { return c.name == name; });
    return found == commands.end() ? nullptr : &*found;
}

/// Finds the command named by the first one or two tokens and removes them.
static absl::StatusOr<const command*>
match_command(std::span<const command> commands,
              std::vector<std::string>& tokens) {
    const std::string one_word_name = tokens[0];
    if (tokens.size() > 1) {
        const std::string two_word_name =
            absl::StrCat(one_word_name, " ", tokens[1]);
        if (const command* found = find_command(commands, two_word_name)) {
            tokens.erase(tokens.begin(), tokens.begin() + 2);
            return found;
        }
    }
    if (const command* found = find_command(commands, one_word_name)) {
        tokens.erase(tokens.begin());
        return found;
    }
    std::vector<absl::string_view> known_names;
    for (const command& each : commands) {
        known_names.push_back(each.name);
    }
    const std::string given_name = absl::StrJoin(
        tokens.begin(),
        tokens.begin() + std::min<std::ptrdiff_t>(2, std::ssize(tokens)), " ");
    return bad_input(absl::StrCat("\"", given_name, "\" is not a command",
                                  suggestion(given_name, known_names),
                                  " (guavastair --help lists them)"));
}

static absl::Status set_flag(const command& selected, const parsed_flag& flag) {
    const auto& allowed = selected.flags;
    if (std::find(allowed.begin(), allowed.end(), flag.name) == allowed.end()) {
        return bad_input(absl::StrCat("--", flag.name, " is not a flag of \"",
                                      selected.name, "\"",
                                      suggestion(flag.name, allowed, "--")));
    }
    absl::CommandLineFlag* registered = absl::FindCommandLineFlag(flag.name);
    if (registered == nullptr) {
        return support::make_error(
            error_kind::internal,
            absl::StrCat("--", flag.name, " is not registered"));
    }
    if (!flag.has_value) {
        return bad_input(absl::StrCat("--", flag.name,
                                      " needs a value: ", registered->Help()));
    }
    std::string parse_error;
    if (registered->ParseFrom(flag.value, &parse_error)) {
        return absl::OkStatus();
    }
    return bad_input(absl::StrCat("--", flag.name, "=\"", flag.value,
                                  "\" is not valid: ", registered->Help()));
}

/// Splits `tokens` into positional arguments and flags. A flag without '='
/// uses the next token as its value, unless that token is a flag or the flag
/// is --help.
static void split_tokens(std::span<const char* const> tokens,
                         std::vector<std::string>& positional,
                         std::vector<parsed_flag>& flags) {
    for (std::size_t i = 0; i < tokens.size(); ++i) {
        const absl::string_view token = tokens[i];
        if (!is_flag(token)) {
            positional.emplace_back(token);
            continue;
        }
        parsed_flag flag = split_flag(token);
        const bool next_is_value =
            i + 1 < tokens.size() && !is_flag(tokens[i + 1]);
        if (!flag.has_value && flag.name != "help" && next_is_value) {
            flag.value = tokens[i + 1];
            flag.has_value = true;
            ++i;
        }
        flags.push_back(flag);
    }
}

static absl::Status check_argument_count(const command& selected,
                                         std::size_t count) {
    if (count >= selected.min_arguments && count <= selected.max_arguments) {
        return absl::OkStatus();
    }
    return bad_input(absl::StrCat("usage: guavastair ", selected.name, " ",
                                  selected.arguments, ": ", count,
                                  " arguments given"));
}

absl::StatusOr<invocation>
read_command_line(std::span<const command> commands,
                  std::span<const char* const> tokens) {
    invocation result;
    std::vector<parsed_flag> flags;
    split_tokens(tokens, result.arguments, flags);
    result.wants_help =
        std::any_of(flags.begin(), flags.end(),
                    [](const parsed_flag& f) { return f.name == "help"; });
    if (result.arguments.empty()) {
        if (result.wants_help) {
            return result;
        }
        return bad_input("no command given (guavastair --help lists them)");
    }
    const auto selected = match_command(commands, result.arguments);
    if (!selected.ok()) {
        return selected.status();
    }
    result.selected = *selected;
    if (result.wants_help) {
        return result;
    }
    for (const parsed_flag& flag : flags) {
        const absl::Status set = set_flag(*result.selected, flag);
        if (!set.ok()) {
            return set;
        }
    }
    const absl::Status count =
        check_argument_count(*result.selected, result.arguments.size());
    if (!count.ok()) {
        return count;
    }
    return result;
}

static std::string padded(absl::string_view text) {
    std::string out(text);
    out.resize(std::max(help_name_width, out.size() + 1), ' ');
    return out;
}

std::string help_text(std::span<const command> commands,
                      const command* selected) {
    std::string out;
    if (selected == nullptr) {
        out = "usage: guavastair COMMAND [arguments] [--flag=value]\n\n";
        for (const command& each : commands) {
            absl::StrAppend(&out, "  ", padded(each.name), each.summary, "\n");
        }
        out += "\nguavastair COMMAND --help shows a command's flags.\n"
               "Exit codes: 0 done, 2 bad input, 3 not found, 4 revision "
               "conflict,\n5 store or peer unreachable, 6 outcome unknown, "
               "10 address in use,\n20 forced stop, 1 anything else.\n";
        return out;
    }
    absl::StrAppend(&out, "usage: guavastair ", selected->name, " ",
                    selected->arguments, "\n\n", selected->summary, "\n");
    for (const absl::string_view name : selected->flags) {
        const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
        if (flag == nullptr) {
            continue;
        }
        absl::StrAppend(&out, "  --", padded(name), flag->Help(),
                        " (default: \"", flag->DefaultValue(), "\")\n");
    }
    return out;
}

} // namespace guavastair::tool
