#include <guavastair/admin.hpp>

namespace guavastair::admin {

bool equals_in_constant_time(absl::string_view given,
                             absl::string_view expected) {
    unsigned difference = given.size() == expected.size() ? 0U : 1U;
    for (std::size_t i = 0; i < given.size(); ++i) {
        const std::size_t other = expected.empty() ? 0 : i % expected.size();
        const char reference = expected.empty() ? '\0' : expected[other];
        difference |= static_cast<unsigned char>(given[i] ^ reference);
    }
    return difference == 0;
}

} // namespace guavastair::admin
