#include "json_text.hpp"

#include <absl/strings/str_cat.h>
#include <Poco/JSON/JSONException.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <set>
#include <vector>

namespace guavastair::config {

namespace {

/// Deepest accepted nesting of objects and arrays.
constexpr std::size_t max_depth = 16;

/// Rejects repeated keys. POCO's default handler silently keeps the last value.
class unique_key_handler final : public Poco::JSON::ParseHandler {
public:
    void startObject() override {
        this->open_objects.emplace_back();
        ParseHandler::startObject();
    }

    void endObject() override {
        this->open_objects.pop_back();
        ParseHandler::endObject();
    }

    void key(const std::string& name) override {
        if (!this->open_objects.back().insert(name).second) {
            throw Poco::JSON::JSONException(
                absl::StrCat("key \"", name, "\" appears twice"));
        }
        ParseHandler::key(name);
    }

private:
    std::vector<std::set<std::string>> open_objects;
};

/// Returns the position after the string that begins at `start`.
std::size_t skip_string(absl::string_view text, std::size_t start) {
    std::size_t i = start + 1;
    while (i < text.size() && text[i] != '"') {
        i += text[i] == '\\' ? 2 : 1;
    }
    return std::min(i + 1, text.size());
}

/// Returns the position after the block comment that begins at `start`.
std::size_t skip_block_comment(absl::string_view text, std::size_t start) {
    const std::size_t end = text.find("*/", start + 2);
    return end == absl::string_view::npos ? text.size() : end + 2;
}

} // namespace

std::string blank_line_comments(absl::string_view text) {
    std::string result(text);
    std::size_t i = 0;
    while (i < text.size()) {
        const absl::string_view rest = text.substr(i, 2);
        if (rest == "//") {
            const std::size_t end = std::min(text.find('\n', i), text.size());
            std::fill(result.begin() + i, result.begin() + end, ' ');
            i = end;
        } else if (rest == "/*") {
            i = skip_block_comment(text, i);
        } else if (text[i] == '"') {
            i = skip_string(text, i);
        } else {
            ++i;
        }
    }
    return result;
}

Poco::Dynamic::Var parse_json(absl::string_view text) {
    Poco::JSON::Parser parser(new unique_key_handler);
    parser.setAllowComments(true);
    parser.setDepth(max_depth);
    return parser.parse(blank_line_comments(text));
}

} // namespace guavastair::config
