#include <guavastair/support.hpp>

#include <algorithm>
#include <numeric>
#include <vector>

namespace guavastair::support {

/// Levenshtein distance, computed row by row.
static std::size_t edit_distance(absl::string_view left,
                                 absl::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t substitute =
                diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j + 1] + 1, row[j] + 1, substitute});
        }
    }
    return row.back();
}

std::optional<absl::string_view>
nearest_name(absl::string_view text,
             std::span<const absl::string_view> candidates) {
    const std::size_t limit = std::max<std::size_t>(2, text.size() / 3);
    std::optional<absl::string_view> best;
    std::size_t best_distance = limit + 1;
    for (const absl::string_view candidate : candidates) {
        const std::size_t distance = edit_distance(text, candidate);
        if (distance < best_distance) {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

} // namespace guavastair::support
