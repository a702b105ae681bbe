#include "../wire/control.capnp.h"
#include "peer_server.hpp"

#include <absl/strings/str_cat.h>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <future>
#include <mutex>
#include <thread>
#include <utility>

namespace guavastair::control {

namespace {

/// Maximum number of concurrent connections; further ones are closed
/// immediately.
constexpr std::size_t max_connections = 64;
/// Maximum lifetime of a connection, regardless of activity.
constexpr auto connection_lifetime = 10 * kj::SECONDS;
/// Largest accepted request, in words of 8 bytes. A pull request has only a
/// few words.
constexpr std::uint64_t max_request_words = 4096;

struct pull_request {
    support::member_id sender;
    support::revision from;
};

} // namespace

class peer_server::impl {
public:
    impl(const wire::shared_key& key, wire::sender_identity self,
         const documents& local_documents, address_lookup address_of)
        : key(key), seal(key, self), local_documents(local_documents),
          address_of(std::move(address_of)) {}

    absl::StatusOr<pull_request> open_request(wire::byte_view request);

    /// Returns the sealed response to one sealed request.
    absl::StatusOr<wire::bytes> answer(wire::byte_view request);

    void serve(support::endpoint listen, std::promise<absl::Status> started);

    wire::shared_key key;
    wire::sealer seal;
    std::unique_ptr<wire::opener> open;
    const documents& local_documents;
    address_lookup address_of;
    std::thread thread;
    kj::Own<kj::PromiseFulfiller<void>> stopper;
    mutable std::mutex mutex;
    peer_server_counters counters;
};

namespace {

using answer_function =
    std::function<absl::StatusOr<wire::bytes>(wire::byte_view)>;

/// The RPC interface that each connection offers.
class peer_interface final : public wire::schema::Peer::Server {
public:
    explicit peer_interface(answer_function answer)
        : answer(std::move(answer)) {}

    kj::Promise<void> pull(PullContext context) override {
        const auto request = context.getParams().getSealed();
        const auto sealed = this->answer({request.begin(), request.size()});
        if (!sealed.ok()) {
            const absl::string_view why = sealed.status().message();
            return KJ_EXCEPTION(FAILED, std::string(why).c_str());
        }
        context.getResults().setSealed(
            kj::ArrayPtr<const kj::byte>(sealed->data(), sealed->size()));
        return kj::READY_NOW;
    }

private:
    answer_function answer;
};

/// One open connection.
struct connection {
    connection(kj::Own<kj::AsyncIoStream> accepted,
               capnp::Capability::Client bootstrap)
        : stream(std::move(accepted)),
          network(*this->stream, capnp::rpc::twoparty::Side::SERVER,
                  capnp::ReaderOptions{max_request_words}),
          system(capnp::makeRpcServer(this->network, std::move(bootstrap))) {}

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

/// Accepts connections until it is destroyed.
class acceptor final : private kj::TaskSet::ErrorHandler {
public:
    acceptor(kj::ConnectionReceiver& listener, kj::Timer& timer,
             capnp::Capability::Client bootstrap)
        : listener(listener), timer(timer), bootstrap(std::move(bootstrap)),
          open(*this) {}

    kj::Promise<void> run() {
        return this->listener.accept().then(
            [this](kj::Own<kj::AsyncIoStream> stream) {
                this->serve_connection(std::move(stream));
                return this->run();
            });
    }

private:
    void serve_connection(kj::Own<kj::AsyncIoStream> stream) {
        if (this->connections >= max_connections) {
            return;
        }
        ++this->connections;
        auto served = kj::heap<connection>(std::move(stream), this->bootstrap);
        auto ended = served->network.onDisconnect().exclusiveJoin(
            this->timer.afterDelay(connection_lifetime));
        auto task = ended.attach(std::move(served),
                                 kj::defer([this] { --this->connections; }));
        this->open.add(std::move(task));
    }

