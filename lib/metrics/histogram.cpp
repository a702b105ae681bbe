#include "text.hpp"

#include <guavastair/metrics.hpp>

#include <absl/strings/str_cat.h>
#include <boost/histogram.hpp>

#include <cassert>
#include <mutex>

namespace guavastair::metrics {

namespace {

using log_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

auto make_counts(histogram_axis axis) {
    return boost::histogram::make_histogram(
        log_axis(axis.bins, axis.lowest, axis.highest));
}

} // namespace

class histogram::implementation {
public:
    explicit implementation(histogram_axis axis) : counts(make_counts(axis)) {}

    /// Guards everything below.
    mutable std::mutex mutex;
    decltype(make_counts({})) counts;
    double sum = 0;
    std::uint64_t total = 0;
};

histogram::histogram(histogram_axis axis) {
    assert(axis.bins > 0 && "a histogram needs a bin");
    assert(axis.lowest > 0 && axis.lowest < axis.highest &&
           "a logarithmic axis needs 0 < lowest < highest");
    this->self = std::make_unique<implementation>(axis);
}

histogram::~histogram() = default;

void histogram::record(double value) {
    const std::lock_guard lock(this->self->mutex);
    this->self->counts(value);
    this->self->sum += value;
    ++this->self->total;
}

double histogram::quantile(double fraction) const {
    const std::lock_guard lock(this->self->mutex);
    if (this->self->total == 0) {
        return 0;
    }
    const auto& axis = this->self->counts.axis();
    const double target_count =
        fraction * static_cast<double>(this->self->total);
    // Bin -1 counts the values below the axis.
    double cumulative_count = this->self->counts.at(-1);
    for (int bin = 0; bin < axis.size(); ++bin) {
        if (cumulative_count >= target_count) {
            return axis.bin(bin).lower();
        }
        cumulative_count += this->self->counts.at(bin);
    }
    return axis.bin(axis.size() - 1).upper();
}

std::uint64_t histogram::count() const {
    const std::lock_guard lock(this->self->mutex);
    return this->self->total;
}

void histogram::append_text(std::string& out, const description& about) const {
    const std::lock_guard lock(this->self->mutex);
    const auto& axis = this->self->counts.axis();
    double cumulative = this->self->counts.at(-1);
    for (int bin = 0; bin < axis.size(); ++bin) {
        cumulative += this->self->counts.at(bin);
        const std::string edge =
            absl::StrCat("le=\"", axis.bin(bin).upper(), "\"");
        append_name(out, about, "_bucket", edge);
        absl::StrAppend(&out, " ", cumulative, "\n");
    }
    append_name(out, about, "_bucket", "le=\"+Inf\"");
    absl::StrAppend(&out, " ", this->self->total, "\n");
    append_name(out, about, "_sum");
    absl::StrAppend(&out, " ", this->self->sum, "\n");
    append_name(out, about, "_count");
    absl::StrAppend(&out, " ", this->self->total, "\n");
}

} // namespace guavastair::metrics
