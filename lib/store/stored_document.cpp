#include <guavastair/store.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace guavastair::store {

using Poco::JSON::Array;
using Poco::JSON::Object;

static stored_document decode(const Object& from) {
    stored_document result;
    result.deleted = from.optValue<bool>("deleted", false);
    const Array::Ptr edits = from.getArray("edits");
    if (!edits.isNull()) {
        for (std::size_t i = 0; i < edits->size(); ++i) {
            result.edits.push_back({edits->getElement<std::string>(i)});
        }
    }
    const Object::Ptr document = from.getObject("document");
    if (result.deleted) {
        return result;
    }
    if (document.isNull()) {
        throw Poco::DataFormatException("missing object \"document\"");
    }
    std::ostringstream text;
    document->stringify(text);
    result.text = text.str();
    return result;
}

std::string to_json(const stored_document& stored) {
    const auto append = [](std::string* out, const edit_id& id) {
        absl::StrAppend(out, "\"", id.value, "\"");
    };
    const std::string edits = absl::StrJoin(stored.edits, ",", append);
    const std::string rest = stored.deleted
                                 ? R"("deleted":true)"
                                 : absl::StrCat(R"("document":)", stored.text);
    return absl::StrCat(R"({"edits":[)", edits, "],", rest, "}");
}

absl::StatusOr<stored_document> parse_stored_document(absl::string_view text) {
    try {
        constexpr bool keep_order = true;
        Poco::JSON::Parser parser(new Poco::JSON::ParseHandler(keep_order));
        const auto root = parser.parse(std::string(text));
        return decode(*root.extract<Object::Ptr>());
    } catch (const Poco::Exception& error) {
        return support::make_error(
            support::error_kind::invalid_input,
            absl::StrCat("not a stored document: ", error.displayText()));
    }
}

} // namespace guavastair::store
