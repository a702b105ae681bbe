/// Operations on the candidate list of a frame, for packets of flows that this
/// agent does not own. The current candidate is the one that the frame was sent
/// to; the remaining candidates follow it in the list.

#ifndef GUAVASTAIR_LIB_FLOW_SEARCH_HPP
#define GUAVASTAIR_LIB_FLOW_SEARCH_HPP

#include <guavastair/flow.hpp>

#include <algorithm>

namespace guavastair::flow {

/// Whether a candidate remains and the packet may be passed on once more.
bool has_next(const frame_header& header) noexcept;

/// Makes the next candidate the current one. has_next() must hold.
void advance(frame_header& header) noexcept;

/// Removes the current candidate from the list, so that it does not count as
/// visited, and makes the next one the current one. has_next() must hold.
void remove_current(frame_header& header) noexcept;

/// Whether the packet has visited the address of `target`, the current
/// candidate included.
bool has_visited(const frame_header& header,
                 const placement::candidate& target) noexcept;

/// Whether `target` is one of the remaining candidates.
bool is_remaining(const frame_header& header,
                  const placement::candidate& target) noexcept;

/// Makes `target`, which must not have been visited, the next candidate. The
/// other candidates keep their order; the last one is removed if the list is
/// full. Changes nothing if the list is full and its last candidate is the
/// current one.
void make_next(frame_header& header,
               const placement::candidate& target) noexcept;

/// Removes the remaining candidates that satisfy `condition`.
template <typename Condition>
void remove_remaining_if(frame_header& header, Condition condition) {
    auto& list = header.candidates;
    const auto next = list.items.begin() + header.hop + 1;
    const auto end = list.items.begin() + list.size;
    const auto kept_end = std::remove_if(next, end, condition);
    list.size = static_cast<std::size_t>(kept_end - list.items.begin());
}

/// Replaces the candidates, none of which remains, with the first ones of
/// `order` that have not been visited. Changes nothing and returns false if
/// there are none or if the packet may not be passed on again.
bool replace_candidates(frame_header& header,
                        std::span<const placement::candidate> order) noexcept;

} // namespace guavastair::flow

#endif
