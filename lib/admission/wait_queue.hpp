/// Requests that wait for a slot, in order of arrival.

#ifndef GUAVASTAIR_LIB_ADMISSION_WAIT_QUEUE_HPP
#define GUAVASTAIR_LIB_ADMISSION_WAIT_QUEUE_HPP

#include <guavastair/admission.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace guavastair::admission {

struct waiting_request {
    ticket id;
    std::uint64_t owner = 0;
    deadline request_deadline;
    /// The request expires at this time.
    support::instant latest_start;
};

/// A queue for few requests: the cost of remove(), remove_expired() and
/// next_expiry() is linear in its length.
class wait_queue {
public:
    void push(const waiting_request& request);
    /// Does nothing if `id` is not in the queue.
    void remove(ticket id);
    waiting_request pop_front();
    waiting_request pop_back();
    /// Removes and returns the requests whose `latest_start` is at or before
    /// `now`, oldest first.
    std::vector<waiting_request> remove_expired(support::instant now);
    std::optional<support::instant> next_expiry() const;
    bool empty() const;
    std::size_t size() const;

private:
    std::deque<waiting_request> requests;
};

} // namespace guavastair::admission

#endif
