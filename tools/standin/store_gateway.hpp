/// The server side of the messages of etcd's JSON gateway.

#ifndef GUAVASTAIR_TOOLS_STANDIN_STORE_GATEWAY_HPP
#define GUAVASTAIR_TOOLS_STANDIN_STORE_GATEWAY_HPP

#include "store_memory.hpp"

#include <Poco/JSON/Object.h>

namespace guavastair::standin {

/// Runs one call and returns the response. Throws Poco::Exception for a
/// malformed request.
using gateway_call = Poco::JSON::Object::Ptr (*)(
    memory_store& store, const Poco::JSON::Object& request_body);

/// One path of the gateway and the kind of call that it is counted as.
struct gateway_path {
    absl::string_view path;
    store::call_kind kind;
    gateway_call run;
};

/// Returns the row of `path`, or null. Watches have no row.
const gateway_path* find_gateway_path(absl::string_view path);

/// The parameters of a watch's create_request.
struct watch_request {
    key_range keys;
    support::revision from;
};

watch_request decode_watch_request(const Poco::JSON::Object& request_body);
Poco::JSON::Object::Ptr
encode_watch_message(const store::watch_message& message);
Poco::JSON::Object::Ptr encode_watch_created(support::revision revision);

} // namespace guavastair::standin

#endif
