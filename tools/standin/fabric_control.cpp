#include "fabric_control.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace guavastair::standin {

/// Interval between two reads of the control file.
static constexpr support::duration poll_period = support::milliseconds(50);

static absl::Status invalid(absl::string_view what, absl::string_view text) {
    return support::make_error(support::error_kind::invalid_input,
                               absl::StrCat(what, ": \"", text, "\""));
}

absl::StatusOr<std::vector<fabric_balancer>>
parse_balancers(absl::string_view text) {
    std::vector<fabric_balancer> result;
    for (const absl::string_view item :
         absl::StrSplit(text, absl::ByAnyChar(", "), absl::SkipEmpty())) {
        const std::pair<absl::string_view, absl::string_view> parts =
            absl::StrSplit(item, absl::MaxSplits('@', 1));
        const auto address = support::parse_endpoint(parts.first);
        if (!address.ok()) {
            return address.status();
        }
        std::int64_t delay_ms = 0;
        const bool has_delay = !parts.second.empty();
        if (has_delay &&
            (!absl::SimpleAtoi(parts.second, &delay_ms) || delay_ms < 0)) {
            return invalid("delay must be a non-negative number of ms", item);
        }
        result.push_back({*address, support::milliseconds(delay_ms)});
    }
    return result;
}

static absl::Status set_faults(fabric& target, absl::string_view text) {
    fabric_faults faults;
    for (const absl::string_view item :
         absl::StrSplit(text, ' ', absl::SkipEmpty())) {
        const std::pair<absl::string_view, absl::string_view> parts =
            absl::StrSplit(item, absl::MaxSplits('=', 1));
        std::uint32_t value = 0;
        if (!absl::SimpleAtoi(parts.second, &value)) {
            return invalid("fault needs a number", item);
        }
        if (parts.first == "lose") {
            faults.lose = value;
        } else if (parts.first == "duplicate") {
            faults.duplicate = value;
        } else if (parts.first == "reorder") {
            faults.reorder = value;
        } else {
            return invalid("unknown fault", item);
        }
    }
    target.set_faults(faults);
    return absl::OkStatus();
}

absl::Status run_command(fabric& target, absl::string_view line) {
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(line, absl::MaxSplits(' ', 1));
    if (parts.first == "balancers") {
        auto balancers = parse_balancers(parts.second);
        if (!balancers.ok()) {
            return balancers.status();
        }
        target.set_balancers(*std::move(balancers));
        return absl::OkStatus();
    }
    if (parts.first == "faults") {
        return set_faults(target, parts.second);
    }
    if (parts.first == "silence") {
        target.silence_known_flows();
        return absl::OkStatus();
    }
    return invalid("unknown command", line);
}

control_file::control_file(net::event_loop& events, fabric& controlled,
                           std::string path)
    : loop(events), target(controlled), file(std::move(path)) {
    if (!this->file.empty()) {
        this->timer =
            this->loop.call_every(poll_period, [this] { this->poll(); });
    }
}

control_file::~control_file() {
    this->loop.cancel(this->timer);
}

void control_file::poll() {
    std::ifstream in(this->file);
    std::ostringstream read;
    read << in.rdbuf();
    std::string text = std::move(read).str();
    const bool is_complete = !text.empty() && text.back() == '\n';
    if (!is_complete || text == this->last_text) {
        return;
    }
    this->last_text = std::move(text);
    for (const absl::string_view line :
         absl::StrSplit(this->last_text, '\n', absl::SkipEmpty())) {
        const absl::Status status = run_command(this->target, line);
        std::cout << (status.ok() ? "applied " : "rejected ") << line
                  << std::endl;
    }
}

} // namespace guavastair::standin
