/// Parsing, serialization and description of the value types of keys.

#ifndef GUAVASTAIR_LIB_CONFIG_VALUES_HPP
#define GUAVASTAIR_LIB_CONFIG_VALUES_HPP

#include <guavastair/config.hpp>

#include <Poco/Dynamic/Var.h>

#include <cstdint>
#include <string>
#include <vector>

namespace guavastair::config {

/// An inclusive range: of the value for a number, of the size in bytes for a
/// string, of the number of items for a list.
struct limits {
    std::int64_t min = 0;
    std::int64_t max = 0;
};

/// Each read_value() sets `out` and returns true if `value` is accepted.
/// Otherwise it returns false and leaves `out` unchanged.
bool read_value(const Poco::Dynamic::Var& value, limits range, bool& out);
bool read_value(const Poco::Dynamic::Var& value, limits range,
                std::uint32_t& out);
bool read_value(const Poco::Dynamic::Var& value, limits range,
                std::uint64_t& out);
bool read_value(const Poco::Dynamic::Var& value, limits range,
                support::duration& out);
bool read_value(const Poco::Dynamic::Var& value, limits range,
                std::string& out);
bool read_value(const Poco::Dynamic::Var& value, limits range,
                support::endpoint& out);
bool read_value(const Poco::Dynamic::Var& value, limits range,
                std::vector<support::endpoint>& out);
bool read_value(const Poco::Dynamic::Var& value, limits range,
                std::vector<std::string>& out);
bool read_value(const Poco::Dynamic::Var& value, limits range,
                service_protocol& out);
bool read_value(const Poco::Dynamic::Var& value, limits range, log_level& out);

/// Reads a name that support::is_valid_name() accepts.
bool read_name(const Poco::Dynamic::Var& value, std::string& out);

template <typename Tag>
bool read_value(const Poco::Dynamic::Var& value, limits /*range*/,
                support::name<Tag>& out) {
    return read_name(value, out.value);
}

/// Returns the JSON text of a value, in the form that read_value() accepts.
std::string write_value(bool value);
std::string write_value(std::uint32_t value);
std::string write_value(std::uint64_t value);
std::string write_value(support::duration value);
std::string write_value(const std::string& value);
std::string write_value(support::endpoint value);
std::string write_value(const std::vector<support::endpoint>& value);
std::string write_value(const std::vector<std::string>& value);
std::string write_value(service_protocol value);
std::string write_value(log_level value);

template <typename Tag>
std::string write_value(const support::name<Tag>& value) {
    return write_value(value.value);
}

/// Human-readable type and accepted values of a key.
struct value_description {
    std::string type;
    std::string allowed;
};

value_description describe(const bool& sample, limits range);
value_description describe(const std::uint32_t& sample, limits range);
value_description describe(const std::uint64_t& sample, limits range);
value_description describe(const support::duration& sample, limits range);
value_description describe(const std::string& sample, limits range);
value_description describe(const support::endpoint& sample, limits range);
value_description describe(const std::vector<support::endpoint>& sample,
                           limits range);
value_description describe(const std::vector<std::string>& sample,
                           limits range);
value_description describe(const service_protocol& sample, limits range);
value_description describe(const log_level& sample, limits range);
value_description describe_name();

template <typename Tag>
value_description describe(const support::name<Tag>& /*sample*/,
                           limits /*range*/) {
    return describe_name();
}

} // namespace guavastair::config

#endif
