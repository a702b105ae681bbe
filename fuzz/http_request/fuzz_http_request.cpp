/// Feeds arbitrary sequences of events and bytes to the request engine. After
/// the caller has closed the flow, the engine must have released all admission
/// resources.

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

// The input is a sequence of events. Each one consists of a byte for the kind,
// a byte for the amount (length of its data, or time in units of ms_per_unit),
// and the data.
class script {
public:
    script(const std::uint8_t* data, std::size_t size)
        : remaining(reinterpret_cast<const char*>(data), size) {}

    bool empty() const {
        return this->remaining.size() < 2;
    }

    std::uint8_t read_byte() {
        const auto byte = static_cast<std::uint8_t>(this->remaining.front());
        this->remaining.remove_prefix(1);
        return byte;
    }

    absl::string_view read_bytes(std::size_t size) {
        const absl::string_view bytes = this->remaining.substr(0, size);
        this->remaining.remove_prefix(bytes.size());
        return bytes;
    }

private:
    absl::string_view remaining;
};

class flow_driver {
public:
    flow_driver(admission::controller& controller, support::instant now)
        : server(controller), now(now), flow({}, controller, 1, now) {}

    void run_event(script& input) {
        const auto kind = static_cast<event>(input.read_byte() % event_count);
        const std::uint8_t amount = input.read_byte();
        this->run(this->dispatch(kind, amount, input));
        for (const auto& wakeup : this->server.take_wakeups(this->now)) {
            this->run(this->flow.wait_ended(this->now, wakeup));
        }
    }

    void close_connections() {
        this->run(this->flow.caller_closed(this->now));
        if (this->is_server_open) {
            this->run(this->flow.server_closed(this->now, false));
        }
    }

    bool closed() const {
        return this->flow.closed();
    }

private:
    request::actions dispatch(event kind, std::uint8_t amount, script& input) {
        switch (kind) {
        case event::caller_bytes:
            return this->flow.caller_bytes(this->now, input.read_bytes(amount));
        case event::server_connected:
            return this->flow.server_connected(this->now);
        case event::server_failed:
            return this->flow.server_failed(this->now);
        case event::server_bytes:
            return this->flow.server_bytes(this->now, input.read_bytes(amount));
        case event::server_closed:
        case event::server_lost:
            this->is_server_open = false;
            return this->flow.server_closed(this->now,
                                            kind == event::server_closed);
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
                this->is_server_open = true;
            }
            if (std::holds_alternative<request::close_server>(action)) {
                this->is_server_open = false;
            }
        }
    }

    admission::controller& server;
    support::instant now;
    request::flow flow;
    bool is_server_open = false;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
    constexpr support::instant start{60'000};
    admission::controller controller({}, {}, {});
    flow_driver driver(controller, start);
    script input(data, size);
    while (!input.empty()) {
        driver.run_event(input);
    }
    driver.close_connections();
    const auto status = controller.status();
    if (!driver.closed() || status.running != 0 || status.waiting != 0) {
        std::abort();
    }
    return 0;
}
