#include "wait_queue.hpp"

#include <algorithm>
#include <cassert>

namespace guavastair::admission {

void wait_queue::push(const waiting_request& request) {
    this->requests.push_back(request);
}

void wait_queue::remove(ticket id) {
    std::erase_if(this->requests, [id](const waiting_request& request) {
        return request.id == id;
    });
}

waiting_request wait_queue::pop_front() {
    assert(!this->requests.empty() && "pop_front() of an empty queue");
    const waiting_request first = this->requests.front();
    this->requests.pop_front();
    return first;
}

waiting_request wait_queue::pop_back() {
    assert(!this->requests.empty() && "pop_back() of an empty queue");
    const waiting_request last = this->requests.back();
    this->requests.pop_back();
    return last;
}

std::vector<waiting_request> wait_queue::remove_expired(support::instant now) {
    std::vector<waiting_request> expired;
    std::erase_if(this->requests, [&](const waiting_request& request) {
        if (request.latest_start > now) {
            return false;
        }
        expired.push_back(request);
        return true;
    });
    return expired;
}

std::optional<support::instant> wait_queue::next_expiry() const {
    const auto first =
        std::min_element(this->requests.begin(), this->requests.end(),
                         [](const auto& left, const auto& right) {
                             return left.latest_start < right.latest_start;
                         });
    if (first == this->requests.end()) {
        return std::nullopt;
    }
    return first->latest_start;
}

bool wait_queue::empty() const {
    return this->requests.empty();
}

std::size_t wait_queue::size() const {
    return this->requests.size();
}

} // namespace guavastair::admission
