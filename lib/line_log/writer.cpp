#include <guavastair/line_log.hpp>

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace guavastair::line_log {

static constexpr support::duration one_second = support::seconds(1);

writer::writer(settings wanted, int to)
    : options(std::move(wanted)), descriptor(to) {}

void writer::append(std::int64_t wall_ms, logging::level severity,
                    const logging::line& content) {
    if (this->pending.size() + content.text().size() >
        this->options.buffer_size) {
        ++this->dropped_count;
        return;
    }
    ++this->written_count;
    absl::StrAppend(&this->pending, "time_ms=", wall_ms,
                    " level=", logging::to_string(severity),
                    " node=", this->options.node.value, " ", content.text(),
                    "\n");
}

void writer::begin_second(support::instant now, std::int64_t wall_ms) {
    this->second_start = now;
    for (auto& [event, count] : this->counts) {
        if (count.dropped_lines > 0) {
            logging::line summary("lines_left_out");
            summary.add("of", event).add("count", count.dropped_lines);
            this->append(wall_ms, logging::level::warn, summary);
        }
        count = {};
    }
}

void writer::write(support::instant now, std::int64_t wall_ms,
                   logging::level severity, absl::string_view event,
                   const logging::line& content) {
    if (severity < this->options.min_level) {
        return;
    }
    if (now - this->second_start >= one_second) {
        this->begin_second(now, wall_ms);
    }
    auto found =
        this->counts.find(std::string_view(event.data(), event.size()));
    if (found == this->counts.end()) {
        found = this->counts.emplace(std::string(event), event_count{}).first;
    }
    event_count& count = found->second;
    if (count.written_count >= this->options.lines_per_event) {
        ++count.dropped_lines;
        ++this->dropped_count;
        return;
    }
    ++count.written_count;
    this->append(wall_ms, severity, content);
}

void writer::flush() {
    while (!this->pending.empty()) {
        const ssize_t size = ::write(this->descriptor, this->pending.data(),
                                     this->pending.size());
        if (size > 0) {
            this->pending.erase(0, static_cast<std::size_t>(size));
            continue;
        }
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
            // The error is permanent: the descriptor has no reader.
            this->pending.clear();
        }
        return;
    }
}

std::uint64_t writer::dropped_lines() const {
    return this->dropped_count;
}

std::uint64_t writer::written() const {
    return this->written_count;
}

absl::Status make_non_blocking(int descriptor) {
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags < 0 || fcntl(descriptor, F_SETFL, flags | O_NONBLOCK) < 0) {
        return support::make_error(
            support::error_kind::internal,
            absl::StrCat("cannot make descriptor ", descriptor,
                         " non-blocking: ", std::strerror(errno)));
    }
    return absl::OkStatus();
}

} // namespace guavastair::line_log
