#include "../wire/control.capnp.h"
#include "puller.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace guavastair::control {

namespace {

/// Time limit of one pull, including connecting.
constexpr auto pull_timeout = 3 * kj::SECONDS;

struct pull_job {
    support::endpoint peer;
    support::revision from;
};

} // namespace

class puller::impl {
public:
    impl(const wire::shared_key& key, wire::sender_identity self,
         support::endpoint address, callback deliver)
        : seal(key, self), open(key, address), deliver(std::move(deliver)),
          thread([this] { this->run(); }) {}

    void stop() {
        if (!this->thread.joinable()) {
            return;
        }
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
            if (this->stopper.get() != nullptr) {
                this->stopper->fulfill();
            }
        }
        this->wake.notify_all();
        this->thread.join();
    }

    void run();
    std::optional<pull_job> next_job();
    absl::StatusOr<config::change_set> execute(kj::AsyncIoContext& io,
                                               const pull_job& wanted);

    wire::sealer seal;
    wire::opener open;
    callback deliver;
    mutable std::mutex mutex;
    std::condition_variable wake;
    std::optional<pull_job> queued;
    bool is_busy = false;
    bool stopping = false;
    puller_counters counters;
    kj::Own<kj::PromiseFulfiller<void>> stopper;
    /// Last, so that the thread starts after the other members are
    /// initialised.
    std::thread thread;
};

std::optional<pull_job> puller::impl::next_job() {
    std::unique_lock lock(this->mutex);
    this->is_busy = false;
    this->wake.wait(
        lock, [this] { return this->stopping || this->queued.has_value(); });
    if (this->stopping) {
        return std::nullopt;
    }
    this->is_busy = true;
    return std::exchange(this->queued, std::nullopt);
}

void puller::impl::run() {
    auto io = kj::setupAsyncIo();
    while (const std::optional<pull_job> wanted = this->next_job()) {
        const auto changes = this->execute(io, *wanted);
        {
            const std::lock_guard lock(this->mutex);
            this->counters.failed += changes.ok() ? 0 : 1;
        }
        if (changes.ok()) {
            this->deliver(*changes);
        }
    }
}

absl::StatusOr<config::change_set>
puller::impl::execute(kj::AsyncIoContext& io, const pull_job& wanted) {
    const wire::bytes request =
        this->seal.seal(wire::payload_kind::pull_request, wanted.peer,
                        wire::encode_pull_request(wanted.from));
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
        const std::lock_guard lock(this->mutex);
        this->stopper = std::move(stop.fulfiller);
    }
    auto cancelled_or_timed_out = stop.promise.exclusiveJoin(
        io.provider->getTimer().afterDelay(pull_timeout));
    // A single promise covers all waiting steps, so that the time limit applies
    // to their sum.
    auto limit = cancelled_or_timed_out.then([]() -> kj::Promise<wire::bytes> {
        return KJ_EXCEPTION(OVERLOADED, "pull cancelled or timed out");
    });
    wire::bytes sealed;
    try {
        const std::string address = support::to_string(wanted.peer);
        auto answered =
            io.provider->getNetwork()
                .parseAddress(address.c_str())
                .then([](kj::Own<kj::NetworkAddress> target) {
                    return target->connect().attach(std::move(target));
                })
                .then([&request](kj::Own<kj::AsyncIoStream> stream) {
                    auto client = kj::heap<capnp::TwoPartyClient>(*stream);
                    auto peer =
                        client->bootstrap().castAs<wire::schema::Peer>();
                    auto pull_call = peer.pullRequest();
                    pull_call.setSealed(kj::ArrayPtr<const kj::byte>(
                        request.data(), request.size()));
                    return pull_call.send()
                        .then([](auto&& answer) {
                            const auto data = answer.getSealed();
                            return wire::bytes(data.begin(), data.end());
                        })
                        .attach(std::move(peer), std::move(client),
                                std::move(stream));
                });
        sealed = answered.exclusiveJoin(std::move(limit)).wait(io.waitScope);
    } catch (const kj::Exception& error) {
        return support::make_error(support::error_kind::peer_unreachable,
                                   error.getDescription().cStr());
    }
    {
        const std::lock_guard lock(this->mutex);
        ++this->counters.received.messages;
        this->counters.received.bytes += sealed.size();
    }
    const auto opened = this->open.open(sealed);
    if (!opened.ok()) {
        return opened.status();
    }
    if (opened->kind != wire::payload_kind::pull_response) {
        return support::make_error(support::error_kind::invalid_input,
                                   "not a response to a pull");
    }
    return wire::decode_change_set(opened->payload);
}

puller::puller(const wire::shared_key& key, wire::sender_identity self,
               support::endpoint address, callback deliver)
    : pimpl(std::make_unique<impl>(key, self, address, std::move(deliver))) {}

puller::~puller() {
    this->stop();
}

void puller::stop() {
    this->pimpl->stop();
}

bool puller::pull(support::endpoint peer, support::revision from) {
    {
        const std::lock_guard lock(this->pimpl->mutex);
        if (this->pimpl->is_busy || this->pimpl->queued.has_value()) {
            return false;
        }
        this->pimpl->queued = pull_job{peer, from};
    }
    this->pimpl->wake.notify_one();
    return true;
}

puller_counters puller::count() const {
    const std::lock_guard lock(this->pimpl->mutex);
    return this->pimpl->counters;
}

} // namespace guavastair::control
