/// Serves documents to peers that have an older revision.

#ifndef GUAVASTAIR_LIB_CONTROL_PEER_SERVER_HPP
#define GUAVASTAIR_LIB_CONTROL_PEER_SERVER_HPP

#include "documents.hpp"

#include <guavastair/control.hpp>
#include <guavastair/wire.hpp>

#include <functional>
#include <memory>

namespace guavastair::control {

/// Counters of the peer server. May be read while it runs.
struct peer_server_counters {
    traffic answered;
    std::uint64_t malformed = 0;
    std::uint64_t forged = 0;
    std::uint64_t replayed = 0;
};

/// Serves pulls over Cap'n Proto RPC on its own thread. Requests and responses
/// are sealed. A request that fails authentication is rejected before it is
/// decoded.
class peer_server {
public:
    /// Returns the control address of a member. Responses are sealed for that
    /// address.
    using address_lookup =
        std::function<std::optional<support::endpoint>(support::member_id)>;

    /// `local_documents` must outlive the server.
    peer_server(const wire::shared_key& key, wire::sender_identity self,
                const documents& local_documents, address_lookup address_of);
    ~peer_server();

    /// Listens on TCP. Fails with error_kind::address_in_use.
    absl::Status start(support::endpoint listen);
    void stop();

    peer_server_counters count() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace guavastair::control

#endif
