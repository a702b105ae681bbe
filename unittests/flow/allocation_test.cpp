#include "packet_builder.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <new>

namespace flow = guavastair::flow;
namespace placement = guavastair::placement;

/// Number of calls of operator new in this program.
static std::size_t allocation_count = 0;

void* operator new(std::size_t size) {
    ++allocation_count;
    if (void* memory = std::malloc(size == 0 ? 1 : size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
    ++allocation_count;
    return std::malloc(size == 0 ? 1 : size);
}

void operator delete(void* memory) noexcept {
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
    std::free(memory);
}

void operator delete(void* memory, const std::nothrow_t&) noexcept {
    std::free(memory);
}

TEST_CASE("forwarding a packet allocates no memory") {
    placement::service_members service{{"orders"}, {{0xc0000201}, 443}, {}};
    for (std::uint32_t i = 0; i < 10; ++i) {
        placement::member m;
        m.id = {i + 1};
        m.data = {{0x0a000001 + i}, 7000};
        service.members.push_back(m);
    }
    const auto view = placement::fleet_view().with_service(service);
    const auto packet = builder::make_packet(
        {{{{0xc6336401}, 40000}, service.address}, {0x18}, 1, 2, 100});
    flow::forward_action action;
    const std::size_t before = allocation_count;
    for (int i = 0; i < 100; ++i) {
        flow::forward_decision(*view, packet, action);
    }
    CHECK(allocation_count == before);
    CHECK(action.kind == flow::forward_kind::send);
    const auto frame =
        flow::parse_frame({action.header.data(), action.header_size});
    CHECK(frame.ok());
    CHECK(allocation_count == before);
}
