#include <guavastair/line_log.hpp>

#include <absl/strings/str_split.h>
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <vector>

namespace line_log = guavastair::line_log;
namespace logging = guavastair::logging;

namespace {

/// A pipe that is read only on request.
struct slow_reader {
    slow_reader() {
        REQUIRE(pipe(this->ends.data()) == 0);
        REQUIRE(line_log::make_non_blocking(this->ends[1]).ok());
        REQUIRE(line_log::make_non_blocking(this->ends[0]).ok());
    }
    ~slow_reader() {
        close(this->ends[0]);
        close(this->ends[1]);
    }

    std::vector<std::string> read_lines() const {
        return absl::StrSplit(this->read_text(), '\n', absl::SkipEmpty());
    }

    std::string read_text() const {
        std::string text;
        std::array<char, 4096> buffer;
        ssize_t size = 0;
        while ((size = read(this->ends[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    std::array<int, 2> ends{};
};

void write(line_log::writer& log, std::int64_t ms, const std::string& event) {
    log.write({ms}, 1'000 + ms, logging::level::info, event,
              logging::line(event));
}

} // namespace

TEST_CASE("a line contains time, level, node and its pairs") {
    const slow_reader out;
    line_log::writer log({.node = {"n-1"}}, out.ends[1]);
    logging::line line("started");
    line.add("role", "agent");
    log.write({5}, 1'005, logging::level::warn, "started", line);
    log.flush();
    const auto lines = out.read_lines();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0] ==
          "time_ms=1005 level=warn node=n-1 event=started role=agent");
}

TEST_CASE("lines below the minimum level are not written") {
    const slow_reader out;
    line_log::writer log({.node = {"n"}, .min_level = logging::level::warn},
                         out.ends[1]);
    write(log, 0, "quiet");
    log.flush();
    CHECK(out.read_lines().empty());
    CHECK(log.dropped_lines() == 0);
}

TEST_CASE("excess lines of one event are dropped and counted, others written") {
    const slow_reader out;
    line_log::writer log({.node = {"n"}, .lines_per_event = 3}, out.ends[1]);
    for (int i = 0; i < 10; ++i) {
        write(log, i, "flood");
    }
    write(log, 11, "other");
    write(log, 1'500, "flood");
    log.flush();
    const auto lines = out.read_lines();
    REQUIRE(lines.size() == 6);
    CHECK(lines[3].find("event=other") != std::string::npos);
    CHECK(lines[4].find("event=lines_left_out of=flood count=7") !=
          std::string::npos);
    CHECK(log.dropped_lines() == 7);
}

TEST_CASE("a stalled reader causes dropped lines but no blocking") {
    const slow_reader out;
    line_log::writer log(
        {.node = {"n"}, .lines_per_event = 1'000'000, .buffer_size = 10'000},
        out.ends[1]);
    for (int i = 0; i < 20'000; ++i) {
        write(log, 0, "busy");
        log.flush();
    }
    CHECK(log.dropped_lines() > 0);
    CHECK(log.written() + log.dropped_lines() == 20'000);
    std::string text;
    for (int i = 0; i < 200; ++i) {
        text += out.read_text();
        log.flush();
    }
    const auto lines = std::count(text.begin(), text.end(), '\n');
    CHECK(static_cast<std::uint64_t>(lines) == log.written());
}

TEST_CASE("a closed reader does not block or fail the writer") {
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    REQUIRE(line_log::make_non_blocking(ends[1]).ok());
    std::signal(SIGPIPE, SIG_IGN);
    close(ends[0]);
    line_log::writer log({.node = {"n"}}, ends[1]);
    write(log, 0, "lost");
    log.flush();
    write(log, 1, "lost");
    log.flush();
    close(ends[1]);
    CHECK(log.written() == 2);
}
