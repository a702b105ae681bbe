#include "control.capnp.h"
#include "packed.hpp"

#include <utility>

namespace guavastair::wire {

namespace {

constexpr absl::string_view message_name = "change set";
/// Largest value of the configuration store, in bytes.
constexpr std::size_t max_text_size = std::size_t{1} << 20;
constexpr std::uint8_t max_kind = 1;
constexpr std::size_t pull_request_words = 64;
constexpr std::size_t bytes_per_word = 8;

absl::StatusOr<config::change> read_change(schema::Change::Reader from) {
    config::change entry;
    if (from.getKind() > max_kind) {
        return malformed(message_name, "unknown kind of document");
    }
    entry.key.kind = static_cast<config::document_kind>(from.getKind());
    const auto name = from.getName();
    entry.key.name.assign(name.begin(), name.end());
    if (!support::is_valid_name(entry.key.name)) {
        return malformed(message_name, "invalid name of a document");
    }
    const auto text = from.getText();
    if (text.size() > max_text_size) {
        return malformed(message_name, "document too large");
    }
    entry.text.assign(text.begin(), text.end());
    entry.deleted = from.getDeleted();
    entry.revision = {from.getRevision()};
    return entry;
}

absl::StatusOr<config::change_set>
read_changes(schema::ChangeSet::Reader root) {
    config::change_set changes;
    changes.from = {root.getFrom()};
    changes.to = {root.getTo()};
    changes.full = root.getFull();
    for (const auto from : root.getEntries()) {
        auto entry = read_change(from);
        if (!entry.ok()) {
            return entry.status();
        }
        changes.entries.push_back(*std::move(entry));
    }
    return changes;
}

} // namespace

bytes encode(const config::change_set& changes) {
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::ChangeSet>();
    root.setFrom(changes.from.value);
    root.setTo(changes.to.value);
    root.setFull(changes.full);
    const auto size = static_cast<unsigned>(changes.entries.size());
    auto entries = root.initEntries(size);
    for (unsigned i = 0; i < size; ++i) {
        const config::change& entry = changes.entries[i];
        entries[i].setKind(static_cast<std::uint8_t>(entry.key.kind));
        entries[i].setName(entry.key.name);
        entries[i].setDeleted(entry.deleted);
        entries[i].setRevision(entry.revision.value);
        entries[i].setText(entry.text);
    }
    return pack(builder);
}

absl::StatusOr<config::change_set> decode_change_set(byte_view data) {
    if (data.size() > max_change_set_size) {
        return support::make_error(support::error_kind::too_large,
                                   absl::StrCat("change set of ", data.size(),
                                                " bytes; at most ",
                                                max_change_set_size));
    }
    return unpack<schema::ChangeSet>(data, max_change_set_size / bytes_per_word,
                                     message_name, read_changes);
}

bytes encode_pull_request(support::revision from) {
    capnp::MallocMessageBuilder builder;
    builder.initRoot<schema::PullRequest>().setFrom(from.value);
    return pack(builder);
}

absl::StatusOr<support::revision> decode_pull_request(byte_view data) {
    const auto read = [](schema::PullRequest::Reader root)
        -> absl::StatusOr<support::revision> {
        return support::revision{root.getFrom()};
    };
    return unpack<schema::PullRequest>(data, pull_request_words, "pull request",
                                       read);
}

} // namespace guavastair::wire
