#include "flow_session.hpp"

#include <utility>

namespace guavastair::agent {

flow_session::flow_session(session_host& shared, net::tcp_connection& opened)
    : host(shared), connection(&opened), server(shared.loop, *this),
      peer(opened.peer()) {}

void flow_session::wait_ended(const admission::wakeup&) {}

void flow_session::remove_session(flow_end end) {
    this->connection = nullptr;
    this->host.remove_session(*this, end);
}

void flow_session::finish() {
    this->connection->close();
    this->server.close(false);
    this->remove_session(flow_end::finished);
}

void flow_session::reset_caller(flow_end end) {
    this->connection->abort();
    this->server.close(true);
    this->remove_session(end);
}

void flow_session::reset_for_stop() {
    if (this->is_over()) {
        return;
    }
    this->abandon();
    if (!this->is_over()) {
        this->reset_caller(flow_end::stopped);
    }
}

void flow_session::on_failed(net::tcp_connection&, const absl::Status&) {
    this->connection = nullptr;
    this->abandon();
    this->server.close(true);
    this->remove_session(flow_end::caller_lost);
}

} // namespace guavastair::agent
