#include "search.hpp"

#include <algorithm>
#include <cassert>

namespace guavastair::flow {

bool has_next(const frame_header& header) noexcept {
    return header.hop + std::size_t{1} < header.candidates.size &&
           header.passes < max_passes;
}

void advance(frame_header& header) noexcept {
    assert(has_next(header) && "no candidate remains");
    ++header.hop;
    ++header.passes;
}

void remove_current(frame_header& header) noexcept {
    assert(has_next(header) && "no candidate remains");
    auto& list = header.candidates;
    const auto current = list.items.begin() + header.hop;
    std::copy(current + 1, list.items.begin() + list.size, current);
    --list.size;
    ++header.passes;
}

bool has_visited(const frame_header& header,
                 const placement::candidate& target) noexcept {
    const auto* end = header.candidates.begin() + header.hop + 1;
    return std::any_of(header.candidates.begin(), end,
                       [&target](const placement::candidate& visited) {
                           return visited.data == target.data;
                       });
}

bool is_remaining(const frame_header& header,
                  const placement::candidate& target) noexcept {
    const auto* next = header.candidates.begin() + header.hop + 1;
    const auto* end = header.candidates.end();
    return std::find(next, end, target) != end;
}

void make_next(frame_header& header,
               const placement::candidate& target) noexcept {
    auto& list = header.candidates;
    const auto next = list.items.begin() + header.hop + 1;
    auto last = std::find(next, list.items.begin() + list.size, target);
    const bool is_new = last == list.items.begin() + list.size;
    if (is_new && list.size < max_frame_candidates) {
        ++list.size;
    } else if (is_new && next != list.items.end()) {
        --last;
    }
    if (next == list.items.end()) {
        return;
    }
    std::copy_backward(next, last, last + 1);
    *next = target;
}

bool replace_candidates(frame_header& header,
                        std::span<const placement::candidate> order) noexcept {
    placement::candidate_list replacement;
    for (const placement::candidate& candidate : order) {
        if (replacement.size == max_frame_candidates) {
            break;
        }
        if (!has_visited(header, candidate)) {
            replacement.items[replacement.size] = candidate;
            ++replacement.size;
        }
    }
    if (replacement.empty() || header.passes >= max_passes) {
        return false;
    }
    header.candidates = replacement;
    header.hop = 0;
    header.extended = true;
    ++header.passes;
    return true;
}

} // namespace guavastair::flow
