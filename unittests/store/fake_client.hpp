/// A client of an in-memory store with the failure modes of the real one. The
/// test chooses the failure of each call.

#ifndef GUAVASTAIR_UNITTESTS_STORE_FAKE_CLIENT_HPP
#define GUAVASTAIR_UNITTESTS_STORE_FAKE_CLIENT_HPP

#include <guavastair/store.hpp>

#include <store_memory.hpp>

#include <functional>

namespace guavastair::store {

/// The outcome of one call.
enum class call_fate : std::uint8_t {
    answered,
    /// The request was not sent.
    not_sent,
    /// A write never takes effect, and there is no response.
    request_lost,
    /// A write takes effect, and there is no response.
    answer_lost,
    /// A write takes effect later, and there is no response.
    delayed,
};

class fake_client final : public client {
public:
    /// Called before each call; returns its outcome, and may make calls of
    /// other clients first.
    std::function<call_fate(call_kind)> decide;

    absl::StatusOr<range_result> range(const range_request& request) override {
        if (this->next_fate(call_kind::range) != call_fate::answered) {
            return unavailable();
        }
        return this->store.range(range_of(request.key, request.is_prefix),
                                 request.min_mod_revision);
    }

    absl::StatusOr<write_result> write(const write_request& request) override {
        switch (this->next_fate(call_kind::write)) {
        case call_fate::answered:
            return this->run(request);
        case call_fate::not_sent:
            return unavailable();
        case call_fate::request_lost:
            break;
        case call_fate::answer_lost:
            this->run(request);
            break;
        case call_fate::delayed:
            this->delayed.push_back(request);
            break;
        }
        return support::make_error(support::error_kind::write_outcome_unknown,
                                   "lost");
    }

    absl::StatusOr<lease_id> grant_lease(support::duration) override {
        return unavailable();
    }

    absl::Status keep_alive(lease_id) override {
        return unavailable();
    }

    absl::Status revoke(lease_id) override {
        return unavailable();
    }

    absl::StatusOr<std::unique_ptr<watch_stream>>
    watch(const watch_request&) override {
        return unavailable();
    }

    const call_counters& counters() const override {
        return this->calls;
    }

    /// Applies the delayed writes.
    void run_delayed_writes() {
        for (const write_request& request : std::exchange(this->delayed, {})) {
            this->run(request);
        }
    }

    /// All values written so far, in order.
    const std::vector<key_value>& written() const {
        return this->log;
    }

private:
    static absl::Status unavailable() {
        return support::make_error(support::error_kind::store_unavailable,
                                   "away");
    }

    static standin::key_range range_of(const std::string& key, bool is_prefix) {
        return {key, is_prefix ? key + "\x7f" : ""};
    }

    call_fate next_fate(call_kind kind) {
        this->calls.count(kind);
        return this->decide ? this->decide(kind) : call_fate::answered;
    }

    write_result run(const write_request& request) {
        standin::transaction sent;
        for (const condition& item : request.conditions) {
            sent.comparisons.push_back(
                {range_of(item.key, item.is_prefix), item.kind, item.revision});
        }
        sent.operations = request.operations;
        for (const operation& item : request.operations) {
            sent.reads_if_failed.push_back(range_of(item.key, false));
        }
        const auto done = this->store.run(sent);
        write_result result{done.succeeded, done.revision, {}};
        for (const auto& entries : done.reads) {
            result.current.insert(result.current.end(), entries.begin(),
                                  entries.end());
        }
        if (done.succeeded) {
            for (const operation& item : request.operations) {
                this->log.push_back({item.key, item.value, {}, done.revision});
            }
        }
        return result;
    }

    support::manual_clock clock;
    standin::memory_store store{clock};
    call_counters calls;
    std::vector<write_request> delayed;
    std::vector<key_value> log;
};

} // namespace guavastair::store

#endif
