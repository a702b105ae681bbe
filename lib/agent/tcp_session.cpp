#include "flow_session.hpp"

#include <algorithm>
#include <vector>

namespace guavastair::agent {

namespace {

/// Relays opaque bytes. Bytes for which one side has no buffer space stay
/// unread on the other side.
class tcp_session final : public flow_session {
public:
    tcp_session(session_host& shared, net::tcp_connection& opened)
        : flow_session(shared, opened) {
        this->server.connect(shared.options.server,
                             shared.options.connect_timeout);
    }

    void drain() override {
        // The agent cannot tell at which point an opaque stream may be closed.
    }

    void on_readable(net::tcp_connection&) override {
        if (this->is_server_connected) {
            this->relay_to_server();
        }
    }

    void on_writable(net::tcp_connection&) override {
        if (this->is_server_connected && !this->has_server_ended) {
            this->relay_to_caller();
        }
    }

    void on_end(net::tcp_connection&) override {
        this->has_caller_ended = true;
        if (this->is_server_connected) {
            this->forward_caller_end();
        }
    }

    void on_server_connected() override {
        this->is_server_connected = true;
        this->server.want_readable(true);
        this->relay_to_server();
        if (!this->is_over() && this->has_caller_ended) {
            this->forward_caller_end();
        }
    }

    void on_server_unreachable() override {
        this->reset_caller(flow_end::server_unreachable);
    }

    void on_server_readable() override {
        this->relay_to_caller();
    }

    void on_server_writable() override {
        this->relay_to_server();
    }

protected:
    void abandon() override {}

private:
    void forward_caller_end() {
        this->server.shutdown_write();
        if (this->has_server_ended) {
            this->finish();
        }
    }

    void relay_to_server() {
        for (auto bytes = this->connection->peek(); !bytes.empty();
             bytes = this->connection->peek()) {
            const server_write written = this->server.write(bytes);
            if (written.lost) {
                this->reset_caller(flow_end::server_lost);
                return;
            }
            this->connection->consume(written.size);
            this->host.counters.bytes_to_server += written.size;
            if (written.size < bytes.size()) {
                return;
            }
        }
    }

    /// Writes bytes to the caller that an earlier call could not write. Returns
    /// true if none are left.
    bool send_pending() {
        const std::size_t accepted_size =
            this->connection->write(this->caller_send_buffer);
        this->caller_send_buffer.erase(
            this->caller_send_buffer.begin(),
            this->caller_send_buffer.begin() +
                static_cast<std::ptrdiff_t>(accepted_size));
        return this->caller_send_buffer.empty();
    }

    void relay_to_caller() {
        while (this->send_pending()) {
            const std::size_t room = std::min(this->connection->writable_size(),
                                              this->host.scratch.size());
            if (room == 0) {
                break;
            }
            const auto part = this->host.scratch.first(room);
            const server_read got = this->server.read(part);
            if (got.result != server_read::state::bytes) {
                this->handle_failed_read(got.result);
                return;
            }
            this->write_to_caller(part.first(got.size));
        }
        // No send buffer space is left; on_writable continues.
        this->server.want_readable(false);
    }

    void write_to_caller(std::span<const std::byte> bytes) {
        this->host.counters.bytes_to_caller += bytes.size();
        const std::size_t accepted_size = this->connection->write(bytes);
        const auto rest = bytes.subspan(accepted_size);
        this->caller_send_buffer.assign(rest.begin(), rest.end());
    }

    void handle_failed_read(server_read::state result) {
        if (result == server_read::state::would_block) {
            this->server.want_readable(true);
            return;
        }
        if (result == server_read::state::lost) {
            this->reset_caller(flow_end::server_lost);
            return;
        }
        this->has_server_ended = true;
        this->server.want_readable(false);
        this->connection->shutdown_write();
        if (this->has_caller_ended) {
            this->finish();
        }
    }

    bool is_server_connected = false;
    bool has_caller_ended = false;
    bool has_server_ended = false;
    /// Bytes from the server that the caller's connection has not accepted yet.
    std::vector<std::byte> caller_send_buffer;
};

} // namespace

std::unique_ptr<flow_session>
make_tcp_session(session_host& shared, net::tcp_connection& connection) {
    return std::make_unique<tcp_session>(shared, connection);
}

} // namespace guavastair::agent
