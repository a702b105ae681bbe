#include "operator_documents.hpp"
#include "view_synchronizer.hpp"

namespace guavastair::relay {

static constexpr absl::string_view view_target = "/view";

static constexpr support::duration fetch_timeout = support::milliseconds(1000);

static registry::follower_settings
operator_follower_settings(support::duration watch_time) {
    registry::follower_settings result;
    result.prefix = platform::operator_prefix();
    result.watch_time = watch_time;
    return result;
}

view_synchronizer::view_synchronizer(process_context& shared_context,
                                     support::duration watch_time,
                                     std::function<void()> change_callback)
    : context(shared_context), on_change(std::move(change_callback)),
      follower(shared_context, operator_follower_settings(watch_time),
               [this] { this->on_store_update(); }),
      server(shared_context.loop,
             [this](const http::request& request) {
                 return this->handle_peer_request(request);
             }),
      resumed_at(shared_context.now()) {}

absl::Status view_synchronizer::start() {
    absl::Status listen_status =
        this->server.listen(this->context.settings.peers);
    if (!listen_status.ok()) {
        return listen_status;
    }
    this->follower.start();
    return absl::OkStatus();
}

const routing::routing_state& view_synchronizer::active_routing() const {
    return this->state;
}

peer::view_summary view_synchronizer::summary() const {
    return {this->state.view().as_of, this->state.view().config_revision,
            this->state.contents_digest()};
}

void view_synchronizer::on_store_update() {
    const registry::follower& follower_state = this->follower.state();
    auto view = platform::read_operator_view(follower_state.entries(),
                                             follower_state.as_of());
    if (!view.ok()) {
        logging::line line("configuration_refused");
        line.add("revision", follower_state.as_of().value)
            .add("why", view.status().message());
        this->context.log(logging::level::error, "configuration_refused", line);
        return;
    }
    this->adopt_view(*std::move(view), "store");
}

void view_synchronizer::adopt_view(routing::operator_view view,
                                   absl::string_view source) {
    const std::int64_t as_of = view.as_of.value;
    const routing::adoption result =
        this->state.adopt(std::move(view), this->context.now());
    if (result == routing::adoption::confirmed) {
        return;
    }
    logging::line line("view_changed");
    line.add("source", source)
        .add("outcome", routing::to_string(result))
        .add("as_of", as_of)
        .add("version", this->state.view().config.version)
        .add("revision", this->state.view().config_revision.value)
        .add("routes", this->state.view().config.routes.size())
        .add("skipped", this->state.view().skipped_items)
        .add("withdrawn", this->state.view().withdrawn.size());
    this->context.log(logging::level::info, "view_changed", line);
    if (result == routing::adoption::replaced) {
        this->on_change();
    }
}

void view_synchronizer::on_peer_view(support::endpoint from,
                                     const peer::view_summary& peer_summary) {
    if (!this->context.enabled.has(ablation::mechanism::peer_views)) {
        return;
    }
    const support::instant now = this->context.now();
    this->on_announcement(from, peer_summary.config_revision);
    switch (this->view_fetch_policy.on_summary(
        now, this->summary(), peer_summary, this->state.has_configuration())) {
    case peer::view_fetch_policy::step::confirm:
        this->state.confirm(peer_summary.as_of, now);
        break;
    case peer::view_fetch_policy::step::fetch:
        if (!this->is_fetching()) {
            this->fetch_view(from);
        }
        break;
    case peer::view_fetch_policy::step::none:
        break;
    }
}

bool view_synchronizer::is_fetching() const {
    return this->fetch_client != nullptr && this->fetch_client->busy();
}

/// Records that a peer has a newer configuration. Logs the first announcement
/// of each revision.
void view_synchronizer::on_announcement(support::endpoint from,
                                        support::revision config_revision) {
    const support::revision known = this->state.announced_configuration();
    if (config_revision <= this->state.view().config_revision ||
        !this->state.announce(config_revision, this->context.now())) {
        return;
    }
    this->announcer = from;
    if (config_revision <= known) {
        return;
    }
    logging::line line("newer_configuration");
    line.add("peer", from)
        .add("revision", config_revision.value)
        .add("own_revision", this->state.view().config_revision.value)
        .add("fetching", this->is_fetching());
    this->context.log(logging::level::info, "newer_configuration", line);
}

void view_synchronizer::fetch_newer_configuration(
    support::endpoint peer, support::revision config_revision) {
    this->on_announcement(peer, config_revision);
    this->fetch_announced_configuration();
}

void view_synchronizer::fetch_announced_configuration() {
    const support::instant now = this->context.now();
    if (this->context.enabled.has(ablation::mechanism::peer_views) &&
        this->state.is_outdated(now) && !this->is_fetching() &&
        this->view_fetch_policy.allows_urgent_fetch(now)) {
        this->fetch_view(this->announcer);
    }
}

void view_synchronizer::log_fetch(absl::string_view event,
                                  support::endpoint from,
                                  support::instant started_at,
                                  const absl::Status& failure) {
    logging::line line(event);
    line.add("peer", from).add("ms", (this->context.now() - started_at).ms);
    if (!failure.ok()) {
        line.add("why", failure.message());
    }
    this->context.log(failure.ok() ? logging::level::info
                                   : logging::level::warn,
                      event, line);
}

void view_synchronizer::fetch_view(support::endpoint from) {
    const support::instant started_at = this->context.now();
    this->fetch_client =
        std::make_unique<http::client>(this->context.loop, from);
    this->fetch_client->send(
        {"GET", std::string(view_target), ""}, fetch_timeout,
        [this, from, started_at](const http::client::outcome& outcome) {
            auto view = outcome.result.ok()
                            ? platform::parse_view(outcome.result->body)
                            : outcome.result.status();
            if (!view.ok()) {
                ++this->fetch_counts.failed;
                this->log_fetch("view_fetch_failed", from, started_at,
                                view.status());
                return;
            }
            ++this->fetch_counts.completed;
            this->log_fetch("view_fetched", from, started_at, absl::OkStatus());
            this->adopt_view(*std::move(view), support::to_string(from));
        });
}

http::response
view_synchronizer::handle_peer_request(const http::request& request) const {
    if (request.target != view_target || !this->state.has_configuration()) {
        return {404, "{}"};
    }
    return {200, platform::write_view(this->state.view())};
}

bool view_synchronizer::is_confirmed() const {
    return this->state.confirmed_at() >= this->resumed_at;
}

view_fetch_counts view_synchronizer::fetches() const {
    return this->fetch_counts;
}

void view_synchronizer::on_resumed() {
    this->resumed_at = this->context.now();
}

} // namespace guavastair::relay
