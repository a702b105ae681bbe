#include <guavastair/ownership.hpp>

#include <algorithm>

namespace guavastair::ownership {

load_verdict judge_load(const load_limits& limits,
                        const peer::load_report& load, urgency how_urgent) {
    constexpr double thousandths = 1000.0;
    const double slots = std::max<std::uint32_t>(load.slots, 1);
    const double present = load.in_progress / slots;
    const double mean = load.mean_in_progress / thousandths / slots;
    const double full =
        how_urgent == urgency::highest ? limits.full : limits.full_for_lower;
    if (present >= full) {
        return mean >= limits.lasting ? load_verdict::full
                                      : load_verdict::full_for_now;
    }
    return present >= limits.busy ? load_verdict::prefer_other
                                  : load_verdict::take;
}

} // namespace guavastair::ownership
