#include "heap.hpp"

#include <malloc.h>

namespace guavastair {

std::int64_t bytes_on_heap() {
    const struct mallinfo2 info = mallinfo2();
    return static_cast<std::int64_t>(info.uordblks) +
           static_cast<std::int64_t>(info.hblkhd);
}

} // namespace guavastair
