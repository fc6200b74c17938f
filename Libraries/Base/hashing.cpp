#include <Base/hashing.h>

#include <array>
#include <cstring>
#include <xxhash.h>

namespace bilberryyard {

uint64_t hashBytes(std::span<uint8_t const> bytes, uint64_t seed) { return XXH64(bytes.data(), bytes.size(), seed); }

uint64_t hashPair(uint64_t first, uint64_t second)
{
    std::array<uint64_t, 2> const values { first, second };
    return XXH64(values.data(), sizeof(values), 0);
}

} // namespace bilberryyard
