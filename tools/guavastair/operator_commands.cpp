#include "commands.hpp"
#include "flags.hpp"

#include <guavastair/commands.hpp>
#include <guavastair/store.hpp>

#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <thread>

namespace guavastair::tool {

namespace {

using support::error_kind;

/// A client of the store at the endpoints of --store, and an editor that uses
/// it.
struct store_access {
    std::unique_ptr<store::client> client;
    std::unique_ptr<store::editor> editor;
};

absl::StatusOr<config::store_settings> store_settings() {
    config::store_settings result;
    const std::string endpoints = absl::GetFlag(FLAGS_store);
    for (const absl::string_view part : absl::StrSplit(endpoints, ',')) {
        const auto parsed = support::parse_endpoint(part);
        if (!parsed.ok()) {
            return support::make_error(
                error_kind::invalid_input,
                absl::StrCat("--store: ", parsed.status().message()));
        }
        result.endpoints.push_back(*parsed);
    }
    const std::int32_t timeout = absl::GetFlag(FLAGS_timeout_ms);
    if (timeout <= 0) {
        return support::make_error(
            error_kind::invalid_input,
            absl::StrCat("--timeout_ms=", timeout, " must be above 0"));
    }
    result.timeout = support::milliseconds(timeout);
    return result;
}

void sleep(support::duration span) {
    std::this_thread::sleep_for(std::chrono::milliseconds(span.ms));
}

absl::StatusOr<store_access> open_store() {
    const auto settings = store_settings();
    if (!settings.ok()) {
        return settings.status();
    }
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    store_access result;
    result.client = store::make_etcd_client(*settings);
    result.editor = std::make_unique<store::editor>(
        *result.client, store::editor_options{}, std::mt19937_64(seed), sleep);
    return result;
}

/// Runs `command` on the store and prints the result.
template <typename Command> absl::Status run_on_store(const Command& command) {
    const auto format = commands::parse_output_format(
        absl::GetFlag(FLAGS_format) == "table" ? "text"
                                               : absl::GetFlag(FLAGS_format));
    if (!format.ok()) {
        return format.status();
    }
    const auto access = open_store();
    if (!access.ok()) {
        return access.status();
    }
    return commands::run(command, *access->editor,
                         commands::output{std::cout, *format});
}

/// The value of --base_revision, or nullopt if it is negative (the default).
std::optional<support::revision> base_revision_from_flag() {
    const std::int64_t base = absl::GetFlag(FLAGS_base_revision);
    if (base < 0) {
        return std::nullopt;
    }
    return support::revision{base};
}

absl::Status set_withdrawn(const std::string& name, bool withdrawn) {
    return run_on_store(commands::data_centre_set{
        support::data_centre_name{name}, withdrawn, base_revision_from_flag()});
}

} // namespace

absl::Status run_service_put(std::span<const std::string> arguments) {
    commands::service_put command;
    command.path = arguments[0];
    command.base = base_revision_from_flag().value_or(support::revision{});
    return run_on_store(command);
}

absl::Status run_service_get(std::span<const std::string> arguments) {
    return run_on_store(
        commands::service_get{support::service_name{arguments[0]}});
}

absl::Status run_service_list(std::span<const std::string> /*arguments*/) {
    return run_on_store(commands::service_list{});
}

absl::Status run_service_delete(std::span<const std::string> arguments) {
    const auto base = base_revision_from_flag();
    if (!base.has_value()) {
        return support::make_error(
            error_kind::invalid_input,
            "--base_revision is required: the revision that \"service get\" "
            "shows");
    }
    return run_on_store(
        commands::service_delete{support::service_name{arguments[0]}, *base});
}

absl::Status run_data_centre_withdraw(std::span<const std::string> arguments) {
    return set_withdrawn(arguments[0], true);
}

absl::Status run_data_centre_return(std::span<const std::string> arguments) {
    return set_withdrawn(arguments[0], false);
}

absl::Status run_data_centre_list(std::span<const std::string> /*arguments*/) {
    return run_on_store(commands::data_centre_list{});
}

absl::Status run_check(std::span<const std::string> arguments) {
    const auto kind = commands::parse_file_kind(arguments[0]);
    if (!kind.ok()) {
        return kind.status();
    }
    commands::check command{*kind, {arguments.begin() + 1, arguments.end()}};
    return commands::run(
        command, commands::output{std::cout, commands::output_format::text});
}

} // namespace guavastair::tool
