#include "fleet.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

static std::size_t calls = 0;
static std::size_t bytes = 0;

namespace bench {

std::size_t allocations() {
    return calls;
}

std::size_t allocated_bytes() {
    return bytes;
}

} // namespace bench

static void* counted_allocation(std::size_t size) noexcept {
    void* memory = std::malloc(size == 0 ? 1 : size);
    ++calls;
    bytes += memory == nullptr ? 0 : malloc_usable_size(memory);
    return memory;
}

void* operator new(std::size_t size) {
    if (void* memory = counted_allocation(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
    return counted_allocation(size);
}

void operator delete(void* memory) noexcept {
    bytes -= memory == nullptr ? 0 : malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
    operator delete(memory);
}

void operator delete(void* memory, const std::nothrow_t&) noexcept {
    operator delete(memory);
}
