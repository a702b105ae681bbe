#include "etcd_json.hpp"
#include "etcd_watch.hpp"

#include <Poco/Exception.h>

namespace guavastair::store {

namespace {

/// Receive timeout of a watch. The watcher detects a watch that has stopped
/// reporting by its periodic reads; this is only an upper bound.
constexpr int max_silence_s = 3600;

class etcd_watch final : public watch_stream {
public:
    explicit etcd_watch(support::endpoint at) : connection(at) {}

    bool open(const watch_request& request, support::duration timeout,
              exchange_failure& failure) {
        this->messages =
            this->connection.post("/v3/watch", encode(request), timeout);
        if (this->messages == nullptr) {
            failure = this->connection.failure();
            return false;
        }
        this->socket = this->connection.socket();
        this->socket.setReceiveTimeout(Poco::Timespan(max_silence_s, 0));
        return true;
    }

    absl::StatusOr<watch_message> next() override {
        std::string line;
        try {
            std::getline(*this->messages, line);
        } catch (const Poco::Exception&) {
            line.clear();
        }
        if (this->is_cancelled) {
            return support::make_error(support::error_kind::cancelled,
                                       "the watch was cancelled");
        }
        if (line.empty()) {
            return support::make_error(support::error_kind::store_unavailable,
                                       "the store closed the watch");
        }
        return decode_watch(line);
    }

    void cancel() override {
        this->is_cancelled = true;
        try {
            this->socket.shutdown();
        } catch (const Poco::Exception&) {
            // The connection is already closed.
        }
    }

private:
    etcd_connection connection;
    std::istream* messages = nullptr;
    Poco::Net::StreamSocket socket;
    std::atomic<bool> is_cancelled{false};
};

} // namespace

std::unique_ptr<watch_stream> open_etcd_watch(support::endpoint at,
                                              const watch_request& request,
                                              support::duration timeout,
                                              exchange_failure& failure) {
    auto stream = std::make_unique<etcd_watch>(at);
    if (!stream->open(request, timeout, failure)) {
        return nullptr;
    }
    return stream;
}

} // namespace guavastair::store
