#include "output.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <Poco/JSONString.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <ostream>

namespace guavastair::commands {

namespace {

constexpr std::array<absl::string_view, 2> format_names{"text", "json"};

std::string to_json(const std::vector<std::string>& columns,
                    const std::vector<cell>& row) {
    assert(columns.size() == row.size() &&
           "a row must have one cell per column");
    std::vector<std::string> members;
    for (std::size_t i = 0; i < row.size(); ++i) {
        const std::string& text = row[i].text;
        members.push_back(
            absl::StrCat(Poco::toJSON(columns[i]), ":",
                         row[i].is_raw_json ? text : Poco::toJSON(text)));
    }
    return absl::StrCat("{", absl::StrJoin(members, ","), "}");
}

std::vector<std::size_t> widths_of(const table& rows) {
    std::vector<std::size_t> widths;
    for (const std::string& column : rows.columns) {
        widths.push_back(column.size());
    }
    for (const std::vector<cell>& row : rows.rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].text.size());
        }
    }
    return widths;
}

void write_padded(absl::string_view text, std::size_t width,
                  std::ostream& out) {
    constexpr std::size_t gap = 2;
    out << text << std::string(width - text.size() + gap, ' ');
}

void write_aligned(const table& rows, std::ostream& out) {
    const std::vector<std::size_t> widths = widths_of(rows);
    for (std::size_t i = 0; i < widths.size(); ++i) {
        write_padded(rows.columns[i], widths[i], out);
    }
    out << "\n";
    for (const std::vector<cell>& row : rows.rows) {
        for (std::size_t i = 0; i < widths.size(); ++i) {
            write_padded(row[i].text, widths[i], out);
        }
        out << "\n";
    }
}

} // namespace

absl::string_view to_string(output_format value) {
    return format_names[static_cast<std::size_t>(value)];
}

absl::StatusOr<output_format> parse_output_format(absl::string_view text) {
    const auto found =
        std::find(format_names.begin(), format_names.end(), text);
    if (found == format_names.end()) {
        return support::make_error(
            support::error_kind::invalid_input,
            absl::StrCat("format \"", text, "\": allowed is text or json"));
    }
    return static_cast<output_format>(found - format_names.begin());
}

cell text_cell(absl::string_view text) {
    return {std::string(text), false};
}

cell number_cell(std::int64_t number) {
    return {absl::StrCat(number), true};
}

cell flag_cell(bool flag) {
    return {flag ? "true" : "false", true};
}

void write_table(const table& rows, output out) {
    if (out.format == output_format::text) {
        write_aligned(rows, out.stream);
        return;
    }
    std::vector<std::string> objects;
    for (const std::vector<cell>& row : rows.rows) {
        objects.push_back(to_json(rows.columns, row));
    }
    out.stream << "[" << absl::StrJoin(objects, ",") << "]\n";
}

void write_record(const std::vector<std::string>& columns,
                  const std::vector<cell>& row, output out) {
    if (out.format == output_format::json) {
        out.stream << to_json(columns, row) << "\n";
        return;
    }
    for (std::size_t i = 0; i < columns.size(); ++i) {
        out.stream << columns[i] << ": " << row[i].text << "\n";
    }
}

void write_failure(const absl::Status& failure, output out) {
    const support::error_properties& answer =
        support::properties_of(support::kind_of(failure));
    const std::string message(failure.message());
    if (out.format == output_format::text) {
        out.stream << "error: " << answer.name << " ("
                   << support::to_string(answer.result) << ")\n"
                   << message << "\n";
        return;
    }
    write_record({"error", "outcome", "message"},
                 {text_cell(answer.name),
                  text_cell(support::to_string(answer.result)),
                  text_cell(message)},
                 out);
}

int exit_code(const absl::Status& status) {
    if (status.ok()) {
        return 0;
    }
    return support::properties_of(support::kind_of(status)).exit_code;
}

} // namespace guavastair::commands
