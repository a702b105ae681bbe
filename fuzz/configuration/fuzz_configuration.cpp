/// Feeds arbitrary text to the parsers of settings, service documents and
/// stored documents. A service document that parses must be equal after it is
/// serialized and parsed again.

#include <guavastair/config.hpp>
#include <guavastair/store.hpp>

#include <cstdlib>

namespace config = guavastair::config;
namespace store = guavastair::store;

static void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
    // The other parsers share their field tables with these.
    const std::string text(reinterpret_cast<const char*>(data), size);
    config::parse_agent_settings("file", text);
    const auto document = config::parse_service_document("file", text);
    if (document.ok()) {
        const auto reparsed_document =
            config::parse_service_document("file", to_json(document.value));
        require(reparsed_document.ok() &&
                reparsed_document.value == document.value);
    }
    const auto stored = store::parse_stored_document(text);
    if (stored.ok()) {
        require(store::parse_stored_document(to_json(*stored)).ok());
    }
    return 0;
}
