#include "metrics_page.hpp"

namespace guavastair::relay {

static void add_store_calls(metrics::registry& page,
                            const process_context& context) {
    for (std::size_t i = 0; i < platform::call_kind_count; ++i) {
        const std::string kind(
            platform::to_string(static_cast<platform::call_kind>(i)));
        page.add_counter({"guavastair_store_calls_total",
                          "Calls to the store.",
                          {{"kind", kind}}},
                         [&context, i] { return context.store_calls.made[i]; });
        page.add_counter(
            {"guavastair_store_calls_failed_total",
             "Calls to the store without a useful answer.",
             {{"kind", kind}}},
            [&context, i] { return context.store_calls.failed[i]; });
    }
}

void add_common_metrics(metrics::registry& page, process_context& context,
                        const view_synchronizer& view_sync) {
    add_store_calls(page, context);
    page.add_gauge({"guavastair_configuration_version",
                    "Version of the configuration in force.",
                    {}},
                   [&view_sync] {
                       return static_cast<double>(
                           view_sync.active_routing().view().config.version);
                   });
    page.add_gauge({"guavastair_configuration_revision",
                    "Revision of the store that wrote the configuration in "
                    "force.",
                    {}},
                   [&view_sync] {
                       return static_cast<double>(
                           view_sync.summary().config_revision.value);
                   });
    page.add_gauge(
        {"guavastair_configuration_revision_announced",
         "Latest revision of the configuration that a peer or the "
         "store has announced.",
         {}},
        [&view_sync] {
            return static_cast<double>(
                view_sync.active_routing().announced_configuration().value);
        });
    page.add_counter({"guavastair_view_fetches_total",
                      "Views requested from peers.",
                      {{"outcome", "completed"}}},
                     [&view_sync] { return view_sync.fetches().completed; });
    page.add_counter({"guavastair_view_fetches_total",
                      "Views requested from peers.",
                      {{"outcome", "failed"}}},
                     [&view_sync] { return view_sync.fetches().failed; });
    page.add_gauge({"guavastair_view_age_seconds",
                    "Time since the operators' view was found complete.",
                    {}},
                   [&view_sync, &context] {
                       const support::duration age =
                           context.now() -
                           view_sync.active_routing().confirmed_at();
                       return static_cast<double>(age.ms) / ms_per_second;
                   });
    page.add_gauge({"guavastair_withdrawn_data_centres",
                    "Data centres that operators have taken out.",
                    {}},
                   [&view_sync] {
                       return static_cast<double>(
                           view_sync.active_routing().view().withdrawn.size());
                   });
    page.add_counter({"guavastair_log_lines_total", "Log lines written.", {}},
                     [&context] { return context.lines_written(); });
    page.add_counter({"guavastair_log_lines_left_out_total",
                      "Log lines left out by rate or for a slow reader.",
                      {}},
                     [&context] { return context.lines_dropped(); });
}

decision_counters::decision_counters(metrics::registry& destination,
                                     std::string metric_name,
                                     std::string help_text)
    : page(destination), name(std::move(metric_name)),
      help(std::move(help_text)) {}

void decision_counters::count(absl::string_view outcome,
                              absl::string_view basis) {
    metrics::counter*& entry = this->counters[{outcome, basis}];
    if (entry == nullptr) {
        entry = &this->page.add_counter({this->name,
                                         this->help,
                                         {{"outcome", std::string(outcome)},
                                          {"basis", std::string(basis)}}});
    }
    entry->add();
}

http::response metrics_response(const metrics::registry& page) {
    return {200, page.text(), "text/plain; version=0.0.4"};
}

} // namespace guavastair::relay
