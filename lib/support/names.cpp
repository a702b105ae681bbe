#include <guavastair/support.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace guavastair::support {

static bool is_name_character(char c) {
    return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '-';
}

bool is_valid_name(absl::string_view text) {
    if (text.empty() || text.size() > max_name_size) {
        return false;
    }
    if (!absl::ascii_islower(text.front())) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), is_name_character);
}

std::string to_string(member_id id) {
    return absl::StrCat(absl::Hex(id.value, absl::kZeroPad16));
}

} // namespace guavastair::support
