/// Reads JSON with comments and collects all problems.

#ifndef GUAVASTAIR_LIB_CONFIG_JSON_SOURCE_HPP
#define GUAVASTAIR_LIB_CONFIG_JSON_SOURCE_HPP

#include <guavastair/config.hpp>

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace guavastair::config {

/// An object in a file and its dotted path.
struct json_object {
    /// Null if the value in the file is not an object.
    Poco::JSON::Object::Ptr object;
    std::string path;

    /// Returns the dotted path of `key` in this object.
    std::string path_of(absl::string_view key) const;
};

/// Parses one file and collects its problems.
class json_source {
public:
    explicit json_source(absl::string_view file);

    /// Parses the file's root object. Reports a problem if `text` is not a JSON
    /// object.
    json_object parse(absl::string_view text);

    /// Returns the object under `key`. A missing object is treated as empty, so
    /// that its missing required keys are reported.
    json_object section(const json_object& parent, absl::string_view key);

    /// Reports every key of `parent` that is not in `accepted_keys`, and
    /// suggests the nearest accepted key.
    void reject_unknown_keys(const json_object& parent,
                             std::span<const absl::string_view> accepted_keys);

    /// Adds a problem at the dotted `path`.
    void report(std::string path, const Poco::Dynamic::Var& value,
                std::string allowed);

    /// Returns the collected problems and clears them.
    std::vector<problem> take_problems();

private:
    std::string file;
    std::vector<problem> problems;
};

} // namespace guavastair::config

#endif
