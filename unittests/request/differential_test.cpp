#include "flow_driver.hpp"
#include "naive_http.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace request_test;

namespace {

// One request and the server's response to it.
struct planned_exchange {
    std::string method;
    std::string path;
    std::string body;
    body_form form = body_form::none;
    int status = 200;
    std::string answer;
    body_form answer_form = body_form::length;

    bool has_no_body() const {
        return this->method == "HEAD" || this->status == 204 ||
               this->status == 304;
    }
};

class exchange_simulation {
public:
    explicit exchange_simulation(std::uint64_t seed)
        : random(seed), controller(make_controller(uncontended_settings(2))),
          flow(this->controller, 1) {
        const std::size_t count = 1 + this->random_below(5);
        for (std::size_t i = 0; i < count; ++i) {
            this->plan.push_back(this->make_plan(i));
            this->input += this->request_bytes(this->plan.back());
        }
    }

    // Delivers random pieces from both sides until no progress is possible.
    void run() {
        while (this->flow.caller_open) {
            const bool caller_can =
                !this->input.empty() && this->flow.engine.wants_caller_bytes();
            if (caller_can && this->random_below(2) == 0) {
                this->flow.caller(this->take_piece(this->input));
            } else if (!this->step_server() && !caller_can) {
                return;
            }
        }
    }

    std::size_t random_below(std::size_t bound) {
        return this->random() % bound;
    }

    std::mt19937_64 random;
    admission::controller controller;
    flow_driver flow;
    std::vector<planned_exchange> plan;
    std::string input;
    /// Bytes of the latest connection's response that were not delivered yet.
    std::string output;
    std::size_t answered = 0;
    /// If set, every response is truncated to this many bytes, modulo its size.
    std::optional<std::size_t> truncation_size;
    bool is_truncation_clean = false;

private:
    std::string text(std::size_t most) {
        std::string made;
        const std::size_t size = this->random_below(most);
        for (std::size_t i = 0; i < size; ++i) {
            made += "\r\n0aZ:; HTTP"[this->random_below(11)];
        }
        return made;
    }

    planned_exchange make_plan(std::size_t index) {
        planned_exchange p;
        const char* const methods[] = {"GET", "HEAD", "POST", "PUT"};
        p.method = methods[this->random_below(4)];
        p.path = absl::StrCat("/", index);
        if (p.method == "POST" || p.method == "PUT") {
            p.form = this->random_below(2) == 0 ? body_form::length
                                                : body_form::chunked;
            p.body = this->text(200);
        }
        const int statuses[] = {200, 204, 304, 404, 500};
        p.status = statuses[this->random_below(5)];
        const body_form forms[] = {body_form::length, body_form::chunked,
                                   body_form::until_close};
        p.answer_form =
            p.has_no_body() ? body_form::none : forms[this->random_below(3)];
        p.answer = p.has_no_body() ? "" : this->text(300);
        return p;
    }

    std::string request_bytes(const planned_exchange& p) {
        return make_message(absl::StrCat(p.method, " ", p.path, " HTTP/1.1"),
                            "Host: a\r\n", p.body, p.form,
                            1 + this->random_below(50));
    }

    std::string take_piece(std::string& from) {
        const std::size_t size = 1 + this->random_below(from.size());
        std::string piece = from.substr(0, size);
        from.erase(0, size);
        return piece;
    }

    void begin_answer() {
        const planned_exchange& p = this->plan[this->answered];
        ++this->answered;
        this->output = make_message(
            absl::StrCat("HTTP/1.1 ", p.status, " Some"), "X-Own: 1\r\n",
            p.answer, p.answer_form, 1 + this->random_below(50));
        if (this->truncation_size.has_value()) {
            this->output.resize(*this->truncation_size % this->output.size());
        }
    }

    bool step_server() {
        if (this->flow.connecting) {
            this->flow.connected();
            return true;
        }
        if (!this->flow.server_open) {
            return false;
        }
        // The server responds after it has received the whole request.
        std::string seen = this->flow.to_server();
        if (this->answered < this->flow.connections.size()) {
            if (!take_message(seen, false).has_value()) {
                return false;
            }
            this->begin_answer();
            return true;
        }
        if (this->output.empty()) {
            this->flow.server_closes(!this->truncation_size.has_value() ||
                                     this->is_truncation_clean);
            return true;
        }
        this->flow.server(this->take_piece(this->output));
        return true;
    }
};

} // namespace

