#include "operator_documents.hpp"
#include "view_keeper.hpp"

namespace guavastair::relay {

static constexpr absl::string_view view_path = "/view";

static constexpr support::duration fetch_timeout = support::milliseconds(1000);

static registry::follower_settings
follow_operators(support::duration watch_time) {
    registry::follower_settings result;
    result.prefix = platform::operator_prefix();
    result.watch_time = watch_time;
    return result;
}

view_keeper::view_keeper(process& chosen, support::duration watch_time,
                         std::function<void()> on_change)
    : owner(chosen), changed(std::move(on_change)),
      follower(chosen, follow_operators(watch_time),
               [this] { this->on_store_update(); }),
      server(
          chosen.loop,
          [this](const http::request& ask) { return this->answer_peer(ask); }),
      resumed_at(chosen.now()) {}

absl::Status view_keeper::start() {
    absl::Status listening = this->server.listen(this->owner.settings.peers);
    if (!listening.ok()) {
        return listening;
    }
    this->follower.start();
    return absl::OkStatus();
}

const routing::routing_state& view_keeper::rules() const {
    return this->state;
}

peer::view_summary view_keeper::summary() const {
    return {this->state.view().as_of, this->state.view().config_revision,
            this->state.contents_digest()};
}

void view_keeper::on_store_update() {
    const registry::follower& followed = this->follower.state();
    auto view =
        platform::read_operator_view(followed.entries(), followed.as_of());
    if (!view.ok()) {
        logging::line line("configuration_refused");
        line.add("revision", followed.as_of().value)
            .add("why", view.status().message());
        this->owner.log(logging::level::error, "configuration_refused", line);
        return;
    }
    this->take(*std::move(view), "store");
}

void view_keeper::take(routing::operator_view view, absl::string_view source) {
    const std::int64_t as_of = view.as_of.value;
    const routing::adoption result =
        this->state.adopt(std::move(view), this->owner.now());
    if (result == routing::adoption::confirmed) {
        return;
    }
    logging::line line("view_changed");
    line.add("source", source)
        .add("outcome", routing::to_string(result))
        .add("as_of", as_of)
        .add("version", this->state.view().config.version)
        .add("routes", this->state.view().config.routes.size())
        .add("withdrawn", this->state.view().withdrawn.size());
    this->owner.log(logging::level::info, "view_changed", line);
    if (result == routing::adoption::replaced) {
        this->changed();
    }
}

void view_keeper::on_peer_view(support::endpoint from,
                               const peer::view_summary& theirs) {
    if (!this->owner.enabled.has(ablation::mechanism::peer_views)) {
        return;
    }
    const support::instant now = this->owner.now();
    const bool fetches = this->fetching != nullptr && this->fetching->busy();
    switch (this->view_fetch_policy.on_summary(
        now, this->summary(), theirs, this->state.has_configuration())) {
    case peer::view_fetch_policy::step::confirm:
        this->state.confirm(theirs.as_of, now);
        break;
    case peer::view_fetch_policy::step::fetch:
        if (!fetches) {
            this->fetch(from);
        }
        break;
    case peer::view_fetch_policy::step::none:
        break;
    }
}

void view_keeper::fetch(support::endpoint from) {
    this->fetching = std::make_unique<http::client>(this->owner.loop, from);
    this->fetching->send(
        {"GET", std::string(view_path), ""}, fetch_timeout,
        [this, from](const http::client::outcome& ended) {
            absl::Status failure = ended.result.status();
            if (ended.result.ok()) {
                auto view = platform::parse_view(ended.result->body);
                failure = view.status();
                if (view.ok()) {
                    this->take(*std::move(view), support::to_string(from));
                }
            }
            if (!failure.ok()) {
                logging::line line("view_fetch_failed");
                line.add("peer", from).add("why", failure.message());
                this->owner.log(logging::level::warn, "view_fetch_failed",
                                line);
            }
        });
}

http::response view_keeper::answer_peer(const http::request& ask) const {
    if (ask.target != view_path || !this->state.has_configuration()) {
        return {404, "{}"};
    }
    return {200, platform::write_view(this->state.view())};
}

bool view_keeper::is_confirmed() const {
    return this->state.confirmed_at() >= this->resumed_at;
}

void view_keeper::on_resumed() {
    this->resumed_at = this->owner.now();
}

} // namespace guavastair::relay
