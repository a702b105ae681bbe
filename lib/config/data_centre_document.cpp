#include "fields.hpp"

#include <absl/strings/str_cat.h>

#include <array>

namespace guavastair::config {

namespace {

using document = data_centre_document;

constexpr std::array<field<document>, 2> fields{{
    {"name",
     &document::name,
     presence::required,
     {},
     "",
     "the data centre's name, also the name of its key in the store"},
    {"withdrawn",
     &document::withdrawn,
     presence::required,
     {},
     "",
     "whether the data centre is out of service"},
}};

std::span<const field<document>> all_fields() {
    return fields;
}

} // namespace

checked<data_centre_document>
parse_data_centre_document(absl::string_view file, absl::string_view text) {
    json_source source(file);
    const json_object root = source.parse(text);
    data_centre_document result;
    read_object(source, root, all_fields(), result);
    return {std::move(result), source.take_problems()};
}

std::string to_json(const data_centre_document& document) {
    std::string members;
    for (const auto& row : fields) {
        write_field(document, row, members);
    }
    return absl::StrCat("{", members, "}");
}

std::vector<key_description> data_centre_document_keys() {
    std::vector<key_description> rows;
    describe_fields("", all_fields(), rows);
    return rows;
}

} // namespace guavastair::config
