#include "fake_client.hpp"

#include <guavastair/store.hpp>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

namespace config = guavastair::config;
namespace store = guavastair::store;
namespace support = guavastair::support;

using store::call_fate;
using support::error_kind;

namespace {

config::service_document make_service(int name, int address,
                                      std::uint32_t slots) {
    config::service_document result;
    result.name.value = absl::StrCat("s", name);
    result.address = {{0x0a000000}, static_cast<std::uint16_t>(address + 1)};
    result.slots = slots;
    return result;
}

store::editor make_editor(store::client& client, std::uint64_t seed) {
    return {client, {}, std::mt19937_64(seed), [](support::duration) {}};
}

/// One edit by an operator, and the outcome reported to the operator.
struct edit_attempt {
    /// Text that only this edit writes.
    std::string marker;
    std::string key;
    support::revision base;
    absl::StatusOr<store::accepted_edit> answer;
};

/// Operators who edit concurrently on a store that loses requests and
/// responses.
struct race {
    static constexpr int services = 2;
    static constexpr int addresses = 3;
    static constexpr int max_depth = 3;
    static constexpr int max_edits = 25;

    store::fake_client client;
    std::vector<edit_attempt> edits;
    int depth = 0;
    std::uint32_t next_marker = 1;

    race() {
        this->client.decide = [this](store::call_kind) {
            return this->draw_call_fate();
        };
    }

    /// Runs other edits and delayed writes in the middle of an edit.
    call_fate draw_call_fate() {
        const int dice = *rc::gen::inRange(0, 12);
        if (dice == 0) {
            this->client.run_delayed_writes();
        }
        if (dice <= 3 && this->depth < max_depth &&
            this->next_marker < max_edits) {
            this->edit_once();
        }
        return *rc::gen::weightedElement<call_fate>(
            {{10, call_fate::answered},
             {1, call_fate::not_sent},
             {2, call_fate::request_lost},
             {2, call_fate::answer_lost},
             {2, call_fate::delayed}});
    }

    void edit_once() {
        ++this->depth;
        const std::uint32_t marker = this->next_marker++;
        const int name = *rc::gen::inRange(0, services);
        const auto document =
            make_service(name, *rc::gen::inRange(0, addresses), marker);
        const std::string key = config::to_store_key(
            {config::document_kind::service, document.name.value});
        const support::revision base = this->base_of(key);
        store::editor editor = make_editor(this->client, marker);
        auto answer = editor.put(document, base);
        this->edits.push_back({absl::StrCat("\"slots\":", marker, ","), key,
                               base, std::move(answer)});
        --this->depth;
    }

    /// A revision that an operator may have read; sometimes a stale one.
    support::revision base_of(const std::string& key) {
        std::vector<support::revision> known{{0}};
        for (const store::key_value& entry : this->client.written()) {
            if (entry.key == key) {
                known.push_back(entry.mod_revision);
            }
        }
        return *rc::gen::inRange(0, 4) == 0 ? *rc::gen::elementOf(known)
                                            : known.back();
    }

    /// The revisions at which the store applied the edit.
    std::vector<support::revision> writes_of(const edit_attempt& item) const {
        std::vector<support::revision> result;
        for (const store::key_value& entry : this->client.written()) {
            if (entry.value.find(item.marker) != std::string::npos) {
                result.push_back(entry.mod_revision);
            }
        }
        return result;
    }
};

void check_reported_outcomes(const race& run) {
    std::map<std::pair<std::string, support::revision>, int> winners;
    for (const edit_attempt& item : run.edits) {
        const auto writes = run.writes_of(item);
        RC_ASSERT(writes.size() <= 1);
        winners[{item.key, item.base}] += static_cast<int>(writes.size());
        if (item.answer.ok()) {
            RC_ASSERT(writes.size() == 1);
            const bool is_last = item.answer->revision == writes[0];
            RC_ASSERT(item.answer->revision >= writes[0]);
            RC_ASSERT(item.answer->superseded == !is_last);
        } else if (support::kind_of(item.answer.status()) !=
                   error_kind::write_outcome_unknown) {
            RC_ASSERT(writes.empty());
        }
    }
    for (const auto& [base, count] : winners) {
        RC_ASSERT(count <= 1);
    }
}

/// Checks that no two services have the same address at the same time.
void check_addresses_unique(const race& run) {
    std::map<std::string, support::endpoint> held;
    for (const store::key_value& entry : run.client.written()) {
        const auto stored = store::parse_stored_document(entry.value);
        RC_ASSERT(stored.ok());
        held[entry.key] =
            config::parse_service_document("", stored->text).value.address;
        std::set<support::endpoint> different;
        for (const auto& [key, address] : held) {
            RC_ASSERT(different.insert(address).second);
        }
    }
}

} // namespace

TEST_CASE("concurrent edits on a store that loses responses report correct "
          "outcomes, and at most one edit succeeds per base revision") {
    CHECK(rc::check("editor", [] {
        race run;
        while (run.next_marker < race::max_edits) {
            run.edit_once();
        }
        run.client.run_delayed_writes();
        check_reported_outcomes(run);
        check_addresses_unique(run);
    }));
}

TEST_CASE(
    "of two concurrent changes to a data centre's withdrawal, one succeeds") {
    store::fake_client client;
    store::editor first = make_editor(client, 1);
    store::editor second = make_editor(client, 2);
    REQUIRE(first.set_withdrawn({"cairo"}, false, support::revision{0}).ok());
    bool raced = false;
    client.decide = [&](store::call_kind kind) {
        if (kind == store::call_kind::write && !std::exchange(raced, true)) {
            CHECK(second.set_withdrawn({"cairo"}, true, std::nullopt).ok());
        }
        return call_fate::answered;
    };
    const auto lost = first.set_withdrawn({"cairo"}, true, std::nullopt);
    CHECK(support::kind_of(lost.status()) == error_kind::revision_conflict);
    const auto again = first.set_withdrawn({"cairo"}, true, std::nullopt);
    REQUIRE(again.ok());
    CHECK(again->unchanged);
}

