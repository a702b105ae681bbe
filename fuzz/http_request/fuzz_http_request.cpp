/// Feeds the request engine with a script of bytes and events. Whatever comes
/// in, what it holds must be given back once the caller has left.

#include <guavastair/request.hpp>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <cstdlib>
#include <variant>

namespace admission = guavastair::admission;
namespace request = guavastair::request;
namespace support = guavastair::support;

namespace {

enum class event : std::uint8_t {
    caller_bytes,
    server_connected,
    server_failed,
    server_bytes,
    server_closed,
    server_lost,
    time,
    drain,
};

constexpr std::uint8_t event_count = 8;
constexpr std::int64_t ms_per_unit = 100;

// The input is a sequence of events: a byte that says which, a byte with the
// length of its bytes or the time, then the bytes.
class script {
public:
    script(const std::uint8_t* data, std::size_t size)
        : left(reinterpret_cast<const char*>(data), size) {}

    bool empty() const {
        return this->left.size() < 2;
    }

    std::uint8_t take() {
        const auto byte = static_cast<std::uint8_t>(this->left.front());
        this->left.remove_prefix(1);
        return byte;
    }

    absl::string_view take_bytes(std::size_t size) {
        const absl::string_view bytes = this->left.substr(0, size);
        this->left.remove_prefix(bytes.size());
        return bytes;
    }

private:
    absl::string_view left;
};

class player {
public:
    player(admission::controller& controller, support::instant now)
        : server(controller), now(now), flow({}, controller, 1, now) {}

    void play(script& input) {
        const auto what = static_cast<event>(input.take() % event_count);
        const std::uint8_t amount = input.take();
        this->run(this->react(what, amount, input));
        for (const auto& wakeup : this->server.take_wakeups(this->now)) {
            this->run(this->flow.wait_ended(this->now, wakeup));
        }
    }

    void leave() {
        this->run(this->flow.caller_closed(this->now));
        if (this->open) {
            this->run(this->flow.server_closed(this->now, false));
        }
    }

    bool closed() const {
        return this->flow.closed();
    }

private:
    request::actions react(event what, std::uint8_t amount, script& input) {
        switch (what) {
        case event::caller_bytes:
            return this->flow.caller_bytes(this->now, input.take_bytes(amount));
        case event::server_connected:
            return this->flow.server_connected(this->now);
        case event::server_failed:
            return this->flow.server_failed(this->now);
        case event::server_bytes:
            return this->flow.server_bytes(this->now, input.take_bytes(amount));
        case event::server_closed:
        case event::server_lost:
            this->open = false;
            return this->flow.server_closed(this->now,
                                            what == event::server_closed);
        case event::time:
            this->now = this->now + support::milliseconds(amount * ms_per_unit);
            return this->flow.timer(this->now);
        case event::drain:
            return this->flow.drain(this->now);
        }
        return {};
    }

    void run(const request::actions& actions) {
        for (const request::action& action : actions) {
            if (std::holds_alternative<request::connect_server>(action)) {
                this->open = true;
            }
            if (std::holds_alternative<request::close_server>(action)) {
                this->open = false;
            }
        }
    }

    admission::controller& server;
    support::instant now;
    request::flow flow;
    bool open = false;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
    constexpr support::instant start{60'000};
    admission::controller controller({}, {}, {});
    player one(controller, start);
    script input(data, size);
    while (!input.empty()) {
        one.play(input);
    }
    one.leave();
    const auto status = controller.status();
    if (!one.closed() || status.running != 0 || status.waiting != 0) {
        std::abort();
    }
    return 0;
}
