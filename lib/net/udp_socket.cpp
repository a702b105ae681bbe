#include <guavastair/net.hpp>

#include <absl/strings/str_cat.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <vector>

namespace guavastair::net {

sockaddr_in to_sockaddr(support::endpoint address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    result.sin_addr.s_addr = htonl(address.address.value);
    return result;
}

static support::endpoint from_sockaddr(const sockaddr_in& address) {
    return {{ntohl(address.sin_addr.s_addr)}, ntohs(address.sin_port)};
}

namespace {

/// Buffer of one received datagram.
struct receive_slot {
    std::array<std::byte, max_datagram_size> bytes;
    sockaddr_in peer;
    iovec part;
};

/// A queued datagram. The head is copied into `bytes`; the payload may point to
/// memory of the caller.
struct send_slot {
    std::array<std::byte, max_datagram_size> bytes;
    sockaddr_in peer;
    std::array<iovec, 2> parts;
};

} // namespace

struct udp_socket::implementation {
    implementation(int socket_descriptor, std::size_t batch);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void prepare_receive();
    send_slot& next_send_slot(support::endpoint to);
    void add_received(std::size_t index);
    void send_queued();

    int descriptor;
    support::endpoint local;
    udp_counters counters;

    std::vector<receive_slot> receive_slots;
    std::vector<mmsghdr> receive_headers;
    std::vector<datagram> received;

