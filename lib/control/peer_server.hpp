/// Serves the documents held to peers that are behind.

#ifndef GUAVASTAIR_LIB_CONTROL_PEER_SERVER_HPP
#define GUAVASTAIR_LIB_CONTROL_PEER_SERVER_HPP

#include "documents.hpp"

#include <guavastair/control.hpp>
#include <guavastair/wire.hpp>

#include <functional>
#include <memory>

namespace guavastair::control {

/// What the peer server has done. Read while it runs.
struct peer_server_counters {
    traffic answered;
    std::uint64_t malformed = 0;
    std::uint64_t forged = 0;
    std::uint64_t replayed = 0;
};

/// Answers pulls over Cap'n Proto RPC, on a thread of its own. Requests and
/// answers are sealed; a request that is not authentic is refused unread.
class peer_server {
public:
    /// Where a member takes control messages; answers are sealed for it.
    using address_lookup =
        std::function<std::optional<support::endpoint>(support::member_id)>;

    /// `held` must outlive the server.
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
