#include <guavastair/ownership.hpp>

#include <doctest/doctest.h>

namespace ownership = guavastair::ownership;
namespace peer = guavastair::peer;
namespace support = guavastair::support;

using ownership::load_verdict;
using ownership::opening_terms;
using ownership::urgency;
using ownership::work_time;

static peer::load_report load(std::uint32_t slots, std::uint32_t in_progress) {
    peer::load_report report;
    report.slots = slots;
    report.in_progress = in_progress;
    return report;
}

static opening_terms terms(std::int64_t left_ms,
                           urgency opening_urgency = urgency::lower) {
    return {opening_urgency, support::milliseconds(left_ms)};
}

static load_verdict judge(const peer::load_report& report,
                          std::optional<work_time> work,
                          const opening_terms& wanted) {
    return ownership::judge_load({}, report, work, wanted);
}

TEST_CASE("a server with a free slot accepts any opening") {
    CHECK(judge(load(2, 1), work_time{500.0}, terms(120)) ==
          load_verdict::accept);
    CHECK(judge(load(5, 4), {}, terms(120)) == load_verdict::accept);
    CHECK(judge(load(2, 1), work_time{15.0}, {}) == load_verdict::accept);
}

TEST_CASE("the wait is predicted from the requests in progress") {
    const work_time work{20.0};
    CHECK(ownership::predicted_wait(load(2, 0), work).ms == 0.0);
    CHECK(ownership::predicted_wait(load(2, 1), work).ms == 0.0);
    CHECK(ownership::predicted_wait(load(2, 2), work).ms == 10.0);
    CHECK(ownership::predicted_wait(load(2, 5), work).ms == 40.0);
    CHECK(ownership::predicted_wait(load(0, 1), work).ms == 20.0);
}

TEST_CASE("an opening is refused if its predicted wait is too long") {
    // With two slots of 20 ms, each request ahead adds 10 ms to the wait.
    const work_time work{20.0};
    CHECK(judge(load(2, 2), work, terms(100)) == load_verdict::prefer_other);
    CHECK(judge(load(2, 3), work, terms(100)) == load_verdict::prefer_other);
    CHECK(judge(load(2, 4), work, terms(100)) == load_verdict::full);
}

TEST_CASE("the same wait is too long for a shorter latency objective") {
    const work_time work{20.0};
    CHECK(judge(load(2, 4), work, terms(200)) == load_verdict::prefer_other);
    CHECK(judge(load(2, 4), work, terms(50)) == load_verdict::full);
}

TEST_CASE("a server is full sooner after it has turned cold") {
    CHECK(judge(load(5, 9), work_time{30.0}, terms(200)) ==
          load_verdict::prefer_other);
    CHECK(judge(load(5, 9), work_time{90.0}, terms(200)) == load_verdict::full);
}

TEST_CASE("an opening of the highest urgency may wait longer than others") {
    const work_time work{20.0};
    CHECK(judge(load(2, 4), work, terms(100, urgency::highest)) ==
          load_verdict::prefer_other);
    CHECK(judge(load(2, 7), work, terms(100, urgency::highest)) ==
          load_verdict::full);
}

TEST_CASE(
    "an opening whose objective has passed is accepted only by a free slot") {
    for (const std::int64_t left_ms : {0, -80}) {
        CAPTURE(left_ms);
        CHECK(judge(load(2, 1), work_time{1.0}, terms(left_ms)) ==
              load_verdict::accept);
        CHECK(judge(load(2, 2), work_time{1.0}, terms(left_ms)) ==
              load_verdict::full);
        CHECK(judge(load(2, 2), {}, terms(left_ms, urgency::highest)) ==
              load_verdict::full);
    }
}

TEST_CASE("the processing time is assumed until a request has been answered") {
    CHECK(judge(load(2, 2), {}, terms(120)) == load_verdict::prefer_other);
    CHECK(judge(load(2, 5), {}, terms(120)) == load_verdict::full);
}

TEST_CASE("a processing time of zero never makes the server full") {
    CHECK(judge(load(2, 40), work_time{0.0}, terms(120)) ==
          load_verdict::prefer_other);
}

TEST_CASE("the slots limit the load of routes without an objective") {
    CHECK(judge(load(2, 7), work_time{500.0}, {}) ==
          load_verdict::prefer_other);
    CHECK(judge(load(2, 8), work_time{1.0}, {}) == load_verdict::full);
}

TEST_CASE("a load report with zero slots counts as one slot") {
    CHECK(judge(load(0, 0), {}, terms(120)) == load_verdict::accept);
    CHECK(judge(load(0, 20), {}, terms(120)) == load_verdict::full);
}

TEST_CASE("the processing time estimate excludes the time in the queue") {
    ownership::work_estimate estimate;
    CHECK_FALSE(estimate.mean().has_value());
    for (int i = 0; i < 100; ++i) {
        estimate.on_answer(support::milliseconds(20), 1, 2);
        // Six requests at two slots: two rounds of waiting, then processing.
        estimate.on_answer(support::milliseconds(60), 6, 2);
    }
    REQUIRE(estimate.mean().has_value());
    CHECK(estimate.mean()->ms == doctest::Approx(20.0));
}

TEST_CASE("the estimate follows a server that turns cold within ten answers") {
    ownership::work_estimate estimate;
    for (int i = 0; i < 100; ++i) {
        estimate.on_answer(support::milliseconds(20), 1, 2);
    }
    for (int i = 0; i < 10; ++i) {
        estimate.on_answer(support::milliseconds(40), 1, 2);
    }
    CHECK(estimate.mean()->ms > 30.0);
    estimate.discard_samples();
    CHECK_FALSE(estimate.mean().has_value());
}

TEST_CASE("every gate reason has a nonempty name") {
    for (std::size_t i = 0; i < ownership::gate_reason_count; ++i) {
        CHECK(!ownership::to_string(static_cast<ownership::gate_reason>(i))
                   .empty());
    }
}
