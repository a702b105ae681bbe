#include "flow_session.hpp"

#include <utility>

namespace guavastair::agent {

flow_session::flow_session(session_host& shared, net::tcp_connection& opened)
    : host(shared), connection(&opened), server(shared.loop, *this),
      peer(opened.peer()) {}

void flow_session::wait_ended(const admission::wakeup&) {}

void flow_session::forget(flow_end end) {
    this->connection = nullptr;
    this->host.forget(*this, end);
}

void flow_session::finish() {
    this->connection->close();
    this->server.close(false);
    this->forget(flow_end::finished);
}

void flow_session::reset_caller(flow_end end) {
    this->connection->abort();
    this->server.close(true);
    this->forget(end);
}

void flow_session::cut() {
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
    this->forget(flow_end::caller_lost);
}

} // namespace guavastair::agent
