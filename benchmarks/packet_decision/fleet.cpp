#include "fleet.hpp"
#include "flow/packet_builder.hpp"

#include <random>
#include <string>

namespace bench {

placement::service_members make_service(std::uint32_t number,
                                        std::uint32_t member_count) {
    placement::service_members service;
    service.name = {"service-" + std::to_string(number)};
    service.address = {{0xc0000000U + number}, 443};
    for (std::uint32_t i = 0; i < member_count; ++i) {
        placement::member m;
        m.id = {number * 100'000ULL + i + 1};
        m.data = {{0x0a000000U + number * 1000 + i}, 7000};
        m.weight = 5;
        m.joined = i + 1;
        service.members.push_back(m);
    }
    return service;
}

std::shared_ptr<const placement::fleet_view> make_view(std::uint32_t services,
                                                       std::uint32_t members) {
    std::vector<placement::service_members> list;
    for (std::uint32_t i = 0; i < services; ++i) {
        const std::uint32_t share =
            members / services + (i < members % services ? 1 : 0);
        list.push_back(make_service(i, share));
    }
    return placement::fleet_view().with_services(std::move(list));
}

std::vector<std::vector<std::byte>> make_packets(std::size_t count,
                                                 std::uint32_t services) {
    std::mt19937_64 random(1);
    std::vector<std::vector<std::byte>> packets;
    for (std::size_t i = 0; i < count; ++i) {
        flow::packet headers;
        headers.key.caller = {{static_cast<std::uint32_t>(random())}, 40000};
        headers.key.service = {
            {0xc0000000U + static_cast<std::uint32_t>(i % services)}, 443};
        headers.flags.bits = flow::tcp_flags::ack_bit;
        headers.payload_size = 100;
        packets.push_back(builder::make_packet(headers));
    }
    return packets;
}

} // namespace bench
