#include "flow_session.hpp"

#include <guavastair/request.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace guavastair::agent {

static absl::string_view as_text(std::span<const std::byte> bytes) {
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

static std::span<const std::byte> as_bytes(absl::string_view text) {
    return std::as_bytes(std::span(text.data(), text.size()));
}

namespace {

/// Executes the actions of one request::flow.
class http_session final : public flow_session {
public:
    http_session(session_host& shared, net::tcp_connection& opened,
                 std::uint64_t owner)
        : flow_session(shared, opened),
          engine(shared.options.requests, shared.admission, owner,
                 shared.loop.now()) {}

    ~http_session() override {
        this->host.loop.cancel(this->timer);
    }

    void drain() override {
        this->apply(this->engine.drain(this->now()));
    }

    void wait_ended(const admission::wakeup& wake) override {
        this->apply(this->engine.wait_ended(this->now(), wake));
    }

    void on_readable(net::tcp_connection&) override {
        this->read_caller();
    }

    void on_writable(net::tcp_connection&) override {
        this->send_pending_to_caller();
    }

    void on_end(net::tcp_connection&) override {
        this->apply(this->engine.caller_closed(this->now()));
    }

    void on_server_connected() override {
        this->server.want_readable(true);
        this->apply(this->engine.server_connected(this->now()));
    }

    void on_server_unreachable() override {
        ++this->host.counters.server_failures;
        this->apply(this->engine.server_failed(this->now()));
    }

    void on_server_readable() override {
        this->read_server();
    }

    void on_server_writable() override {
        const std::string rest = std::exchange(this->server_send_buffer, {});
        this->send_to_server(rest);
        this->process_pending();
    }

protected:
    void abandon() override {
        // The controller must be notified of the end. Of the actions only
        // decisions are executed, because no caller is left.
        for (const request::action& item :
             this->engine.caller_closed(this->now())) {
            this->report(item);
        }
        this->host.deliver_wakeups();
    }

private:
    support::instant now() const {
        return this->host.loop.now();
    }

    /// Executes `pending_actions`, then continues the work that waited for
    /// them.
    void apply(const request::actions& pending_actions) {
        for (const request::action& item : pending_actions) {
            if (!this->is_over()) {
                std::visit([this](const auto& one) { this->execute(one); },
                           item);
            }
        }
        this->process_pending();
        this->host.deliver_wakeups();
    }

    void report(const request::action& item) {
        if (const auto* const what = std::get_if<request::decision>(&item)) {
            this->execute(*what);
        }
    }

    void execute(const request::connect_server&) {
        this->server.connect(this->host.options.server,
                             this->host.options.connect_timeout);
    }

    void execute(const request::send_to_server& what) {
        this->send_to_server(what.bytes);
    }

    void execute(const request::close_server& what) {
        this->server_send_buffer.clear();
        this->server_lost = false;
        this->server.close(what.cancel);
    }

    void execute(const request::send_to_caller& what) {
        this->host.counters.bytes_to_caller += what.bytes.size();
        this->caller_send_buffer += what.bytes;
        this->send_pending_to_caller();
    }

    void execute(const request::close_caller& what) {
        if (what.reset) {
            this->reset_caller(flow_end::server_lost);
            return;
        }
        this->is_closing = true;
        this->send_pending_to_caller();
    }

    void execute(const request::set_timer& what) {
        this->host.loop.cancel(this->timer);
        const support::duration delay =
            std::max(what.at - this->now(), support::duration{});
        this->timer = this->host.loop.call_after(delay, [this] {
            if (!this->is_over()) {
                this->apply(this->engine.timer(this->now()));
            }
        });
    }

    void execute(const request::stop_timer&) {
        this->host.loop.cancel(this->timer);
    }

    void execute(const request::decision& what) {
        this->host.observer.on_request(this->caller(), what);
    }

    void send_to_server(absl::string_view bytes) {
        if (!this->server_send_buffer.empty()) {
            this->server_send_buffer.append(bytes.data(), bytes.size());
            return;
        }
        const server_write written = this->server.write(as_bytes(bytes));
        this->server_lost |= written.lost;
        this->host.counters.bytes_to_server += written.size;
        const absl::string_view rest = bytes.substr(written.size);
        this->server_send_buffer.assign(rest.data(), rest.size());
    }

    void send_pending_to_caller() {
        if (this->is_over()) {
            return;
        }
        std::size_t written_size = 0;
        while (written_size < this->caller_send_buffer.size()) {
            const auto rest =
                as_bytes(this->caller_send_buffer).subspan(written_size);
            const std::size_t size = this->connection->write(rest);
            if (size == 0) {
                break;
            }
            written_size += size;
        }
        this->caller_send_buffer.erase(0, written_size);
        if (!this->caller_send_buffer.empty()) {
            return;
        }
        if (this->is_closing) {
            this->finish();
            return;
        }
        if (std::exchange(this->is_server_paused, false)) {
            this->server.want_readable(true);
        }
    }

    void read_server() {
        if (!this->caller_send_buffer.empty()) {
            this->is_server_paused = true;
            this->server.want_readable(false);
            return;
        }
        const server_read got = this->server.read(this->host.scratch);
        switch (got.result) {
        case server_read::state::bytes:
            this->apply(this->engine.server_bytes(
                this->now(), as_text(this->host.scratch.first(got.size))));
            return;
        case server_read::state::would_block:
            return;
        case server_read::state::end:
            this->handle_server_closed(true);
            return;
        case server_read::state::lost:
            this->handle_server_closed(false);
            return;
        }
    }

    void handle_server_closed(bool clean) {
        this->server_send_buffer.clear();
        this->server.close(false);
        this->apply(this->engine.server_closed(this->now(), clean));
    }

    bool may_read_caller() const {
        return !this->is_over() && !this->is_closing &&
               this->server_send_buffer.empty() &&
               this->engine.wants_caller_bytes();
    }

    void read_caller() {
        // process_pending() reads, so that executions of actions never nest.
        this->process_pending();
    }

    /// Reports a lost server connection and reads the caller's bytes, as long
    /// as the session can process them.
    void process_pending() {
        if (std::exchange(this->is_processing_pending, true)) {
            return;
        }
        while (!this->is_over() && this->process_pending_once()) {
        }
        // The engine does not request a close when the caller has disconnected.
        if (!this->is_over() && !this->is_closing && this->engine.closed()) {
            this->finish();
        }
        this->is_processing_pending = false;
    }

    bool process_pending_once() {
        if (std::exchange(this->server_lost, false)) {
            this->handle_server_closed(false);
            return true;
        }
        if (!this->may_read_caller()) {
            return false;
        }
        const auto bytes = this->connection->peek();
        if (bytes.empty()) {
            return false;
        }
        const request::actions pending_actions =
            this->engine.caller_bytes(this->now(), as_text(bytes));
        this->connection->consume(bytes.size());
        this->apply(pending_actions);
        return true;
    }

    request::flow engine;
    net::timer_id timer;
    /// Bytes that the connections have not accepted yet.
    std::string server_send_buffer;
    std::string caller_send_buffer;
    bool is_server_paused = false;
    bool server_lost = false;
    bool is_closing = false;
    bool is_processing_pending = false;
};

} // namespace

std::unique_ptr<flow_session> make_http_session(session_host& shared,
                                                net::tcp_connection& connection,
                                                std::uint64_t owner) {
    return std::make_unique<http_session>(shared, connection, owner);
}

} // namespace guavastair::agent
