#include <guavastair/admin.hpp>

#include <Poco/JSON/Object.h>

#include <sstream>

namespace guavastair::admin {

response error_response(const absl::Status& status) {
    const support::error_properties& row =
        support::properties_of(support::kind_of(status));
    Poco::JSON::Object object;
    object.set("error", std::string(row.name));
    object.set("outcome", std::string(support::to_string(row.result)));
    object.set("message", std::string(status.message()));
    std::ostringstream body;
    object.stringify(body);
    return {row.http_status, "application/json", body.str()};
}

} // namespace guavastair::admin
