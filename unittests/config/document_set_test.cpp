#include "write_log.hpp"

#include <guavastair/config.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace config = guavastair::config;
namespace support = guavastair::support;

namespace {

/// Applies `changes`, and checks the result and that the revision never
/// decreases.
void apply(config::document_set& set, const config::change_set& changes,
           const config::write_log& log) {
    const support::revision before = set.complete_up_to();
    const config::apply_result result = set.apply(changes);
    const bool is_stale = changes.to <= before;
    const bool is_gap = !is_stale && !changes.full && changes.from > before;
    RC_ASSERT((result == config::apply_result::stale) == is_stale);
    RC_ASSERT((result == config::apply_result::gap) == is_gap);
    const bool applied = result == config::apply_result::applied;
    RC_ASSERT(set.complete_up_to() == (applied ? changes.to : before));
    check_same(set, log);
}

} // namespace

TEST_CASE("reordered, lost, repeated and incomplete change sets leave the "
          "documents of one revision, which never decreases") {
    CHECK(rc::check("document_set against the write log", [] {
        constexpr std::size_t processes = 3;
        constexpr int steps = 200;
        config::write_log log;
        std::vector<config::document_set> sets;
        for (std::size_t i = 0; i < processes; ++i) {
            sets.emplace_back(*rc::gen::inRange<std::size_t>(0, 3));
        }
        std::vector<config::change_set> in_flight;
        for (int i = 0; i < steps; ++i) {
            config::document_set& set =
                sets[*rc::gen::inRange<std::size_t>(0, processes)];
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                log.append(config::any_change());
                break;
            case 1: {
                const auto to = config::any_revision(log.last());
                in_flight.push_back(log.between(config::any_revision(to), to));
                break;
            }
            case 2:
                in_flight.push_back(
                    set.changes_since(config::any_revision(log.last())));
                break;
            case 3: {
                const auto& peer =
                    sets[*rc::gen::inRange<std::size_t>(0, processes)];
                apply(set, peer.changes_since(set.complete_up_to()), log);
                RC_ASSERT(set.complete_up_to() >= peer.complete_up_to());
                break;
            }
            default:
                if (!in_flight.empty()) {
                    apply(set, *rc::gen::elementOf(in_flight), log);
                }
            }
        }
    }));
}

/// Returns a change set with one write of the data centre `name`.
static config::change_set one_write(const char* name, std::int64_t at,
                                    bool deleted) {
    const std::string text =
        deleted ? "" : to_json(config::data_centre_document{{name}, true});
    const config::document_key key{config::document_kind::data_centre, name};
    return {{at - 1}, {at}, false, {{key, {at}, deleted, text}}};
}

TEST_CASE("a revision before an evicted deletion gets a full change set, also "
          "from a set that received a full one") {
    config::document_set provider(0);
    config::document_set between;
    config::document_set last;
    for (const auto& changes :
         {one_write("a", 1, false), one_write("b", 2, false)}) {
        provider.apply(changes);
        last.apply(changes);
    }
    between.apply(one_write("a", 1, false));
    provider.apply(one_write("b", 3, true));
    provider.apply(one_write("c", 4, false));

    const auto first = provider.changes_since(between.complete_up_to());
    CHECK(first.full);
    CHECK(between.apply(first) == config::apply_result::applied);
    const auto second = between.changes_since(last.complete_up_to());
    CHECK(second.full);
    CHECK(last.apply(second) == config::apply_result::applied);
    CHECK(last.withdrawn_data_centres() ==
          std::vector<support::data_centre_name>{{"a"}, {"c"}});
}

TEST_CASE("an entry that is older than the set's revision is ignored") {
    config::document_set set;
    set.apply(one_write("a", 1, false));
    set.apply(one_write("a", 2, true));
    config::change_set late = one_write("b", 3, false);
    late.entries.insert(late.entries.begin(),
                        one_write("a", 1, false).entries[0]);
    CHECK(set.apply(late) == config::apply_result::applied);
    CHECK(set.withdrawn_data_centres() ==
          std::vector<support::data_centre_name>{{"b"}});
}

TEST_CASE("an invalid stored document does not affect the others") {
    config::document_set set;
    const config::document_key invalid{config::document_kind::service,
                                       "invalid"};
    const config::document_key partly_valid{config::document_kind::service,
                                            "partly-valid"};
    const std::string partly_valid_text =
        R"({"name": "partly-valid", "address": "10.0.0.2:1",
        "protocol": "tcp", "slots": -5, "of_a_later_version": 1})";
    set.apply({{0},
               {2},
               false,
               {{invalid, {1}, false, "no JSON"},
                {partly_valid, {2}, false, partly_valid_text}}});
    CHECK(set.find({"invalid"}) == nullptr);
    REQUIRE(set.find({"partly-valid"}) != nullptr);
    CHECK(set.find({"partly-valid"})->slots ==
          config::service_document{}.slots);
    CHECK(set.services().size() == 1);
    CHECK(set.problems().size() == 3);
    const auto changes = set.changes_since({0});
    REQUIRE(changes.entries.size() == 2);
    CHECK(changes.entries[1].text == partly_valid_text);
}

TEST_CASE("only keys of documents are parsed as document keys") {
    const config::document_key key{config::document_kind::data_centre, "cairo"};
    CHECK(to_store_key(key) == "guavastair/data-centres/cairo");
    CHECK(config::parse_store_key(to_store_key(key)) == key);
    for (const char* text :
         {"", "guavastair/services/", "guavastair/services/A",
          "guavastair/beacons/x", "services/a"}) {
        CHECK_FALSE(config::parse_store_key(text).has_value());
    }
}
