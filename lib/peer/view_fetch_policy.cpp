#include <guavastair/peer.hpp>

namespace guavastair::peer {

/// Minimum time between two fetches that packets wait for. A caller's copy of
/// an opening packet follows after 200 ms.
static constexpr support::duration urgent_fetch_interval =
    support::milliseconds(100);

view_fetch_policy::view_fetch_policy(support::duration delay)
    : fetch_delay(delay) {}

/// Returns whether `fetch_delay` has elapsed since `since`, and restarts the
/// delay if so. Sets `since` to `now` if it has no value.
static bool has_waited(std::optional<support::instant>& since,
                       support::instant now, support::duration fetch_delay) {
    if (!since.has_value()) {
        since = now;
    }
    if (now - *since < fetch_delay) {
        return false;
    }
    since = now;
    return true;
}

view_fetch_policy::step
view_fetch_policy::on_summary(support::instant now, const view_summary& ours,
                              const view_summary& theirs, bool may_wait) {
    const support::duration wait =
        may_wait ? this->fetch_delay : support::duration{};
    if (theirs.config_revision > ours.config_revision) {
        return has_waited(this->newer_configuration_since, now, wait)
                   ? step::fetch
                   : step::none;
    }
    if (theirs.digest == ours.digest) {
        // The delay of a newer configuration goes on: the store may have failed
        // to deliver the change to this peer as well.
        this->newer_view_since.reset();
        return step::confirm;
    }
    const bool newer_view = theirs.config_revision == ours.config_revision &&
                            theirs.as_of >= ours.as_of;
    if (!newer_view) {
        return step::none;
    }
    return has_waited(this->newer_view_since, now, wait) ? step::fetch
                                                         : step::none;
}

bool view_fetch_policy::allows_urgent_fetch(support::instant now) {
    if (this->last_urgent_fetch.has_value() &&
        now - *this->last_urgent_fetch < urgent_fetch_interval) {
        return false;
    }
    this->last_urgent_fetch = now;
    return true;
}

} // namespace guavastair::peer
