#include <guavastair/flow.hpp>

#include <xxhash.h>

namespace guavastair::flow {

/// Must be the same in every process, because the seed determines the bucket of
/// a flow.
static constexpr std::uint64_t flow_hash_seed = 0x666c6f7768617368;

std::uint64_t flow_hash(const flow_key& key) noexcept {
    const std::array<std::uint32_t, 4> input{
        key.caller.address.value, key.caller.port, key.service.address.value,
        key.service.port};
    return XXH3_64bits_withSeed(input.data(), sizeof(input), flow_hash_seed);
}

} // namespace guavastair::flow
