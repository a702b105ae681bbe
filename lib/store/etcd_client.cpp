#include "etcd_connection.hpp"
#include "etcd_json.hpp"
#include "etcd_watch.hpp"

#include <guavastair/store.hpp>

#include <absl/strings/str_join.h>

#include <cassert>

namespace guavastair::store {

namespace {

using support::error_kind;

/// Whether a call may be retried on another endpoint after the first endpoint
/// may have received it.
enum class retry_after_send : std::uint8_t { allowed, forbidden };

struct call {
    call_kind kind;
    std::string path;
    retry_after_send retry = retry_after_send::allowed;
};

/// Converts a failed call to the caller's error.
absl::Status to_status(const call& attempted, exchange_progress progress,
                       const std::vector<std::string>& messages) {
    const std::string text = absl::StrJoin(messages, "; ");
    const bool is_unknown = progress == exchange_progress::sent &&
                            attempted.retry == retry_after_send::forbidden;
    return support::make_error(is_unknown ? error_kind::write_outcome_unknown
                                          : error_kind::store_unavailable,
                               text);
}

class etcd_client final : public client {
public:
    explicit etcd_client(const config::store_settings& at)
        : endpoints(at.endpoints), timeout(at.timeout) {
        assert(!this->endpoints.empty() &&
               "the store needs at least one endpoint");
    }

    absl::StatusOr<range_result> range(const range_request& request) override {
        const auto answer =
            this->exchange({call_kind::range, "/v3/kv/range"}, encode(request));
        if (!answer.ok()) {
            return answer.status();
        }
        return decode_range(*answer);
    }

    absl::StatusOr<write_result> write(const write_request& request) override {
        const auto answer = this->exchange(
            {call_kind::write, "/v3/kv/txn", retry_after_send::forbidden},
            encode(request));
        if (!answer.ok()) {
            return answer.status();
        }
        auto result = decode_write(*answer);
        if (!result.ok()) {
            return support::make_error(error_kind::write_outcome_unknown,
                                       result.status().message());
        }
        return result;
    }

    absl::StatusOr<lease_id> grant_lease(support::duration ttl) override {
        const auto answer =
            this->exchange({call_kind::lease_grant, "/v3/lease/grant"},
                           encode_lease_grant(ttl));
        if (!answer.ok()) {
            return answer.status();
        }
        return decode_lease_grant(*answer);
    }

    absl::Status keep_alive(lease_id lease) override {
        const auto answer =
            this->exchange({call_kind::lease_keepalive, "/v3/lease/keepalive"},
                           encode_lease_call(lease));
        if (!answer.ok()) {
            return answer.status();
        }
        const auto ttl = decode_keep_alive(*answer);
        if (!ttl.ok()) {
            return ttl.status();
        }
        if (ttl->ms <= 0) {
            return support::make_error(error_kind::not_found,
                                       "the lease has expired");
        }
        return absl::OkStatus();
    }

    absl::Status revoke(lease_id lease) override {
        return this
            ->exchange({call_kind::lease_revoke, "/v3/lease/revoke"},
                       encode_lease_call(lease))
            .status();
    }

    absl::StatusOr<std::unique_ptr<watch_stream>>
    watch(const watch_request& request) override {
        std::vector<std::string> messages;
        for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
            this->calls.count(call_kind::watch);
            exchange_failure failure;
            auto stream =
                open_etcd_watch(this->current(), request,
                                this->timeout_per_endpoint(), failure);
            if (stream != nullptr) {
                return stream;
            }
            messages.push_back(failure.message);
            this->select_next_endpoint();
        }
        return support::make_error(error_kind::store_unavailable,
                                   absl::StrJoin(messages, "; "));
    }

    const call_counters& counters() const override {
        return this->calls;
    }

private:
    absl::StatusOr<std::string> exchange(const call& attempted,
                                         const std::string& body) {
        std::vector<std::string> messages;
        for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
            this->calls.count(attempted.kind);
            etcd_connection connection(this->current());
            std::string answer;
            if (connection.exchange(attempted.path, body,
                                    this->timeout_per_endpoint(), answer)) {
                return answer;
            }
            const exchange_failure& failure = connection.failure();
            messages.push_back(failure.message);
            this->select_next_endpoint();
            const bool may_repeat =
                failure.progress == exchange_progress::not_sent ||
                (failure.progress == exchange_progress::sent &&
                 attempted.retry == retry_after_send::allowed);
            if (!may_repeat) {
                return to_status(attempted, failure.progress, messages);
            }
        }
        return to_status(attempted, exchange_progress::not_sent, messages);
    }

    /// Divides the timeout among the endpoints, so that a call that tries all
    /// of them stays within it.
    support::duration timeout_per_endpoint() const {
        return {this->timeout.ms /
                static_cast<std::int64_t>(this->endpoints.size())};
    }

    /// The endpoint that responded last, or the one after the endpoint that
    /// failed last.
    support::endpoint current() const {
        return this->endpoints[this->position % this->endpoints.size()];
    }

    void select_next_endpoint() {
        ++this->position;
    }

    std::vector<support::endpoint> endpoints;
    support::duration timeout;
    std::atomic<std::size_t> position{0};
    call_counters calls;
};

} // namespace

std::unique_ptr<client> make_etcd_client(const config::store_settings& at) {
    return std::make_unique<etcd_client>(at);
}

} // namespace guavastair::store
