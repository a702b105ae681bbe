#include <guavastair/support.hpp>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

namespace support = guavastair::support;

TEST_CASE("the table has one row for each kind, in order") {
    const auto rows = support::all_error_properties();
    REQUIRE(rows.size() == support::error_kind_count);
    std::set<absl::string_view> names;
    for (std::size_t i = 0; i < rows.size(); ++i) {
        CHECK(static_cast<std::size_t>(rows[i].kind) == i);
        names.insert(rows[i].name);
    }
    CHECK(names.size() == rows.size());
}

TEST_CASE("a status carries its error kind") {
    for (const support::error_properties& row :
         support::all_error_properties()) {
        const absl::Status status = support::make_error(row.kind, "text");
        CHECK(support::kind_of(status) == row.kind);
        CHECK(status.message() == "text");
    }
    CHECK(support::kind_of(absl::InternalError("x")) ==
          support::error_kind::internal);
}

TEST_CASE("every refusal reports that the request was not run and has "
          "Retry-After") {
    for (const support::error_properties& row :
         support::all_error_properties()) {
        if (row.name.substr(0, 8) != "refused_") {
            continue;
        }
        CHECK(row.result == support::outcome::not_run);
        CHECK(row.has_retry_after);
    }
}

TEST_CASE("the operators' page contains every row of the table") {
    std::ifstream file(GUAVASTAIR_SOURCE_DIR "/docs/operating/error-kinds.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const support::error_properties& row :
         support::all_error_properties()) {
        const std::string expected_row =
            absl::StrCat("| `", row.name, "` | ", row.http_status, " | ",
                         row.exit_code, " | ", support::to_string(row.result),
                         " | ", row.has_retry_after ? "yes" : "no", " | ");
        CHECK_MESSAGE(page.str().find(expected_row) != std::string::npos,
                      expected_row);
    }
}
