/// Pulls documents from a peer that has a newer revision.

#ifndef GUAVASTAIR_LIB_CONTROL_PULLER_HPP
#define GUAVASTAIR_LIB_CONTROL_PULLER_HPP

#include <guavastair/config.hpp>
#include <guavastair/control.hpp>
#include <guavastair/wire.hpp>

#include <functional>
#include <memory>

namespace guavastair::control {

/// Counters of the puller. May be read while it runs.
struct puller_counters {
    traffic received;
    std::uint64_t failed = 0;
};

/// Pulls one change set at a time on its own thread. Each pull opens a new
/// connection, so that none depends on a connection that has stopped
/// responding.
class puller {
public:
    /// Called on the puller's thread with each change set received.
    using callback = std::function<void(const config::change_set&)>;

    /// `address` is this process's control address, for which peers seal their
    /// responses.
    puller(const wire::shared_key& key, wire::sender_identity self,
           support::endpoint address, callback deliver);
    ~puller();

    /// Requests every change after `from` from `peer`. Returns false and does
    /// nothing if another pull is queued or in progress.
    bool pull(support::endpoint peer, support::revision from);

    /// Cancels a pull in progress and ends the thread.
    void stop();

    puller_counters count() const;

private:
    class impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace guavastair::control

#endif
