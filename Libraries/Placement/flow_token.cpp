#include <Placement/flow_token.h>

#include <Base/hashing.h>

namespace bilberryyard {

uint32_t flowToken(std::string_view serverIdentifier)
{
    // "flow" in ASCII; keeps these hashes independent of other uses of the hash function.
    constexpr uint64_t seed = 0x666c6f77;
    auto const* bytes = reinterpret_cast<uint8_t const*>(serverIdentifier.data());
    auto const token = static_cast<uint32_t>(hashBytes({ bytes, serverIdentifier.size() }, seed));
    return token == noToken ? 1 : token;
}

} // namespace bilberryyard
