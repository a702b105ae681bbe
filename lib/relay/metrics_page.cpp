#include "metrics_page.hpp"

namespace guavastair::relay {

static void add_store_calls(metrics::registry& page, const process& owner) {
    for (std::size_t i = 0; i < platform::call_kind_count; ++i) {
        const std::string kind(
            platform::to_string(static_cast<platform::call_kind>(i)));
        page.add_counter({"guavastair_store_calls_total",
                          "Calls to the store.",
                          {{"kind", kind}}},
                         [&owner, i] { return owner.store_calls.made[i]; });
        page.add_counter({"guavastair_store_calls_failed_total",
                          "Calls to the store without a useful answer.",
                          {{"kind", kind}}},
                         [&owner, i] { return owner.store_calls.failed[i]; });
    }
}

void add_common_metrics(metrics::registry& page, process& owner,
                        const view_keeper& view) {
    add_store_calls(page, owner);
    page.add_gauge({"guavastair_configuration_version",
                    "Version of the configuration in force.",
                    {}},
                   [&view] {
                       return static_cast<double>(
                           view.rules().view().config.version);
                   });
    page.add_gauge({"guavastair_view_age_seconds",
                    "Time since the operators' view was found complete.",
                    {}},
                   [&view, &owner] {
                       const support::duration age =
                           owner.now() - view.rules().confirmed_at();
                       return static_cast<double>(age.ms) / ms_per_second;
                   });
    page.add_gauge({"guavastair_withdrawn_data_centres",
                    "Data centres that operators have taken out.",
                    {}},
                   [&view] {
                       return static_cast<double>(
                           view.rules().view().withdrawn.size());
                   });
    page.add_counter({"guavastair_log_lines_total", "Log lines written.", {}},
                     [&owner] { return owner.lines_written(); });
    page.add_counter({"guavastair_log_lines_left_out_total",
                      "Log lines left out by rate or for a slow reader.",
                      {}},
                     [&owner] { return owner.lines_left_out(); });
}

decision_counters::decision_counters(metrics::registry& to, std::string called,
                                     std::string about)
    : page(to), name(std::move(called)), help(std::move(about)) {}

void decision_counters::count(absl::string_view outcome,
                              absl::string_view basis) {
    metrics::counter*& found = this->counters[{outcome, basis}];
    if (found == nullptr) {
        found = &this->page.add_counter({this->name,
                                         this->help,
                                         {{"outcome", std::string(outcome)},
                                          {"basis", std::string(basis)}}});
    }
    found->add();
}

http::response metrics_answer(const metrics::registry& page) {
    return {200, page.text(), "text/plain; version=0.0.4"};
}

} // namespace guavastair::relay
