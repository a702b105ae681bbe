#include "status.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace guavastair::node {

using Poco::JSON::Array;
using Poco::JSON::Object;

static std::string text(absl::string_view value) {
    return std::string(value);
}

static Object::Ptr to_object(const membership::node_record& record,
                             membership::liveness liveness, bool reachable) {
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("name", record.name.value);
    object->set("id", support::to_string(record.id));
    object->set("role", text(membership::to_string(record.role)));
    object->set("data_centre", record.data_centre.value);
    object->set("service", record.service.value);
    object->set("slots", record.weight);
    object->set("state", text(membership::to_string(record.state)));
    object->set("liveness", text(membership::to_string(liveness)));
    object->set("reachable", reachable);
    object->set("applied_revision", record.applied.value);
    object->set("data", support::to_string(record.data));
    return object;
}

static Array::Ptr members_array(const control::snapshot& latest) {
    Array::Ptr members = new Array;
    members->add(to_object(latest.self, membership::liveness::alive, true));
    for (const membership::member_view& each : latest.members) {
        members->add(to_object(each.record, each.liveness, each.reachable));
    }
    return members;
}

static Array::Ptr services_array(const control::snapshot& latest) {
    Array::Ptr services = new Array;
    for (const auto& document : latest.services) {
        Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
        object->set("name", document->name.value);
        object->set("address", support::to_string(document->address));
        object->set("protocol", text(config::to_string(document->protocol)));
        services->add(object);
    }
    return services;
}

static Array::Ptr withdrawn_array(const control::snapshot& latest) {
    Array::Ptr withdrawn = new Array;
    for (const support::data_centre_name& name : latest.withdrawn) {
        withdrawn->add(name.value);
    }
    return withdrawn;
}

std::string status_json(const control::snapshot& latest,
                        const data_path_status& data_path) {
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("name", latest.self.name.value);
    object.set("role", text(membership::to_string(latest.self.role)));
    object.set("data_centre", latest.self.data_centre.value);
    object.set("revision", latest.complete_up_to.value);
    object.set("isolated", latest.is_isolated);
    object.set("flows", data_path.flows);
    object.set("refused", data_path.refused);
    object.set("services", services_array(latest));
    object.set("withdrawn", withdrawn_array(latest));
    object.set("members", members_array(latest));
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

} // namespace guavastair::node
