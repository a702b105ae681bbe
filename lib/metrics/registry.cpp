#include "text.hpp"

#include <guavastair/metrics.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <mutex>

namespace guavastair::metrics {

void counter::add(std::uint64_t amount) noexcept {
    this->count.fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t counter::value() const noexcept {
    return this->count.load(std::memory_order_relaxed);
}

namespace {

/// One metric: its type in the header and the function that appends its lines.
struct entry {
    description about;
    absl::string_view type;
    std::function<void(std::string&, const description&)> append;
};

} // namespace

class registry::implementation {
public:
    void add(entry added) {
        assert(!added.about.name.empty() && "a metric needs a name");
        const std::lock_guard lock(this->mutex);
        // Metrics of one name are adjacent, so that they share one header.
        const auto last_of_name =
            std::find_if(this->entries.rbegin(), this->entries.rend(),
                         [&added](const entry& e) {
                             return e.about.name == added.about.name;
                         });
        const auto position = last_of_name == this->entries.rend()
                                  ? this->entries.end()
                                  : last_of_name.base();
        this->entries.insert(position, std::move(added));
    }

    std::string text() const {
        const std::lock_guard lock(this->mutex);
        std::string out;
        absl::string_view previous;
        for (const entry& each : this->entries) {
            if (each.about.name != previous) {
                append_header(out, each.about, each.type);
                previous = each.about.name;
            }
            each.append(out, each.about);
        }
        return out;
    }

    /// Metrics owned by the registry. Pointers remain valid when it grows.
    std::vector<std::unique_ptr<counter>> counters;
    std::vector<std::unique_ptr<histogram>> histograms;

private:
    mutable std::mutex mutex;
    std::vector<entry> entries;
};

registry::registry() : self(std::make_unique<implementation>()) {}

registry::~registry() = default;

counter& registry::add_counter(description about) {
    counter& added =
        *this->self->counters.emplace_back(std::make_unique<counter>());
    this->add_counter(std::move(about), [&added] { return added.value(); });
    return added;
}

histogram& registry::add_histogram(description about, histogram_axis axis) {
    histogram& added =
        *this->self->histograms.emplace_back(std::make_unique<histogram>(axis));
    this->self->add({std::move(about), "histogram",
                     [&added](std::string& out, const description& d) {
                         added.append_text(out, d);
                     }});
    return added;
}

void registry::add_gauge(description about, std::function<double()> read) {
    this->self->add(
        {std::move(about), "gauge",
         [read = std::move(read)](std::string& out, const description& d) {
             append_name(out, d, "");
             absl::StrAppend(&out, " ", read(), "\n");
         }});
}

void registry::add_counter(description about,
                           std::function<std::uint64_t()> read) {
    this->self->add(
        {std::move(about), "counter",
         [read = std::move(read)](std::string& out, const description& d) {
             append_name(out, d, "");
             absl::StrAppend(&out, " ", read(), "\n");
         }});
}

std::string registry::text() const {
    return this->self->text();
}

} // namespace guavastair::metrics