TEST_CASE(
    "responses are complete and match their requests for any split of the "
    "bytes") {
    const bool property_holds = rc::check([]() {
        exchange_simulation run(*rc::gen::arbitrary<std::uint64_t>());
        run.run();
        RC_ASSERT(run.flow.connections.size() == run.plan.size());
        for (std::size_t i = 0; i < run.plan.size(); ++i) {
            const planned_exchange& p = run.plan[i];
            auto request = take_message(run.flow.connections[i], false);
            RC_ASSERT(request.has_value());
            RC_ASSERT(request->line ==
                      absl::StrCat(p.method, " ", p.path, " HTTP/1.1"));
            RC_ASSERT(request->body == p.body);
            RC_ASSERT(run.flow.connections[i].empty());
            const auto answer =
                take_message(run.flow.to_caller, p.has_no_body());
            RC_ASSERT(answer.has_value());
            RC_ASSERT(absl::StartsWith(answer->line,
                                       absl::StrCat("HTTP/1.1 ", p.status)));
            RC_ASSERT(answer->body == p.answer);
        }
        RC_ASSERT(run.flow.to_caller.empty());
        RC_ASSERT(run.flow.caller_open);
        RC_ASSERT(run.flow.engine.idle());
        RC_ASSERT(run.controller.status().running == 0);
    });
    CHECK(property_holds);
}

TEST_CASE(
    "a truncated response with a length or chunks is never taken as complete") {
    const bool property_holds = rc::check([]() {
        exchange_simulation run(*rc::gen::arbitrary<std::uint64_t>());
        run.truncation_size = *rc::gen::inRange<std::size_t>(0, 400);
        run.is_truncation_clean = *rc::gen::arbitrary<bool>();
        // Without a length or chunks, a clean close cannot be distinguished
        // from a truncation.
        for (planned_exchange& p : run.plan) {
            if (p.answer_form == body_form::until_close) {
                p.answer_form = body_form::chunked;
            }
        }
        run.run();
        const planned_exchange& last = run.plan[run.answered - 1];
        for (std::size_t i = 0; i < run.answered; ++i) {
            const planned_exchange& p = run.plan[i];
            const std::string before = run.flow.to_caller;
            const auto answer =
                take_message(run.flow.to_caller, p.method == "HEAD");
            if (!answer.has_value()) {
                RC_ASSERT(i + 1 == run.answered);
                RC_ASSERT(run.flow.caller_reset);
                return;
            }
            RC_ASSERT(absl::StartsWith(answer->line, "HTTP/1.1 502 "));
            RC_ASSERT(
                p.method == "HEAD" ||
                absl::StrContains(answer->body, "\"outcome\":\"unknown\""));
        }
        RC_ASSERT(!last.method.empty());
        RC_ASSERT(run.controller.status().running == 0);
    });
    CHECK(property_holds);
}

TEST_CASE("arbitrary input leaves the engine in a consistent state") {
    const bool property_holds = rc::check([]() {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        auto controller = make_controller(uncontended_settings(1));
        flow_driver flow(controller, 1);
        const auto noise = *rc::gen::container<std::string>(rc::gen::element(
            'G', 'E', 'T', ' ', '/', 'H', 'P', '1', '.', ':', '\r', '\n', '0'));
        flow.caller("POST / HTTP/1.1\r\nHost: a\r\n");
        for (const char c : noise) {
            if (flow.caller_open) {
                flow.caller(absl::string_view(&c, 1));
            }
            if (flow.connecting && random() % 4 == 0) {
                flow.connected();
            }
            if (flow.server_open && random() % 4 == 0) {
                flow.server(absl::string_view(&c, 1));
            }
        }
        if (flow.caller_open) {
            flow.caller_disconnects();
        }
        RC_ASSERT(flow.engine.closed());
        RC_ASSERT(controller.status().running == 0);
        RC_ASSERT(controller.status().waiting == 0);
    });
    CHECK(property_holds);
}