TEST_CASE("withdrawing a data centre without a document fails") {
    store::fake_client client;
    store::editor editor = make_editor(client, 1);
    CHECK(support::kind_of(
              editor.set_withdrawn({"cario"}, true, std::nullopt).status()) ==
          error_kind::not_found);
    CHECK(support::kind_of(
              editor.set_withdrawn({"Cairo"}, true, support::revision{0})
                  .status()) == error_kind::invalid_input);
    CHECK(client.written().empty());
}

TEST_CASE("the outcome of an edit whose response is lost is read back") {
    store::fake_client client;
    store::editor editor = make_editor(client, 1);
    std::vector<call_fate> fates{call_fate::answered, call_fate::answered,
                                 call_fate::answer_lost};
    client.decide = [&fates](store::call_kind) {
        if (fates.empty()) {
            return call_fate::answered;
        }
        const call_fate next = fates.front();
        fates.erase(fates.begin());
        return next;
    };
    const auto done = editor.put(make_service(0, 0, 1), {0});
    REQUIRE(done.ok());
    CHECK_FALSE(done->superseded);
    CHECK(client.written().size() == 1);
    CHECK(done->revision == client.written()[0].mod_revision);
}

TEST_CASE(
    "an edit in an outage has an unknown outcome only if it may have been "
    "sent") {
    store::fake_client client;
    store::editor editor = make_editor(client, 1);
    client.decide = [](store::call_kind kind) {
        return kind == store::call_kind::write ? call_fate::not_sent
                                               : call_fate::answered;
    };
    CHECK(support::kind_of(editor.put(make_service(0, 0, 1), {0}).status()) ==
          error_kind::store_unavailable);
    client.decide = [](store::call_kind kind) {
        return kind == store::call_kind::write ? call_fate::request_lost
                                               : call_fate::answered;
    };
    CHECK(support::kind_of(editor.put(make_service(0, 0, 1), {0}).status()) ==
          error_kind::write_outcome_unknown);
}

TEST_CASE(
    "an edit has an unknown outcome if its id has been displaced by later "
    "edits") {
    store::fake_client client;
    store::editor first = make_editor(client, 1);
    store::editor others = make_editor(client, 2);
    const auto base = first.set_withdrawn({"cairo"}, false, {{0}});
    REQUIRE(base.ok());
    bool raced = false;
    int followers = 0;
    client.decide = [&](store::call_kind kind) {
        if (kind != store::call_kind::write || std::exchange(raced, true)) {
            return call_fate::answered;
        }
        for (int i = 0; i < followers; ++i) {
            CHECK(others.set_withdrawn({"cairo"}, i % 2 == 0, {}).ok());
        }
        return call_fate::request_lost;
    };
    followers = store::max_remembered_edits;
    CHECK(support::kind_of(first.set_withdrawn({"cairo"}, true, {}).status()) ==
          error_kind::revision_conflict);
    raced = false;
    followers = store::max_remembered_edits + 1;
    CHECK(support::kind_of(first.set_withdrawn({"cairo"}, true, {}).status()) ==
          error_kind::write_outcome_unknown);
}

TEST_CASE("a deleted service is reported as missing and can be created again") {
    store::fake_client client;
    store::editor editor = make_editor(client, 1);
    const auto made = editor.put(make_service(0, 0, 1), {0});
    REQUIRE(made.ok());
    CHECK(support::kind_of(editor.remove({"s0"}, {1}).status()) ==
          error_kind::revision_conflict);
    REQUIRE(editor.remove({"s0"}, made->revision).ok());
    CHECK(support::kind_of(editor.remove({"s0"}, made->revision).status()) ==
          error_kind::not_found);
    CHECK(support::kind_of(
              editor.get({config::document_kind::service, "s0"}).status()) ==
          error_kind::not_found);
    CHECK(editor.list(config::document_kind::service)->empty());
    // The address of the deleted service is available.
    CHECK(editor.put(make_service(1, 0, 1), {0}).ok());
    const auto taken = editor.put(make_service(0, 0, 1), {0});
    CHECK(support::kind_of(taken.status()) == error_kind::invalid_input);
    REQUIRE(editor.put(make_service(0, 1, 1), {0}).ok());
    const auto held = editor.get({config::document_kind::service, "s0"});
    REQUIRE(held.ok());
    CHECK(config::parse_service_document("", held->text).value ==
          make_service(0, 1, 1));
    CHECK(editor.list(config::document_kind::service)->size() == 2);
}

TEST_CASE("a stored document round-trips through JSON") {
    CHECK(rc::check("round trip", [] {
        store::stored_document original;
        original.deleted = *rc::gen::arbitrary<bool>();
        if (!original.deleted) {
            original.text =
                config::to_json(make_service(*rc::gen::inRange(0, 9), 1, 1));
        }
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
            original.edits.push_back({absl::StrCat("id", i)});
        }
        const auto back = store::parse_stored_document(to_json(original));
        RC_ASSERT(back.ok());
        RC_ASSERT(*back == original);
    }));
    for (const char* text :
         {"", "7", "{}", "{\"edits\":[]}", "{\"document\":"}) {
        CHECK_FALSE(store::parse_stored_document(text).ok());
    }
}
