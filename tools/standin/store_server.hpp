/// The store stand-in as an HTTP server: etcd's JSON gateway, and control paths
/// that inject faults.
///
///   POST /control/faults   sets faults; a JSON object with the keys of
///                          store_faults; omitted keys mean no fault
///   POST /control/compact  {"revision": N} discards older history
///   GET  /control/calls    {"range": N, ...} received calls by kind

#ifndef GUAVASTAIR_TOOLS_STANDIN_STORE_SERVER_HPP
#define GUAVASTAIR_TOOLS_STANDIN_STORE_SERVER_HPP

#include <guavastair/store.hpp>

#include <memory>

namespace guavastair::standin {

/// Injected faults. A call that fails closes its connection without a response.
struct store_faults {
    /// Every call fails and has no effect.
    bool outage = false;
    /// Delay before a call is run.
    support::duration delay;
    /// Number of next calls that fail without effect.
    int lose_requests = 0;
    /// Number of next writes that take effect but whose response is lost.
    int lose_answers = 0;
    /// Watches stay open but deliver no events.
    bool silent_watches = false;
};

/// Serves from construction to destruction.
class store_server {
public:
    /// Port 0 lets the system choose. Throws Poco::Exception if it cannot
    /// listen.
    store_server(const std::string& address, std::uint16_t port);
    ~store_server();

    std::uint16_t port() const;

    void set_faults(const store_faults& faults);
    void compact(support::revision revision);

    /// Writes as another client would. Faults do not apply.
    support::revision put(const std::string& key, const std::string& value);

    /// Number of received calls by kind.
    const store::call_counters& calls() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace guavastair::standin

#endif
