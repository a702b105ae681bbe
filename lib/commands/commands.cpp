#include "file.hpp"
#include "output.hpp"

#include <absl/strings/str_cat.h>

#include <ostream>

namespace guavastair::commands {

using config::document_kind;

namespace {

/// Writes the result of an accepted edit.
void write_edit_result(const std::string& key, const store::accepted_edit& edit,
                       output out) {
    const absl::string_view state = edit.unchanged    ? "unchanged"
                                    : edit.superseded ? "superseded"
                                                      : "accepted";
    write_record(
        {"document", "result", "revision"},
        {text_cell(key), text_cell(state), number_cell(edit.revision.value)},
        out);
}

absl::Status report_edit(const config::document_key& key,
                         const absl::StatusOr<store::accepted_edit>& edit,
                         output out) {
    if (!edit.ok()) {
        return edit.status();
    }
    write_edit_result(config::to_store_key(key), *edit, out);
    return absl::OkStatus();
}

std::vector<cell> service_row(const config::change& item) {
    const auto document =
        config::parse_service_document(item.key.name, item.text).value;
    return {text_cell(item.key.name),
            text_cell(to_string(document.address)),
            text_cell(to_string(document.protocol)),
            number_cell(document.slots),
            number_cell(document.max_connections),
            number_cell(item.revision.value)};
}

std::vector<cell> data_centre_row(const config::change& item) {
    const auto document =
        config::parse_data_centre_document(item.key.name, item.text).value;
    return {text_cell(item.key.name), flag_cell(document.withdrawn),
            number_cell(item.revision.value)};
}

/// Writes a table with one row per document of a kind.
absl::Status list(document_kind kind, std::vector<std::string> columns,
                  std::vector<cell> (*make_row)(const config::change&),
                  store::editor& editor, output out) {
    const auto documents = editor.list(kind);
    if (!documents.ok()) {
        return documents.status();
    }
    table result{std::move(columns), {}};
    for (const config::change& item : *documents) {
        result.rows.push_back(make_row(item));
    }
    write_table(result, out);
    return absl::OkStatus();
}

} // namespace

absl::Status run(const service_put& command, store::editor& editor,
                 output out) {
    const auto text = read_file(command.path);
    if (!text.ok()) {
        return text.status();
    }
    const auto parsed = config::parse_service_document(command.path, *text);
    if (!parsed.ok()) {
        return config::to_status(parsed.problems);
    }
    return report_edit({document_kind::service, parsed.value.name.value},
                       editor.put(parsed.value, command.base), out);
}

absl::Status run(const service_get& command, store::editor& editor,
                 output out) {
    const auto stored =
        editor.get({document_kind::service, command.name.value});
    if (!stored.ok()) {
        return stored.status();
    }
    const std::int64_t revision = stored->revision.value;
    if (out.format == output_format::json) {
        write_record({"revision", "document"},
                     {number_cell(revision), {stored->text, true}}, out);
    } else {
        out.stream << "// revision " << revision << "\n"
                   << stored->text << "\n";
    }
    return absl::OkStatus();
}

absl::Status run(const service_list& /*command*/, store::editor& editor,
                 output out) {
    return list(
        document_kind::service,
        {"name", "address", "protocol", "slots", "max_connections", "revision"},
        service_row, editor, out);
}

absl::Status run(const service_delete& command, store::editor& editor,
                 output out) {
    return report_edit({document_kind::service, command.name.value},
                       editor.remove(command.name, command.base), out);
}

absl::Status run(const data_centre_set& command, store::editor& editor,
                 output out) {
    return report_edit(
        {document_kind::data_centre, command.name.value},
        editor.set_withdrawn(command.name, command.withdrawn, command.base),
        out);
}

absl::Status run(const data_centre_list& /*command*/, store::editor& editor,
                 output out) {
    return list(document_kind::data_centre, {"name", "withdrawn", "revision"},
                data_centre_row, editor, out);
}

} // namespace guavastair::commands
