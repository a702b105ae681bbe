#include "edit.hpp"

#include <guavastair/store.hpp>

#include <absl/strings/str_cat.h>

#include <utility>

namespace guavastair::store {

using support::error_kind;
using support::revision;

namespace {

/// The record that an edit changes, and the other services read with it.
struct edit_context {
    record target;
    /// Set if the edit is valid only while no other service has changed since
    /// this revision.
    std::optional<revision> others_revision;
    std::vector<config::service_document> others;
};

absl::Status conflict_error(const edit& item, const record& present) {
    const std::string state =
        present.exists() ? absl::StrCat("it is at revision ",
                                        present.entry.mod_revision.value)
                         : std::string("it does not exist");
    return support::make_error(
        error_kind::revision_conflict,
        absl::StrCat(item.key, ": not written, ", state));
}

absl::Status unknown_outcome_error(const edit& item, absl::string_view why) {
    return support::make_error(error_kind::write_outcome_unknown,
                               absl::StrCat(item.key, ": unknown whether edit ",
                                            item.id.value,
                                            " was written: ", why));
}

/// The error of an edit whose last call failed: `failure` itself, or
/// error_kind::write_outcome_unknown if a write may have taken effect.
absl::Status to_edit_error(const edit& item, const absl::Status& failure) {
    return item.has_uncertain_write
               ? unknown_outcome_error(item, failure.message())
               : failure;
}

} // namespace

std::mt19937_64 make_random() {
    constexpr std::size_t seed_words = 16;
    std::random_device entropy;
    std::array<std::uint32_t, seed_words> words{};
    for (std::uint32_t& word : words) {
        word = entropy();
    }
    std::seed_seq seed(words.begin(), words.end());
    return std::mt19937_64(seed);
}

struct editor::state {
    client& store;
    editor_options options;
    std::mt19937_64 random;
    sleeper sleep;

