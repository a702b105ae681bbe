#include "flow_driver.hpp"

#include <doctest/doctest.h>

namespace request_test {

namespace {

// Late enough that every key is newer than the start of the agent.
constexpr support::instant test_start = {60'000};

const std::string no_bytes;

} // namespace

admission::controller_settings uncontended_settings(int slots) {
    admission::controller_settings settings;
    settings.limiter.slots = slots;
    settings.limiter.cold_slots = slots;
    return settings;
}

admission::controller make_controller(const admission::controller_settings& s) {
    admission::controller controller(s, {}, {});
    for (support::instant now; now < test_start;
         now = now + support::seconds(1)) {
        controller.take_wakeups(now);
    }
    return controller;
}

flow_driver::flow_driver(admission::controller& controller, std::uint64_t owner,
                         request::flow_settings settings)
    : server_controller(controller),
      engine(std::move(settings), controller, owner, test_start), owner(owner),
      now(test_start) {}

void flow_driver::caller(absl::string_view bytes) {
    this->run(this->engine.caller_bytes(this->now, bytes));
}

void flow_driver::caller_disconnects() {
    this->caller_open = false;
    this->run(this->engine.caller_closed(this->now));
}

void flow_driver::connected() {
    REQUIRE(this->connecting);
    this->connecting = false;
    this->server_open = true;
    this->run(this->engine.server_connected(this->now));
}

void flow_driver::connect_fails() {
    REQUIRE(this->connecting);
    this->connecting = false;
    this->run(this->engine.server_failed(this->now));
}

void flow_driver::server(absl::string_view bytes) {
    REQUIRE(this->server_open);
    this->run(this->engine.server_bytes(this->now, bytes));
}

void flow_driver::server_closes(bool clean) {
    REQUIRE(this->server_open);
    this->server_open = false;
    this->run(this->engine.server_closed(this->now, clean));
}

void flow_driver::drain() {
    this->run(this->engine.drain(this->now));
}

void flow_driver::advance(support::duration span) {
    this->now = this->now + span;
    if (this->timer.has_value() && *this->timer <= this->now) {
        this->timer.reset();
        this->run(this->engine.timer(this->now));
    }
}

void flow_driver::wake() {
    for (const auto& wakeup : this->server_controller.take_wakeups(this->now)) {
        if (wakeup.owner == this->owner) {
            this->wake(wakeup);
        }
    }
}

void flow_driver::wake(const admission::wakeup& wakeup) {
    this->run(this->engine.wait_ended(this->now, wakeup));
}

void flow_driver::answer(absl::string_view bytes) {
    this->connected();
    this->server(bytes);
}

const std::string& flow_driver::to_server() const {
    return this->connections.empty() ? no_bytes : this->connections.back();
}

void flow_driver::run(const request::actions& actions) {
    for (const request::action& action : actions) {
        this->run_one(action);
    }
}

void flow_driver::run_one(const request::action& action) {
    if (std::holds_alternative<request::connect_server>(action)) {
        REQUIRE_FALSE(this->server_open);
        this->connecting = true;
        this->connections.emplace_back();
    } else if (const auto* out =
                   std::get_if<request::send_to_server>(&action)) {
        REQUIRE(this->server_open);
        this->connections.back() += out->bytes;
    } else if (const auto* end = std::get_if<request::close_server>(&action)) {
        this->server_open = false;
        this->connecting = false;
        this->server_cancelled = end->cancel;
    } else if (const auto* sent =
                   std::get_if<request::send_to_caller>(&action)) {
        REQUIRE(this->caller_open);
        this->to_caller += sent->bytes;
    } else if (const auto* close =
                   std::get_if<request::close_caller>(&action)) {
        this->caller_open = false;
        this->caller_reset = close->reset;
    } else if (const auto* set = std::get_if<request::set_timer>(&action)) {
        this->timer = set->at;
    } else if (std::holds_alternative<request::stop_timer>(action)) {
        this->timer.reset();
    } else if (const auto* made = std::get_if<request::decision>(&action)) {
        this->decisions.push_back(*made);
    }
}

} // namespace request_test