    std::vector<send_slot> send_slots;
    std::vector<mmsghdr> send_headers;
    std::size_t queued = 0;
};

udp_socket::implementation::implementation(int socket_descriptor,
                                           std::size_t batch)
    : descriptor(socket_descriptor), receive_slots(batch),
      receive_headers(batch), send_slots(batch), send_headers(batch) {
    this->received.reserve(batch);
    for (std::size_t i = 0; i < batch; ++i) {
        receive_slot& in = this->receive_slots[i];
        in.part = {in.bytes.data(), in.bytes.size()};
        this->receive_headers[i].msg_hdr.msg_name = &in.peer;
        this->receive_headers[i].msg_hdr.msg_iov = &in.part;
        this->receive_headers[i].msg_hdr.msg_iovlen = 1;
        send_slot& out = this->send_slots[i];
        this->send_headers[i].msg_hdr.msg_name = &out.peer;
        this->send_headers[i].msg_hdr.msg_namelen = sizeof out.peer;
        this->send_headers[i].msg_hdr.msg_iov = out.parts.data();
    }
}

udp_socket::implementation::~implementation() {
    close(this->descriptor);
}

void udp_socket::implementation::prepare_receive() {
    for (mmsghdr& header : this->receive_headers) {
        header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

void udp_socket::implementation::add_received(std::size_t index) {
    const mmsghdr& header = this->receive_headers[index];
    if ((header.msg_hdr.msg_flags & MSG_TRUNC) != 0) {
        ++this->counters.truncated;
        return;
    }
    const receive_slot& slot = this->receive_slots[index];
    this->received.push_back({from_sockaddr(slot.peer),
                              std::span(slot.bytes).first(header.msg_len)});
}

send_slot& udp_socket::implementation::next_send_slot(support::endpoint to) {
    if (this->queued == this->send_slots.size()) {
        this->send_queued();
    }
    send_slot& slot = this->send_slots[this->queued];
    slot.peer = to_sockaddr(to);
    ++this->queued;
    return slot;
}

void udp_socket::implementation::send_queued() {
    std::size_t done = 0;
    while (done < this->queued) {
        const auto left = static_cast<unsigned>(this->queued - done);
        const int sent = sendmmsg(this->descriptor, &this->send_headers[done],
                                  left, MSG_DONTWAIT);
        if (sent > 0) {
            ++this->counters.send_calls;
            this->counters.sent += static_cast<std::uint64_t>(sent);
            done += static_cast<std::size_t>(sent);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno == EAGAIN || errno == ENOBUFS) {
            this->counters.send_overflow += left;
            break;
        }
        // The error belongs to the first datagram. Often it reports an earlier
        // ICMP error.
        ++this->counters.send_failed;
        ++done;
    }
    this->queued = 0;
}

static absl::Status bind_error(support::endpoint local, int error) {
    const auto kind = error == EADDRINUSE ? support::error_kind::address_in_use
                                          : support::error_kind::invalid_input;
    return support::make_error(kind, absl::StrCat("cannot bind UDP address ",
                                                  support::to_string(local),
                                                  ": ", std::strerror(error)));
}

absl::StatusOr<udp_socket> udp_socket::open(const udp_options& options) {
    assert(options.batch > 0 && "a batch holds at least one datagram");
    const int socket_descriptor =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket_descriptor < 0) {
        return support::make_error(
            support::error_kind::internal,
            absl::StrCat("cannot open a UDP socket: ", std::strerror(errno)));
    }
    auto state =
        std::make_unique<implementation>(socket_descriptor, options.batch);
    const int size = options.kernel_buffer_size;
    setsockopt(socket_descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    setsockopt(socket_descriptor, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
    sockaddr_in address = to_sockaddr(options.local);
    socklen_t address_size = sizeof address;
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(socket_descriptor, generic, address_size) != 0) {
        return bind_error(options.local, errno);
    }
    getsockname(socket_descriptor, generic, &address_size);
    state->local = from_sockaddr(address);
    return udp_socket(std::move(state));
}

udp_socket::udp_socket(std::unique_ptr<implementation> state)
    : self(std::move(state)) {}

udp_socket::udp_socket(udp_socket&&) noexcept = default;
udp_socket& udp_socket::operator=(udp_socket&&) noexcept = default;
udp_socket::~udp_socket() = default;

int udp_socket::descriptor() const {
    return this->self->descriptor;
}

support::endpoint udp_socket::local() const {
    return this->self->local;
}

std::span<const datagram> udp_socket::receive() {
    this->flush();
    this->self->received.clear();
    this->self->prepare_receive();
    const int count =
        recvmmsg(this->self->descriptor, this->self->receive_headers.data(),
                 static_cast<unsigned>(this->self->receive_headers.size()),
                 MSG_DONTWAIT, nullptr);
    if (count <= 0) {
        return {};
    }
    ++this->self->counters.receive_calls;
    this->self->counters.received += static_cast<std::uint64_t>(count);
    for (int i = 0; i < count; ++i) {
        this->self->add_received(static_cast<std::size_t>(i));
    }
    return this->self->received;
}

void udp_socket::queue(support::endpoint to, std::span<const std::byte> head,
                       std::span<const std::byte> payload) {
    assert(head.size() <= max_head_size && "head larger than max_head_size");
    send_slot& slot = this->self->next_send_slot(to);
    std::ranges::copy(head, slot.bytes.begin());
    slot.parts[0] = {slot.bytes.data(), head.size()};
    // iovec has no const form; the kernel only reads the payload.
    slot.parts[1] = {const_cast<std::byte*>(payload.data()), payload.size()};
    this->self->send_headers[this->self->queued - 1].msg_hdr.msg_iovlen = 2;
}

void udp_socket::queue_copy(support::endpoint to,
                            std::span<const std::byte> bytes) {
    assert(bytes.size() <= max_datagram_size &&
           "datagram larger than max_datagram_size");
    send_slot& slot = this->self->next_send_slot(to);
    std::ranges::copy(bytes, slot.bytes.begin());
    slot.parts[0] = {slot.bytes.data(), bytes.size()};
    this->self->send_headers[this->self->queued - 1].msg_hdr.msg_iovlen = 1;
}

void udp_socket::flush() {
    if (this->self->queued > 0) {
        this->self->send_queued();
    }
}

const udp_counters& udp_socket::counters() const {
    return this->self->counters;
}

} // namespace guavastair::net
