#include "control_plane_impl.hpp"
#include "socket_address.hpp"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <array>

namespace guavastair::control {

namespace {

constexpr std::size_t receive_buffer_size = 2048;
constexpr int max_datagrams_at_once = 64;

} // namespace

/// Handles the datagrams that are ready, at most max_datagrams_at_once so that
/// timers are not delayed.
void control_plane::impl::receive_datagrams() {
    const std::lock_guard lock(this->mutex);
    for (int i = 0; i < max_datagrams_at_once; ++i) {
        if (!this->socket.poll(Poco::Timespan(0),
                               Poco::Net::Socket::SELECT_READ)) {
            return;
        }
        std::array<std::uint8_t, receive_buffer_size> buffer{};
        Poco::Net::SocketAddress from;
        try {
            const int size = this->socket.receiveFrom(
                buffer.data(), static_cast<int>(buffer.size()), from);
            if (size > 0) {
                const auto count = static_cast<std::size_t>(size);
                this->handle_datagram(wire::byte_view(buffer).first(count),
                                      from_poco(from));
            }
        } catch (const Poco::Exception&) {
            // Reports an earlier datagram that could not be delivered. Probes
            // detect an unreachable member.
            continue;
        }
    }
}

void control_plane::impl::handle_datagram(wire::byte_view datagram,
                                          support::endpoint from) {
    const auto opened = this->open->open(datagram);
    if (!opened.ok()) {
        return;
    }
    const auto body = wire::decode_membership(opened->payload);
    if (opened->kind != wire::payload_kind::membership || !body.ok() ||
        body->sender != opened->sender) {
        ++this->counts.malformed;
        return;
    }
    traffic& kind = this->counts.received[static_cast<std::size_t>(body->kind)];
    ++kind.messages;
    kind.bytes += datagram.size();
    const support::endpoint sender = this->sender_address(*body, from);
    this->execute(this->members->receive(this->time.now(), sender, *body));
    this->pull_if_behind(*body, sender);
}

/// Returns the address for responses: the one in the sender's record, which is
/// authenticated, or the datagram's source address if there is no record.
support::endpoint
control_plane::impl::sender_address(const membership::message& body,
                                    support::endpoint from) const {
    for (const membership::node_record& record : body.records) {
        if (record.id == body.sender) {
            return record.control;
        }
    }
    const auto view = this->members->find(body.sender);
    return view.has_value() ? view->record.control : from;
}

void control_plane::impl::pull_if_behind(const membership::message& body,
                                         support::endpoint sender) {
    const support::revision own = this->local_documents.complete_up_to();
    if (body.revision > own) {
        this->pull->pull(sender, own);
    }
}

void control_plane::impl::execute(
    const std::vector<membership::action>& actions) {
    for (const membership::action& item : actions) {
        if (const auto* sent = std::get_if<membership::send_message>(&item)) {
            this->transmit(*sent);
            continue;
        }
        this->is_dirty = true;
        this->unreported_actions.push_back(item);
    }
}

void control_plane::impl::transmit(const membership::send_message& sent) {
    const wire::bytes sealed = this->seal->seal(
        wire::payload_kind::membership, sent.to, wire::encode(sent.body));
    traffic& kind = this->counts.sent[static_cast<std::size_t>(sent.body.kind)];
    ++kind.messages;
    kind.bytes += sealed.size();
    try {
        this->socket.sendTo(sealed.data(), static_cast<int>(sealed.size()),
                            to_poco(sent.to));
    } catch (const Poco::Exception&) {
        // The protocol tolerates lost datagrams.
        ++this->counts.failed_sends;
    }
}

} // namespace guavastair::control
