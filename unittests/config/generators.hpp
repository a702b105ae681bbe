/// RapidCheck generators for documents.

#ifndef GUAVASTAIR_UNITTESTS_CONFIG_GENERATORS_HPP
#define GUAVASTAIR_UNITTESTS_CONFIG_GENERATORS_HPP

#include <guavastair/config.hpp>

#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

namespace guavastair::config {

inline support::endpoint any_endpoint() {
    return {{*rc::gen::inRange<std::uint32_t>(1, 0xffffffff)},
            static_cast<std::uint16_t>(*rc::gen::inRange(1, 65536))};
}

inline service_document any_service() {
    service_document result;
    result.name.value = absl::StrCat("s", *rc::gen::inRange(0, 1000));
    result.address = any_endpoint();
    result.slots = *rc::gen::inRange<std::uint32_t>(1, 10'000);
    result.max_connections = *rc::gen::inRange<std::uint32_t>(1, 1'000'000);
    result.drain_limit = support::seconds(*rc::gen::inRange(0, 86'400));
    if (*rc::gen::arbitrary<bool>()) {
        result.protocol = service_protocol::http;
        result.request_timeout = support::seconds(*rc::gen::inRange(1, 900));
        result.max_request_bytes = *rc::gen::inRange<std::uint64_t>(0, 1 << 30);
        result.idempotency_key = *rc::gen::arbitrary<bool>();
        result.idempotent_methods = *rc::gen::element(
            std::vector<std::string>{}, std::vector<std::string>{"GET"},
            std::vector<std::string>{"GET", "PUT", "DELETE"});
        result.idempotency_window = support::seconds(*rc::gen::inRange(1, 900));
    }
    return result;
}

} // namespace guavastair::config

#endif
