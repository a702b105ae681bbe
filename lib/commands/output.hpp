/// Formats rows as aligned text tables or as JSON.

#ifndef GUAVASTAIR_LIB_COMMANDS_OUTPUT_HPP
#define GUAVASTAIR_LIB_COMMANDS_OUTPUT_HPP

#include <guavastair/commands.hpp>

namespace guavastair::commands {

/// A value in a row.
struct cell {
    std::string text;
    /// Whether `text` is already JSON (a number, a boolean or an object) and is
    /// written without quotes.
    bool is_raw_json = false;
};

cell text_cell(absl::string_view text);
cell number_cell(std::int64_t number);
cell flag_cell(bool flag);

struct table {
    std::vector<std::string> columns;
    std::vector<std::vector<cell>> rows;
};

/// Writes all rows, as aligned columns with a header or as a JSON array of
/// objects.
void write_table(const table& rows, output out);

/// Writes one row, as "column: value" lines or as a JSON object.
void write_record(const std::vector<std::string>& columns,
                  const std::vector<cell>& row, output out);

} // namespace guavastair::commands

#endif
