#include <guavastair/admission.hpp>

#include <algorithm>

namespace guavastair::admission {

bool deadline::has_passed(support::instant now) const {
    return this->at.has_value() && *this->at <= now;
}

std::optional<support::duration>
deadline::remaining(support::instant now) const {
    if (!this->at.has_value()) {
        return std::nullopt;
    }
    return std::max(*this->at - now, support::duration{});
}

deadline deadline_after(support::instant now, support::duration timeout) {
    return {now + timeout};
}

deadline earlier(deadline left, deadline right) {
    if (!left.at.has_value()) {
        return right;
    }
    if (!right.at.has_value()) {
        return left;
    }
    return {std::min(*left.at, *right.at)};
}

std::optional<support::duration>
remaining_for_next_hop(deadline request_deadline, support::instant now,
                       support::duration return_allowance) {
    const auto left = request_deadline.remaining(now);
    if (!left.has_value()) {
        return std::nullopt;
    }
    return std::max(*left - return_allowance, support::duration{});
}

} // namespace guavastair::admission