    void taskFailed(kj::Exception&& /*error*/) override {
        // The connection failed. The peer pulls again if it still needs
        // documents.
    }

    kj::ConnectionReceiver& listener;
    kj::Timer& timer;
    capnp::Capability::Client bootstrap;
    std::size_t connections = 0;
    kj::TaskSet open;
};

} // namespace

/// Authenticates a request and returns its sender and revision.
absl::StatusOr<pull_request>
peer_server::impl::open_request(wire::byte_view request) {
    const std::lock_guard lock(this->mutex);
    const auto opened = this->open->open(request);
    const wire::rejection_counters refused = this->open->rejections();
    this->counters.forged = refused.forged;
    this->counters.replayed = refused.replayed;
    if (!opened.ok()) {
        return opened.status();
    }
    const auto from = wire::decode_pull_request(opened->payload);
    if (opened->kind != wire::payload_kind::pull_request || !from.ok()) {
        ++this->counters.malformed;
        return support::make_error(support::error_kind::invalid_input,
                                   "not a pull request");
    }
    return pull_request{opened->sender, *from};
}

absl::StatusOr<wire::bytes> peer_server::impl::answer(wire::byte_view request) {
    const auto opened = this->open_request(request);
    if (!opened.ok()) {
        return opened.status();
    }
    const auto peer = this->address_of(opened->sender);
    if (!peer.has_value()) {
        return support::make_error(support::error_kind::not_found,
                                   "the sender is not a known member");
    }
    const wire::bytes encoded =
        wire::encode(this->local_documents.changes_since(opened->from));
    const std::lock_guard lock(this->mutex);
    ++this->counters.answered.messages;
    this->counters.answered.bytes += encoded.size() + wire::seal_size;
    return this->seal.seal(wire::payload_kind::pull_response, *peer, encoded);
}

void peer_server::impl::serve(support::endpoint listen,
                              std::promise<absl::Status> started) {
    bool is_started = false;
    try {
        auto io = kj::setupAsyncIo();
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        this->stopper = std::move(stop.fulfiller);
        const std::string address = support::to_string(listen);
        auto listener = io.provider->getNetwork()
                            .parseAddress(address.c_str())
                            .wait(io.waitScope)
                            ->listen();
        started.set_value(absl::OkStatus());
        is_started = true;
        acceptor accepting(*listener, io.provider->getTimer(),
                           kj::heap<peer_interface>([this](auto request) {
                               return this->answer(request);
                           }));
        accepting.run()
            .exclusiveJoin(std::move(stop.promise))
            .wait(io.waitScope);
    } catch (const kj::Exception& error) {
        if (!is_started) {
            started.set_value(support::make_error(
                support::error_kind::address_in_use,
                absl::StrCat("cannot listen on TCP ",
                             support::to_string(listen), ": ",
                             error.getDescription().cStr())));
        }
    }
}

peer_server::peer_server(const wire::shared_key& key,
                         wire::sender_identity self,
                         const documents& local_documents,
                         address_lookup address_of)
    : pimpl(std::make_unique<impl>(key, self, local_documents,
                                   std::move(address_of))) {}

peer_server::~peer_server() {
    this->stop();
}

absl::Status peer_server::start(support::endpoint listen) {
    this->pimpl->open =
        std::make_unique<wire::opener>(this->pimpl->key, listen);
    this->stop();
    std::promise<absl::Status> started;
    auto result = started.get_future();
    this->pimpl->thread =
        std::thread([this, listen, started = std::move(started)]() mutable {
            this->pimpl->serve(listen, std::move(started));
        });
    return result.get();
}

void peer_server::stop() {
    if (!this->pimpl->thread.joinable()) {
        return;
    }
    if (this->pimpl->stopper.get() != nullptr) {
        this->pimpl->stopper->fulfill();
    }
    this->pimpl->thread.join();
}

peer_server_counters peer_server::count() const {
    const std::lock_guard lock(this->pimpl->mutex);
    return this->pimpl->counters;
}

} // namespace guavastair::control