    edit begin(config::document_kind kind, const std::string& name);
    absl::StatusOr<range_result> read(const edit& item,
                                      const range_request& request);
    absl::StatusOr<record> read_record(const edit& item);
    absl::StatusOr<edit_context>
    read_edit_context(const edit& item, const config::service_document& next);
    absl::StatusOr<std::optional<accepted_edit>>
    commit(edit& item, const edit_context& base, stored_document next);
    absl::StatusOr<accepted_edit> commit_single(edit& item, const record& base,
                                                stored_document next);
    absl::StatusOr<std::optional<accepted_edit>>
    resolve_refused_write(edit& item, const record& base,
                          const record& present);
};

/// Creates an edit with a random id.
edit editor::state::begin(config::document_kind kind, const std::string& name) {
    edit item;
    item.id.value = absl::StrCat(absl::Hex(this->random(), absl::kZeroPad16),
                                 absl::Hex(this->random(), absl::kZeroPad16));
    item.key = config::to_store_key({kind, name});
    return item;
}

absl::StatusOr<range_result> editor::state::read(const edit& item,
                                                 const range_request& request) {
    auto result = this->store.range(request);
    if (!result.ok()) {
        return to_edit_error(item, result.status());
    }
    return result;
}

absl::StatusOr<record> editor::state::read_record(const edit& item) {
    const auto result = this->read(item, {item.key, false, {}});
    if (!result.ok()) {
        return result.status();
    }
    return make_record(item.key, result->entries);
}

/// Reads the record and, if `next` changes its address, all other services.
absl::StatusOr<edit_context>
editor::state::read_edit_context(const edit& item,
                                 const config::service_document& next) {
    auto target = this->read_record(item);
    if (!target.ok()) {
        return target.status();
    }
    if (target->exists() && target->stored.has_value()) {
        const auto present =
            config::parse_service_document(item.key, target->stored->text);
        if (present.ok() && present.value.address == next.address) {
            return edit_context{*std::move(target), std::nullopt, {}};
        }
    }
    const std::string prefix(
        config::store_prefix_of(config::document_kind::service));
    const auto all = this->read(item, {prefix, true, {}});
    if (!all.ok()) {
        return all.status();
    }
    edit_context result{
        make_record(item.key, all->entries), all->store_revision, {}};
    for (const key_value& entry : all->entries) {
        const auto stored = parse_stored_document(entry.value);
        if (stored.ok() && !stored->deleted) {
            result.others.push_back(
                config::parse_service_document(entry.key, stored->text).value);
        }
    }
    return result;
}

/// Determines the outcome of an edit whose write failed its conditions.
/// Returns nullopt if the record has not changed, so that the edit may be
/// retried.
absl::StatusOr<std::optional<accepted_edit>>
editor::state::resolve_refused_write(edit& item, const record& base,
                                     const record& present) {
    const revision at = present.entry.mod_revision;
    switch (determine_outcome(item, base, present)) {
    case edit_outcome::accepted:
        return accepted_edit{at};
    case edit_outcome::superseded:
        return accepted_edit{at, true};
    case edit_outcome::conflict:
        return conflict_error(item, present);
    case edit_outcome::record_unchanged:
        // Writes sent so far can no longer take effect: they require that no
        // other service has changed, and one has.
        item.has_uncertain_write = false;
        return std::nullopt;
    case edit_outcome::unknown:
        break;
    }
    return unknown_outcome_error(item,
                                 "the record's edit history does not reach "
                                 "back to its base revision");
}

/// Sends the write, with retries, until its outcome is known. Returns nullopt
/// if the edit may be retried on a newer state of the other services.
absl::StatusOr<std::optional<accepted_edit>>
editor::state::commit(edit& item, const edit_context& base,
                      stored_document next) {
    next.edits = append_to_history(base.target, item.id);
    write_request request{{{item.key, false, condition_kind::equals,
                            base.target.entry.mod_revision}},
                          {{operation_kind::put, item.key, to_json(next), {}}}};
    if (base.others_revision.has_value()) {
        const std::string prefix(
            config::store_prefix_of(config::document_kind::service));
        request.conditions.push_back(
            {prefix, true, condition_kind::at_most, *base.others_revision});
    }
    absl::Status failure;
    support::duration pause = this->options.first_pause;
    for (int i = 0; i < this->options.max_attempts; ++i) {
        if (i > 0) {
            this->sleep(pause);
            pause = pause * 2;
        }
        const auto result = this->store.write(request);
        if (result.ok()) {
            return result->succeeded
                       ? accepted_edit{result->store_revision}
                       : this->resolve_refused_write(
                             item, base.target,
                             make_record(item.key, result->current));
        }
        failure = result.status();
        const bool may_be_written =
            support::kind_of(failure) == error_kind::write_outcome_unknown;
        item.has_uncertain_write = item.has_uncertain_write || may_be_written;
    }
    return to_edit_error(item, failure);
}

/// Commits an edit that does not depend on other documents.
absl::StatusOr<accepted_edit>
editor::state::commit_single(edit& item, const record& base,
                             stored_document next) {
    const auto result =
        this->commit(item, {base, std::nullopt, {}}, std::move(next));
    if (!result.ok()) {
        return result.status();
    }
    if (!result->has_value()) {
        return support::make_error(error_kind::internal,
                                   "the store rejected a write whose only "
                                   "condition is met");
    }
    return **result;
}

editor::editor(client& store, editor_options options, std::mt19937_64 random,
               sleeper sleep)
    : self(new state{store, options, random, std::move(sleep)}) {}

editor::~editor() = default;

/// Whether the record is at revision `base`; 0 for a missing document.
static bool is_based_on(const record& present, revision base) {
    if (present.exists()) {
        return base == present.entry.mod_revision;
    }
    return base.value == 0;
}

/// Whether the record already holds the document `text`.
static bool has_text(const record& present, absl::string_view text) {
    return present.exists() && present.stored.has_value() &&
           present.stored->text == text;
}

absl::StatusOr<accepted_edit>
editor::put(const config::service_document& document, revision base) {
    const std::string text = config::to_json(document);
    const auto problems =
        config::parse_service_document(document.name.value, text).problems;
    if (!problems.empty()) {
        return config::to_status(problems);
    }
    edit item =
        this->self->begin(config::document_kind::service, document.name.value);
    std::optional<record> first;
    for (int i = 0; i < this->self->options.max_attempts; ++i) {
        const auto read = this->self->read_edit_context(item, document);
        if (!read.ok()) {
            return read.status();
        }
        if (!first.has_value()) {
            first = read->target;
            if (has_text(*first, text)) {
                return accepted_edit{first->entry.mod_revision, false, true};
            }
            if (!is_based_on(*first, base)) {
                return conflict_error(item, *first);
            }
        }
        if (read->target.entry.mod_revision != first->entry.mod_revision) {
            return conflict_error(item, read->target);
        }
        const auto address_conflicts =
            config::check_addresses(item.key, document, read->others);
        if (!address_conflicts.empty()) {
            return config::to_status(address_conflicts);
        }
        const auto result = this->self->commit(item, *read, {false, text, {}});
        if (!result.ok()) {
            return result.status();
        }
        if (result->has_value()) {
            return **result;
        }
    }
    return support::make_error(
        error_kind::revision_conflict,
        absl::StrCat(item.key, ": not written, other services changed "
                               "concurrently"));
}

absl::StatusOr<accepted_edit> editor::remove(const support::service_name& name,
                                             revision base) {
    edit item = this->self->begin(config::document_kind::service, name.value);
    const auto target = this->self->read_record(item);
    if (!target.ok()) {
        return target.status();
    }
    if (!target->exists()) {
        return support::make_error(error_kind::not_found,
                                   absl::StrCat(item.key, " does not exist"));
    }
    if (!is_based_on(*target, base)) {
        return conflict_error(item, *target);
    }
    return this->self->commit_single(item, *target, {true, "", {}});
}

absl::StatusOr<accepted_edit>
editor::set_withdrawn(const support::data_centre_name& name, bool withdrawn,
                      std::optional<revision> base) {
    const config::data_centre_document document{name, withdrawn};
    const std::string text = config::to_json(document);
    const auto problems =
        config::parse_data_centre_document(name.value, text).problems;
    if (!problems.empty()) {
        return config::to_status(problems);
    }
    edit item =
        this->self->begin(config::document_kind::data_centre, name.value);
    const auto target = this->self->read_record(item);
    if (!target.ok()) {
        return target.status();
    }
    if (has_text(*target, text)) {
        return accepted_edit{target->entry.mod_revision, false, true};
    }
    if (!target->exists() && !base.has_value()) {
        return support::make_error(error_kind::not_found,
                                   absl::StrCat(item.key, " does not exist"));
    }
    if (base.has_value() && !is_based_on(*target, *base)) {
        return conflict_error(item, *target);
    }
    return this->self->commit_single(item, *target, {false, text, {}});
}

absl::StatusOr<versioned_document>
editor::get(const config::document_key& key) {
    const edit item = this->self->begin(key.kind, key.name);
    const auto target = this->self->read_record(item);
    if (!target.ok()) {
        return target.status();
    }
    if (!target->exists()) {
        return support::make_error(error_kind::not_found,
                                   absl::StrCat(item.key, " does not exist"));
    }
    const std::string& text =
        target->stored.has_value() ? target->stored->text : target->entry.value;
    return versioned_document{target->entry.mod_revision, text};
}

absl::StatusOr<std::vector<config::change>>
editor::list(config::document_kind kind) {
    const std::string prefix(config::store_prefix_of(kind));
    const auto result = this->self->store.range({prefix, true, {}});
    if (!result.ok()) {
        return result.status();
    }
    std::vector<config::change> documents;
    for (const key_value& entry : result->entries) {
        const auto key = config::parse_store_key(entry.key);
        const record target = make_record(entry.key, {entry});
        if (!key.has_value() || !target.exists()) {
            continue;
        }
        documents.push_back(
            {*key, entry.mod_revision, false,
             target.stored.has_value() ? target.stored->text : entry.value});
    }
    return documents;
}

} // namespace guavastair::store
